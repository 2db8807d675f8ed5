//! Upper bounds for delays in the network, derived from the setting `connect_timeout_us`: a connection that is not
//! established within it counts as unreachable. Every wait for a message in transit is computed from that setting,
//! because networks differ between deployments: one needs 20 ms where another needs 200 ms.

use calicolb::api::Micros;

/// Lower bound of the transit time: no network is assumed to be faster than this (microseconds).
const MIN_TRANSIT_TIME: Micros = 50_000;
/// Lower bound of the time in which a healthy worker confirms that it accepted a job (microseconds). A worker may pause
/// for up to this long without the silence being attributed to the network.
const MIN_ACCEPTANCE_TIMEOUT: Micros = 500_000;

/// Time (microseconds) after which written data, or the end of a connection, has reached the peer. A connection that is
/// established within `connect_timeout` has completed a round trip in that time.
pub fn max_transit_time(connect_timeout: Micros) -> Micros {
    connect_timeout.max(MIN_TRANSIT_TIME)
}

/// Time (microseconds) after the last byte of a request was written by which a healthy worker has confirmed that it
/// accepted the job. It covers two transit times: a first request waits for its connection's handshake, and the
/// confirmation has to travel back.
pub fn acceptance_timeout(connect_timeout: Micros) -> Micros {
    (2 * max_transit_time(connect_timeout)).max(MIN_ACCEPTANCE_TIMEOUT)
}
