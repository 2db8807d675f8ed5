//! Codec of the binary Gearman protocol. A packet has a header, which is a magic of four bytes and the type and the size
//! as big-endian integers of four bytes each, and then its arguments. Every argument but the last is NUL-terminated.

use std::fmt;

/// The length of the packet header, in bytes.
pub const HEADER_LENGTH: usize = 12;
/// The magic of a packet that a client or a worker sends.
const REQUEST_MAGIC: [u8; 4] = *b"\0REQ";
/// The magic of a packet that the job server sends.
const RESPONSE_MAGIC: [u8; 4] = *b"\0RES";

/// The sender of a packet, which determines the magic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A client or a worker.
    Peer,
    /// The job server.
    Server,
}

macro_rules! packet_types {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $wire_name:literal, $argument_count:literal;)*) => {
        /// The type of a packet. The numbers are those of the published protocol.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum PacketType {
            $($(#[$doc])* $name = $number,)*
        }

        impl PacketType {
            /// All packet types.
            pub const ALL: &'static [PacketType] = &[$(PacketType::$name,)*];

            /// Returns the packet type with this number, or `None` if the protocol has no such type.
            pub fn from_number(number: u32) -> Option<PacketType> {
                match number {
                    $($number => Some(PacketType::$name),)*
                    _ => None,
                }
            }

            /// The name of the packet type in the protocol, such as `SUBMIT_JOB`.
            pub fn name(self) -> &'static str {
                match self {
                    $(PacketType::$name => $wire_name,)*
                }
            }

            /// The number of arguments of a packet of this type.
            pub fn argument_count(self) -> usize {
                match self {
                    $(PacketType::$name => $argument_count,)*
                }
            }
        }
    };
}

packet_types! {
    /// A worker registers a function: function.
    CanDo = 1, "CAN_DO", 1;
    /// A worker unregisters a function: function.
    CantDo = 2, "CANT_DO", 1;
    /// A worker unregisters all its functions.
    ResetAbilities = 3, "RESET_ABILITIES", 0;
    /// A worker goes to sleep until it receives NOOP.
    PreSleep = 4, "PRE_SLEEP", 0;
    /// Wakes a sleeping worker.
    Noop = 6, "NOOP", 0;
    /// Submits a job: function, unique id, workload.
    SubmitJob = 7, "SUBMIT_JOB", 3;
    /// Confirms that a job was accepted: handle.
    JobCreated = 8, "JOB_CREATED", 1;
    /// A worker asks for a job.
    GrabJob = 9, "GRAB_JOB", 0;
    /// Tells a worker that there is no job for it.
    NoJob = 10, "NO_JOB", 0;
    /// Assigns a job to a worker: handle, function, workload.
    JobAssign = 11, "JOB_ASSIGN", 3;
    /// Reports the progress of a job: handle, numerator, denominator.
    WorkStatus = 12, "WORK_STATUS", 3;
    /// Reports that a job is complete: handle, result.
    WorkComplete = 13, "WORK_COMPLETE", 2;
    /// Reports that a job has failed: handle.
    WorkFail = 14, "WORK_FAIL", 1;
    /// Asks for the status of a job: handle.
    GetStatus = 15, "GET_STATUS", 1;
    /// Asks the server to send the same bytes back: data.
    EchoReq = 16, "ECHO_REQ", 1;
    /// Returns the bytes of ECHO_REQ: data.
    EchoRes = 17, "ECHO_RES", 1;
    /// Submits a background job: function, unique id, workload.
    SubmitJobBg = 18, "SUBMIT_JOB_BG", 3;
    /// Reports an error: code, text.
    Error = 19, "ERROR", 2;
    /// Returns the status of a job: handle, known, running, numerator, denominator.
    StatusRes = 20, "STATUS_RES", 5;
    /// Submits a job of high priority: function, unique id, workload.
    SubmitJobHigh = 21, "SUBMIT_JOB_HIGH", 3;
    /// Sets the client id of the connection: client id.
    SetClientId = 22, "SET_CLIENT_ID", 1;
    /// A worker registers a function with a time limit: function, limit in seconds.
    CanDoTimeout = 23, "CAN_DO_TIMEOUT", 2;
    /// A worker accepts all functions (no longer used).
    AllYours = 24, "ALL_YOURS", 0;
    /// Reports that a job raised an exception: handle, exception.
    WorkException = 25, "WORK_EXCEPTION", 2;
    /// Asks for an option of the connection: name.
    OptionReq = 26, "OPTION_REQ", 1;
    /// Confirms that the option is set: name.
    OptionRes = 27, "OPTION_RES", 1;
    /// Sends a partial result: handle, data.
    WorkData = 28, "WORK_DATA", 2;
    /// Sends a warning: handle, data.
    WorkWarning = 29, "WORK_WARNING", 2;
    /// A worker asks for a job together with its unique id.
    GrabJobUniq = 30, "GRAB_JOB_UNIQ", 0;
    /// Assigns a job to a worker: handle, function, unique id, workload.
    JobAssignUniq = 31, "JOB_ASSIGN_UNIQ", 4;
    /// Submits a background job of high priority: function, unique id, workload.
    SubmitJobHighBg = 32, "SUBMIT_JOB_HIGH_BG", 3;
    /// Submits a job of low priority: function, unique id, workload.
    SubmitJobLow = 33, "SUBMIT_JOB_LOW", 3;
    /// Submits a background job of low priority: function, unique id, workload.
    SubmitJobLowBg = 34, "SUBMIT_JOB_LOW_BG", 3;
    /// Submits a job that runs at a calendar time: function, unique id, minute, hour, day of month, month, day of week,
    /// workload.
    SubmitJobSched = 35, "SUBMIT_JOB_SCHED", 8;
    /// Submits a job that runs at a Unix time: function, unique id, time, workload.
    SubmitJobEpoch = 36, "SUBMIT_JOB_EPOCH", 4;
    /// Submits a job whose parts a reducer combines: function, unique id, reducer, workload.
    SubmitReduceJob = 37, "SUBMIT_REDUCE_JOB", 4;
    /// Submits a background job whose parts a reducer combines: function, unique id, reducer, workload.
    SubmitReduceJobBg = 38, "SUBMIT_REDUCE_JOB_BACKGROUND", 4;
    /// A worker asks for a job together with its unique id and reducer.
    GrabJobAll = 39, "GRAB_JOB_ALL", 0;
    /// Assigns a job to a worker: handle, function, unique id, reducer, workload.
    JobAssignAll = 40, "JOB_ASSIGN_ALL", 5;
    /// Asks for the status of a job: unique id.
    GetStatusUnique = 41, "GET_STATUS_UNIQUE", 1;
    /// Returns the status of a job: unique id, known, running, numerator, denominator, number of waiting clients.
    StatusResUnique = 42, "STATUS_RES_UNIQUE", 6;
}

