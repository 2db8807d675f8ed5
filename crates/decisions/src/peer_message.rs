//! Encoding of the messages between dispatchers. The decision module decides when to send a message and how to use a
//! received one; this module only encodes and decodes. Decoding never panics, whatever the bytes are.
//!
//! | message | bytes |
//! | --- | --- |
//! | hello | version, zone, 1 if the sender has just started and asks for a hello in return, else 0 |
//! | fault report | version, worker (4, little-endian), strikes of the sender against the worker; 0 strikes: the worker has recovered |
//! | load | version, lanes, worker (4, little-endian), soonest end, latest end (in units of 64 ms from now); if the worker is cold, also the work sent to it in the window (2, little-endian, in milliseconds at speed 1); if a job has just ended there, also the speed that the job showed (1, in 32nds of the natural logarithm) |
//!
//! Earlier versions of the program send a load of eight bytes; it is decoded as a load without cold work or speed.

use crate::api::{Micros, WorkerId};

/// Version of the messages. A message of any other version is dropped.
const VERSION: u8 = 1;
/// Unit of the durations in messages, in microseconds.
const SPAN_UNIT: Micros = 64_000;
/// Unit of cold work in messages, in microseconds at speed 1.
const WORK_UNIT: f64 = 1_000.0;
/// Steps per unit of the natural logarithm of a speed in messages.
const SPEED_STEPS_PER_LN: f64 = 32.0;

/// A decoded message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerMessage {
    /// Announces the sender's zone. `asks`: the sender requests a hello in return.
    Hello { zone: u8, asks: bool },
    /// Number of strikes that the sender has against a worker; 0 if the worker has recovered.
    FaultReport { worker: WorkerId, strikes: u32 },
    /// Load that the sender has at a worker.
    Load(Load),
}

/// Load that a dispatcher has at a worker. `soonest` and `latest` count from the time of encoding or decoding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Lanes that the dispatcher's attempts take.
    pub(crate) lanes: usize,
    /// Time until the first of the attempts ends.
    pub(crate) soonest: Micros,
    /// Time until the last of the attempts ends.
    pub(crate) latest: Micros,
    /// Work sent to the cold worker in the window, in microseconds at speed 1; 0 if the worker is warm.
    pub(crate) cold_work: f64,
    /// Natural logarithm of the worker's speed, measured by the job that has just ended there.
    pub(crate) ln_speed: Option<f64>,
}

/// Decodes a message. Returns `None` for a message of another version or format.
pub(crate) fn decode(body: &[u8]) -> Option<PeerMessage> {
    let span = |units: u8| Micros::from(units) * SPAN_UNIT;
    match *body {
        [VERSION, zone, asks] => Some(PeerMessage::Hello { zone, asks: asks == 1 }),
        [VERSION, a, b, c, d, strikes] => {
            let worker = WorkerId(u32::from_le_bytes([a, b, c, d]));
            Some(PeerMessage::FaultReport { worker, strikes: u32::from(strikes) })
        }
        [VERSION, lanes, a, b, c, d, soonest, latest, ref more @ ..] if more.len() <= 3 => {
            let (cold, speed) = more.split_at(more.len() & 2);
            let cold = match *cold {
                [low, high] => f64::from(u16::from_le_bytes([low, high])) * WORK_UNIT,
                _ => 0.0,
            };
            let ln_speed = speed.first().map(|&steps| f64::from(steps as i8) / SPEED_STEPS_PER_LN);
            let worker = WorkerId(u32::from_le_bytes([a, b, c, d]));
            let (lanes, soonest, latest) = (usize::from(lanes), span(soonest), span(latest));
            Some(PeerMessage::Load(Load { worker, lanes, soonest, latest, cold_work: cold, ln_speed }))
        }
        _ => None,
    }
}

/// Encodes a hello. Zones above 255 are encoded as 255.
pub(crate) fn encode_hello(zone: usize, asks: bool) -> Vec<u8> {
    vec![VERSION, zone.min(255) as u8, u8::from(asks)]
}

/// Encodes a fault report. More than 255 strikes are encoded as 255.
pub(crate) fn encode_fault_report(worker: WorkerId, strikes: u32) -> Vec<u8> {
    let [a, b, c, d] = worker.0.to_le_bytes();
    vec![VERSION, a, b, c, d, strikes.min(255) as u8]
}

/// Encodes a load. Values beyond the range of their bytes are encoded as the largest value that fits.
pub(crate) fn encode_load(load: &Load) -> Vec<u8> {
    let span = |span: Micros| u8::try_from(span / SPAN_UNIT).unwrap_or(u8::MAX);
    let [a, b, c, d] = load.worker.0.to_le_bytes();
    let mut body =
        vec![VERSION, load.lanes.min(255) as u8, a, b, c, d, span(load.soonest), span(load.latest)];
    if load.cold_work > 0.0 {
        let cold = (load.cold_work / WORK_UNIT).ceil().min(f64::from(u16::MAX)) as u16;
        body.extend_from_slice(&cold.to_le_bytes());
    }
    // `as` saturates: a value beyond the range of a byte becomes the largest value that fits.
    body.extend(load.ln_speed.map(|speed| (speed * SPEED_STEPS_PER_LN).round() as i8 as u8));
    body
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encoded_messages_are_decoded_within_their_units() {
        let sent = Load {
            worker: WorkerId(0xdead_beef),
            lanes: 3,
            soonest: 64_000,
            latest: 640_000,
            cold_work: 2_500.0,
            ln_speed: Some(-0.5),
        };
        let Some(PeerMessage::Load(back)) = decode(&encode_load(&sent)) else {
            panic!("an encoded load is not decoded as a load: {sent:?}")
        };
        assert_eq!((back.worker, back.lanes, back.soonest, back.latest), (sent.worker, 3, 64_000, 640_000));
        // Cold work is rounded up, so that the receiver counts no less work than was sent.
        assert_eq!((back.cold_work, back.ln_speed), (3_000.0, Some(-0.5)));
        let warm = Load { cold_work: 0.0, ln_speed: Some(9e9), ..sent };
        assert_eq!(
            decode(&encode_load(&warm)),
            Some(PeerMessage::Load(Load { ln_speed: Some(127.0 / 32.0), ..warm }))
        );
        let report = PeerMessage::FaultReport { worker: WorkerId(77), strikes: 6 };
        assert_eq!(decode(&encode_fault_report(WorkerId(77), 6)), Some(report));
        assert_eq!(decode(&encode_hello(2, true)), Some(PeerMessage::Hello { zone: 2, asks: true }));
    }

    #[test]
    fn eight_byte_load_has_no_cold_work_and_other_formats_are_dropped() {
        let old = [VERSION, 2, 1, 0, 0, 0, 3, 4];
        assert!(matches!(
            decode(&old),
            Some(PeerMessage::Load(Load { cold_work: 0.0, ln_speed: None, lanes: 2, .. }))
        ));
        for body in
            [&[][..], &[VERSION], &[2, 0, 0], &[VERSION; 4], &[VERSION; 5], &[VERSION; 7], &[VERSION; 12]]
        {
            assert_eq!(decode(body), None, "{body:?}");
        }
    }
}
