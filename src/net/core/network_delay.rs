//! How long what is written may be on its way. The settings state one figure of the network: a connection that is not
//! established within `connect_timeout_us` counts as unreachable. All that must have arrived by some time is reckoned by
//! it, for what one deployment's network does in 20 ms takes another's 200.

use calicolb::api::Micros;

/// No network is taken to be faster than this.
const LEAST: Micros = 50_000;
/// A worker that is well says within this time that it takes a job, or half a second at least: no pause in which it
/// says nothing for that long is held against the network.
const SAYS: Micros = 500_000;

/// What is written, or the end of a connection, has come to the other side by this time (microseconds): a connection that
/// is established within the stated time has made the way there and back in it.
pub fn max_transit_time(connect_timeout: Micros) -> Micros {
    connect_timeout.max(LEAST)
}

/// Who has not answered by this time (microseconds) after the last byte was written has fallen silent: a first request
/// waits for its connection's handshake, and the answer has a way back.
pub fn acceptance_timeout(connect_timeout: Micros) -> Micros {
    (2 * max_transit_time(connect_timeout)).max(SAYS)
}