impl fmt::Display for PacketType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The reason for which received bytes are no usable packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The bytes do not begin with the sender's magic. No later packet boundary can be found either.
    #[error("the magic is not one of Gearman")]
    BadMagic,
    /// The size in the header exceeds the limit, so the arguments are not read.
    #[error("the packet has {size} bytes, and {limit} are taken at most")]
    TooLarge {
        /// The size of the arguments that the header states, in bytes.
        size: u32,
        /// The largest accepted size of the arguments, in bytes.
        limit: usize,
    },
    /// The protocol has no packet type with this number. The packet can be skipped.
    #[error("there is no packet of type {0}")]
    UnknownType(u32),
    /// The packet has too few or too many arguments. The packet can be skipped.
    #[error("{packet_type} has {expected} arguments, not {found}")]
    ArgumentCount {
        /// The type of the packet.
        packet_type: PacketType,
        /// The number of arguments of this packet type.
        expected: usize,
        /// The number of arguments found.
        found: usize,
    },
}

/// A complete packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The type of the packet.
    pub packet_type: PacketType,
    /// All arguments of the packet, with the NULs between them.
    data: &'a [u8],
}

/// The result of parsing the beginning of a byte stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parsed<'a> {
    /// The bytes do not contain a complete packet yet.
    Incomplete,
    /// A packet, and its length with the header in bytes.
    Complete(Packet<'a>, usize),
    /// A malformed packet, and its length with the header in bytes. The packet after it can be parsed.
    Invalid(PacketError, usize),
}

/// Parses a packet at the beginning of `bytes`. `limit`: the largest accepted size of the arguments, in bytes.
///
/// # Errors
/// Returns an error after which no later packet of the connection can be parsed: a wrong magic, or a size over the limit.
pub fn parse(bytes: &[u8], sender: Sender, limit: usize) -> Result<Parsed<'_>, PacketError> {
    let magic = if sender == Sender::Peer { REQUEST_MAGIC } else { RESPONSE_MAGIC };
    let magic_length = bytes.len().min(magic.len());
    if bytes[..magic_length] != magic[..magic_length] {
        return Err(PacketError::BadMagic);
    }
    let integer_at =
        |offset: usize| Some(u32::from_be_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?));
    let (Some(number), Some(size)) = (integer_at(4), integer_at(8)) else { return Ok(Parsed::Incomplete) };
    if size as usize > limit {
        return Err(PacketError::TooLarge { size, limit });
    }
    let length = HEADER_LENGTH + size as usize;
    let Some(data) = bytes.get(HEADER_LENGTH..length) else { return Ok(Parsed::Incomplete) };
    let Some(packet_type) = PacketType::from_number(number) else {
        return Ok(Parsed::Invalid(PacketError::UnknownType(number), length));
    };
    let packet = Packet { packet_type, data };
    Ok(match packet.check_argument_count() {
        Ok(()) => Parsed::Complete(packet, length),
        Err(error) => Parsed::Invalid(error, length),
    })
}

