//! Packets of the binary protocol: a magic of four bytes, type and size as big-endian numbers of four bytes each, and
//! arguments that a NUL ends, the last one excepted.

use std::fmt;

/// The length of a packet without its arguments, in bytes.
pub const HEAD: usize = 12;
const REQUEST: [u8; 4] = *b"\0REQ";
const RESPONSE: [u8; 4] = *b"\0RES";

/// Who sends a packet: the magic says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A client or a worker.
    Peer,
    /// The job server.
    Server,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $wire:literal, $fields:literal;)*) => {
        /// What a packet is. The numbers are those of the published protocol.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum PacketType {
            $($(#[$doc])* $name = $number,)*
        }

        impl PacketType {
            /// All of them.
            pub const ALL: &'static [PacketType] = &[$(PacketType::$name,)*];

            /// The kind with this number.
            pub fn from_number(number: u32) -> Option<PacketType> {
                match number {
                    $($number => Some(PacketType::$name),)*
                    _ => None,
                }
            }

            /// Its name in the protocol.
            pub fn name(self) -> &'static str {
                match self {
                    $(PacketType::$name => $wire,)*
                }
            }

            /// How many arguments it has.
            pub fn argument_count(self) -> usize {
                match self {
                    $(PacketType::$name => $fields,)*
                }
            }
        }
    };
}

kinds! {
    /// A worker can do a function.
    CanDo = 1, "CAN_DO", 1;
    /// A worker can do it no longer.
    CantDo = 2, "CANT_DO", 1;
    /// A worker can do nothing any more.
    ResetAbilities = 3, "RESET_ABILITIES", 0;
    /// A worker sleeps until it is woken.
    PreSleep = 4, "PRE_SLEEP", 0;
    /// Wakes a worker.
    Noop = 6, "NOOP", 0;
    /// A job: function, unique id, workload.
    SubmitJob = 7, "SUBMIT_JOB", 3;
    /// A job was taken: its handle.
    JobCreated = 8, "JOB_CREATED", 1;
    /// A worker asks for a job.
    GrabJob = 9, "GRAB_JOB", 0;
    /// There is none.
    NoJob = 10, "NO_JOB", 0;
    /// A job for a worker: handle, function, workload.
    JobAssign = 11, "JOB_ASSIGN", 3;
    /// How far a job is: handle, numerator, denominator.
    WorkStatus = 12, "WORK_STATUS", 3;
    /// A job has ended: handle, result.
    WorkComplete = 13, "WORK_COMPLETE", 2;
    /// A job has failed: handle.
    WorkFail = 14, "WORK_FAIL", 1;
    /// How is a job? Handle.
    GetStatus = 15, "GET_STATUS", 1;
    /// Asks for the same bytes back.
    EchoReq = 16, "ECHO_REQ", 1;
    /// The same bytes.
    EchoRes = 17, "ECHO_RES", 1;
    /// A background job.
    SubmitJobBg = 18, "SUBMIT_JOB_BG", 3;
    /// Something is wrong: code, text.
    Error = 19, "ERROR", 2;
    /// How a job is: handle, known, running, numerator, denominator.
    StatusRes = 20, "STATUS_RES", 5;
    /// A job of high priority.
    SubmitJobHigh = 21, "SUBMIT_JOB_HIGH", 3;
    /// What a connection calls itself.
    SetClientId = 22, "SET_CLIENT_ID", 1;
    /// A worker can do a function, in so many seconds.
    CanDoTimeout = 23, "CAN_DO_TIMEOUT", 2;
    /// A worker takes all jobs (no longer used).
    AllYours = 24, "ALL_YOURS", 0;
    /// A job has thrown: handle, what.
    WorkException = 25, "WORK_EXCEPTION", 2;
    /// Asks for an option.
    OptionReq = 26, "OPTION_REQ", 1;
    /// The option is set.
    OptionRes = 27, "OPTION_RES", 1;
    /// A part of a result: handle, data.
    WorkData = 28, "WORK_DATA", 2;
    /// A warning: handle, data.
    WorkWarning = 29, "WORK_WARNING", 2;
    /// A worker asks for a job with its unique id.
    GrabJobUniq = 30, "GRAB_JOB_UNIQ", 0;
    /// A job for a worker: handle, function, unique id, workload.
    JobAssignUniq = 31, "JOB_ASSIGN_UNIQ", 4;
    /// A background job of high priority.
    SubmitJobHighBg = 32, "SUBMIT_JOB_HIGH_BG", 3;
    /// A job of low priority.
    SubmitJobLow = 33, "SUBMIT_JOB_LOW", 3;
    /// A background job of low priority.
    SubmitJobLowBg = 34, "SUBMIT_JOB_LOW_BG", 3;
    /// A job for a time of the calendar.
    SubmitJobSched = 35, "SUBMIT_JOB_SCHED", 8;
    /// A job for a point in time.
    SubmitJobEpoch = 36, "SUBMIT_JOB_EPOCH", 4;
    /// A job to be split and put together again.
    SubmitReduceJob = 37, "SUBMIT_REDUCE_JOB", 4;
    /// The same, in the background.
    SubmitReduceJobBg = 38, "SUBMIT_REDUCE_JOB_BACKGROUND", 4;
    /// A worker asks for a job with its unique id and reducer.
    GrabJobAll = 39, "GRAB_JOB_ALL", 0;
    /// A job for a worker: handle, function, unique id, reducer, workload.
    JobAssignAll = 40, "JOB_ASSIGN_ALL", 5;
    /// How is a job? Unique id.
    GetStatusUnique = 41, "GET_STATUS_UNIQUE", 1;
    /// How a job is: unique id, known, running, numerator, denominator, clients that wait.
    StatusResUnique = 42, "STATUS_RES_UNIQUE", 6;
}

