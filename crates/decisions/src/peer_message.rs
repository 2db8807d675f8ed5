//! The bytes of what dispatchers tell each other: a greeting, and what one has at a worker. What to tell and what to
//! make of it is the decision module's; this only writes and reads, and reads anything without panicking.
//!
//! | message | bytes |
//! | --- | --- |
//! | greeting | version, zone, 1 if the sender has just started and asks to be greeted back |
//! | trouble | version, worker (4, little-endian), strikes of the sender against it; none: it is well again |
//! | load | version, lanes, worker (4, little-endian), soonest end, latest end (in units of 64 ms from now); and, where the worker is cold, the work sent it in the window (2, in milliseconds at speed 1); where a job has just ended there, its speed by that job (1, in 32nds of the natural logarithm) |
//!
//! A load of eight bytes is what dispatchers of before write: it is read as one without cold work or speed.

use crate::api::{Micros, WorkerId};

/// The version of the messages; any other is dropped.
const VERSION: u8 = 1;
/// The unit of the spans in messages.
const UNIT: Micros = 64_000;
/// The unit of cold work in messages.
const WORK_UNIT: f64 = 1_000.0;
/// Steps of the natural logarithm of a speed in messages.
const SPEED_STEPS: f64 = 32.0;

/// A message, as read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerMessage {
    /// Where the sender stands; whether it wants to hear where this one does.
    Hello { zone: u8, asks: bool },
    /// The sender's strikes against a worker.
    FaultReport { worker: WorkerId, strikes: u32 },
    /// What the sender has at a worker.
    Load(Load),
}

/// What a dispatcher has at a worker: spans from the time it is read or written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    pub(crate) worker: WorkerId,
    pub(crate) lanes: usize,
    pub(crate) soonest: Micros,
    pub(crate) latest: Micros,
    /// Work sent to the worker in the window while it is cold, in microseconds at speed 1.
    pub(crate) cold_work: f64,
    /// The natural logarithm of the worker's speed, as the job that has just ended there shows it.
    pub(crate) ln_speed: Option<f64>,
}

/// Reads a message; `None` for one of another version or shape.
pub(crate) fn decode(body: &[u8]) -> Option<PeerMessage> {
    let span = |units: u8| Micros::from(units) * UNIT;
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
            let ln_speed = speed.first().map(|&steps| f64::from(steps as i8) / SPEED_STEPS);
            let worker = WorkerId(u32::from_le_bytes([a, b, c, d]));
            let (lanes, soonest, latest) = (usize::from(lanes), span(soonest), span(latest));
            Some(PeerMessage::Load(Load { worker, lanes, soonest, latest, cold_work: cold, ln_speed }))
        }
        _ => None,
    }
}

/// Writes a greeting.
pub(crate) fn encode_hello(zone: usize, asks: bool) -> Vec<u8> {
    vec![VERSION, zone.min(255) as u8, u8::from(asks)]
}

/// Writes how many strikes this dispatcher has against a worker.
pub(crate) fn encode_fault_report(worker: WorkerId, strikes: u32) -> Vec<u8> {
    let [a, b, c, d] = worker.0.to_le_bytes();
    vec![VERSION, a, b, c, d, strikes.min(255) as u8]
}

/// Writes a load; spans and work beyond what fits are written as the most that does.
pub(crate) fn encode_load(load: &Load) -> Vec<u8> {
    let span = |span: Micros| u8::try_from(span / UNIT).unwrap_or(u8::MAX);
    let [a, b, c, d] = load.worker.0.to_le_bytes();
    let mut body =
        vec![VERSION, load.lanes.min(255) as u8, a, b, c, d, span(load.soonest), span(load.latest)];
    if load.cold_work > 0.0 {
        let cold = (load.cold_work / WORK_UNIT).ceil().min(f64::from(u16::MAX)) as u16;
        body.extend_from_slice(&cold.to_le_bytes());
    }
    // Beyond what fits a byte it is the most that does; `as` saturates.
    body.extend(load.ln_speed.map(|speed| (speed * SPEED_STEPS).round() as i8 as u8));
    body
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_back_within_its_units() {
        let sent = Load {
            worker: WorkerId(0xdead_beef),
            lanes: 3,
            soonest: 64_000,
            latest: 640_000,
            cold_work: 2_500.0,
            ln_speed: Some(-0.5),
        };
        let Some(PeerMessage::Load(back)) = decode(&encode_load(&sent)) else {
            panic!("a load is read as one")
        };
        assert_eq!((back.worker, back.lanes, back.soonest, back.latest), (sent.worker, 3, 64_000, 640_000));
        // Cold work is rounded up: a peer that hears it counts no less than was sent.
        assert_eq!((back.cold_work, back.ln_speed), (3_000.0, Some(-0.5)));
        let warm = Load { cold_work: 0.0, ln_speed: Some(9e9), ..sent };
        assert_eq!(
            decode(&encode_load(&warm)),
            Some(PeerMessage::Load(Load { ln_speed: Some(127.0 / 32.0), ..warm }))
        );
        let said = PeerMessage::FaultReport { worker: WorkerId(77), strikes: 6 };
        assert_eq!(decode(&encode_fault_report(WorkerId(77), 6)), Some(said));
        assert_eq!(decode(&encode_hello(2, true)), Some(PeerMessage::Hello { zone: 2, asks: true }));
    }

    #[test]
    fn a_load_of_before_is_read_without_cold_work_and_any_other_bytes_are_dropped() {
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