impl<'a> Packet<'a> {
    fn check_argument_count(&self) -> Result<(), PacketError> {
        let expected = self.packet_type.argument_count();
        // The last argument may contain any bytes, also NULs. A packet type without arguments has no data.
        let found = match expected {
            0 => usize::from(!self.data.is_empty()),
            _ => 1 + self.data.iter().filter(|&&byte| byte == 0).take(expected - 1).count(),
        };
        if found == expected {
            Ok(())
        } else {
            Err(PacketError::ArgumentCount { packet_type: self.packet_type, expected, found })
        }
    }

    /// Returns the first `N - 1` arguments, and the rest of the data as the last one. A packet that `parse` returned
    /// has [`PacketType::argument_count`] arguments; a missing argument is returned empty.
    pub fn arguments<const N: usize>(&self) -> [&'a [u8]; N] {
        let mut parts = self.data.splitn(N, |&byte| byte == 0);
        std::array::from_fn(|_| parts.next().unwrap_or_default())
    }
}

/// Encodes a packet.
pub fn encode(sender: Sender, packet_type: PacketType, arguments: &[&[u8]]) -> Vec<u8> {
    let size =
        arguments.iter().map(|argument| argument.len()).sum::<usize>() + arguments.len().saturating_sub(1);
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + size);
    bytes.extend_from_slice(if sender == Sender::Peer { &REQUEST_MAGIC } else { &RESPONSE_MAGIC });
    bytes.extend_from_slice(&(packet_type as u32).to_be_bytes());
    bytes.extend_from_slice(&(size as u32).to_be_bytes());
    for (index, argument) in arguments.iter().enumerate() {
        if index > 0 {
            bytes.push(0);
        }
        bytes.extend_from_slice(argument);
    }
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_packet_is_complete_only_with_its_last_byte() {
        let bytes = encode(Sender::Peer, PacketType::SubmitJob, &[b"look", b"u1", b"a\0b"]);
        for length in 0..bytes.len() {
            assert_eq!(
                parse(&bytes[..length], Sender::Peer, 100),
                Ok(Parsed::Incomplete),
                "truncated to {length} bytes"
            );
        }
        let Ok(Parsed::Complete(packet, length)) = parse(&bytes, Sender::Peer, 100) else {
            panic!("all bytes of the packet did not parse as a complete packet")
        };
        assert_eq!((packet.packet_type, length), (PacketType::SubmitJob, bytes.len()));
        assert_eq!(packet.arguments::<3>(), [&b"look"[..], b"u1", b"a\0b"]);
    }

    #[test]
    fn a_bad_magic_or_size_ends_parsing_and_other_errors_give_the_length_to_skip() {
        assert_eq!(parse(b"\0RE?", Sender::Peer, 100), Err(PacketError::BadMagic));
        assert_eq!(parse(b"\0RES", Sender::Peer, 100), Err(PacketError::BadMagic));
        let oversized = [&REQUEST_MAGIC[..], &7_u32.to_be_bytes(), &u32::MAX.to_be_bytes()].concat();
        assert_eq!(
            parse(&oversized, Sender::Peer, 100),
            Err(PacketError::TooLarge { size: u32::MAX, limit: 100 })
        );
        let unknown_type = [&REQUEST_MAGIC[..], &99_u32.to_be_bytes(), &2_u32.to_be_bytes(), b"ab"].concat();
        assert_eq!(
            parse(&unknown_type, Sender::Peer, 100),
            Ok(Parsed::Invalid(PacketError::UnknownType(99), 14))
        );
        let too_few = encode(Sender::Peer, PacketType::SubmitJob, &[b"look", b"u1"]);
        let error = PacketError::ArgumentCount { packet_type: PacketType::SubmitJob, expected: 3, found: 2 };
        assert_eq!(parse(&too_few, Sender::Peer, 100), Ok(Parsed::Invalid(error, too_few.len())));
        let too_many = encode(Sender::Peer, PacketType::GrabJob, &[b"x"]);
        let error = PacketError::ArgumentCount { packet_type: PacketType::GrabJob, expected: 0, found: 1 };
        assert_eq!(parse(&too_many, Sender::Peer, 100), Ok(Parsed::Invalid(error, too_many.len())));
    }

    #[test]
    fn every_packet_type_has_its_own_number_and_is_found_by_it() {
        assert!(
            PacketType::ALL
                .iter()
                .all(|&packet_type| PacketType::from_number(packet_type as u32) == Some(packet_type))
        );
    }
}