impl fmt::Display for PacketType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What is wrong with bytes that should be a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// They do not begin with the magic: nothing after them can be read either.
    #[error("the magic is not one of Gearman")]
    Magic,
    /// The size is beyond the limit: what follows is not waited for.
    #[error("the packet has {size} bytes, and {limit} are taken at most")]
    Size {
        /// What the head says.
        size: u32,
        /// What is taken.
        limit: usize,
    },
    /// There is no such type; the packet was skipped.
    #[error("there is no packet of type {0}")]
    UnknownType(u32),
    /// The arguments are too few or too many; the packet was skipped.
    #[error("{kind} has {due} arguments, not {found}")]
    Fields {
        /// What it should be.
        kind: PacketType,
        /// How many arguments are due.
        due: usize,
        /// How many there are.
        found: usize,
    },
}

/// A whole packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// What it is.
    pub packet_type: PacketType,
    /// All its arguments.
    data: &'a [u8],
}

/// What stands at the beginning of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parsed<'a> {
    /// Not enough to tell.
    Incomplete,
    /// A packet, and its length in bytes.
    Complete(Packet<'a>, usize),
    /// A packet that cannot be used, and its length in bytes: what follows can be read.
    Invalid(Fault, usize),
}

/// Reads a packet from the beginning of these bytes. `limit`: how many bytes of arguments are taken at most.
///
/// # Errors
/// A fault after which nothing more can be read: the connection is out of step.
pub fn parse(bytes: &[u8], from: Sender, limit: usize) -> Result<Parsed<'_>, Fault> {
    let magic = if from == Sender::Peer { REQUEST } else { RESPONSE };
    let seen = bytes.len().min(magic.len());
    if bytes[..seen] != magic[..seen] {
        return Err(Fault::Magic);
    }
    let word = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (Some(number), Some(size)) = (word(4), word(8)) else { return Ok(Parsed::Incomplete) };
    if size as usize > limit {
        return Err(Fault::Size { size, limit });
    }
    let length = HEAD + size as usize;
    let Some(data) = bytes.get(HEAD..length) else { return Ok(Parsed::Incomplete) };
    let Some(kind) = PacketType::from_number(number) else {
        return Ok(Parsed::Invalid(Fault::UnknownType(number), length));
    };
    let packet = Packet { packet_type: kind, data };
    Ok(match packet.check() {
        Ok(()) => Parsed::Complete(packet, length),
        Err(fault) => Parsed::Invalid(fault, length),
    })
}

impl<'a> Packet<'a> {
    fn check(&self) -> Result<(), Fault> {
        let due = self.packet_type.argument_count();
        // The last argument may hold anything, NULs too; a packet without arguments holds nothing.
        let found = match due {
            0 => usize::from(!self.data.is_empty()),
            _ => 1 + self.data.iter().filter(|&&byte| byte == 0).take(due - 1).count(),
        };
        if found == due { Ok(()) } else { Err(Fault::Fields { kind: self.packet_type, due, found }) }
    }

    /// Its arguments. A packet that was read whole has as many as its kind.
    pub fn arguments<const N: usize>(&self) -> [&'a [u8]; N] {
        let mut parts = self.data.splitn(N, |&byte| byte == 0);
        std::array::from_fn(|_| parts.next().unwrap_or_default())
    }
}

/// Writes a packet.
pub fn encode(from: Sender, kind: PacketType, fields: &[&[u8]]) -> Vec<u8> {
    let size = fields.iter().map(|field| field.len()).sum::<usize>() + fields.len().saturating_sub(1);
    let mut bytes = Vec::with_capacity(HEAD + size);
    bytes.extend_from_slice(if from == Sender::Peer { &REQUEST } else { &RESPONSE });
    bytes.extend_from_slice(&(kind as u32).to_be_bytes());
    bytes.extend_from_slice(&(size as u32).to_be_bytes());
    for (nr, field) in fields.iter().enumerate() {
        if nr > 0 {
            bytes.push(0);
        }
        bytes.extend_from_slice(field);
    }
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_packet_is_whole_only_with_its_last_byte() {
        let bytes = encode(Sender::Peer, PacketType::SubmitJob, &[b"look", b"u1", b"a\0b"]);
        for cut in 0..bytes.len() {
            assert_eq!(parse(&bytes[..cut], Sender::Peer, 100), Ok(Parsed::Incomplete), "cut at {cut}");
        }
        let Ok(Parsed::Complete(packet, length)) = parse(&bytes, Sender::Peer, 100) else {
            panic!("it is whole")
        };
        assert_eq!((packet.packet_type, length), (PacketType::SubmitJob, bytes.len()));
        assert_eq!(packet.arguments::<3>(), [&b"look"[..], b"u1", b"a\0b"]);
    }

    #[test]
    fn what_is_out_of_step_ends_and_what_is_only_wrong_is_skipped() {
        assert_eq!(parse(b"\0RE?", Sender::Peer, 100), Err(Fault::Magic));
        assert_eq!(parse(b"\0RES", Sender::Peer, 100), Err(Fault::Magic));
        let huge = [&REQUEST[..], &7_u32.to_be_bytes(), &u32::MAX.to_be_bytes()].concat();
        assert_eq!(parse(&huge, Sender::Peer, 100), Err(Fault::Size { size: u32::MAX, limit: 100 }));
        let unknown = [&REQUEST[..], &99_u32.to_be_bytes(), &2_u32.to_be_bytes(), b"ab"].concat();
        assert_eq!(parse(&unknown, Sender::Peer, 100), Ok(Parsed::Invalid(Fault::UnknownType(99), 14)));
        let few = encode(Sender::Peer, PacketType::SubmitJob, &[b"look", b"u1"]);
        let fault = Fault::Fields { kind: PacketType::SubmitJob, due: 3, found: 2 };
        assert_eq!(parse(&few, Sender::Peer, 100), Ok(Parsed::Invalid(fault, few.len())));
        let many = encode(Sender::Peer, PacketType::GrabJob, &[b"x"]);
        let fault = Fault::Fields { kind: PacketType::GrabJob, due: 0, found: 1 };
        assert_eq!(parse(&many, Sender::Peer, 100), Ok(Parsed::Invalid(fault, many.len())));
    }

    #[test]
    fn every_kind_has_its_own_number_and_is_found_by_it() {
        assert!(PacketType::ALL.iter().all(|&kind| PacketType::from_number(kind as u32) == Some(kind)));
    }
}
