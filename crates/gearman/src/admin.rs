//! Parser of the administrative protocol, which shares the port with the binary protocol. A command is a line of text. Its
//! answer has one or more lines; a line with a single full stop ends a list.

/// The largest length of a command line, in bytes, including its line feed.
pub const MAX_LINE_LENGTH: usize = 512;

/// An administrative command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Lists the functions with the numbers of their open jobs, running jobs and capable connections.
    Status,
    /// Lists the worker connections with their addresses, client ids and functions.
    Workers,
    /// Returns the version of the program.
    Version,
    /// Returns the process id.
    Pid,
    /// Sets the largest number of open jobs of a function; `None`: no limit.
    MaxQueue(String, Option<usize>),
    /// Lists the open jobs by handle.
    ShowJobs,
    /// Lists the open jobs by unique id.
    ShowUniqueJobs,
    /// Cancels the job with this handle.
    CancelJob(String),
    /// Ends the program.
    Shutdown {
        /// Whether to wait without limit for the open jobs (`shutdown graceful`).
        graceful: bool,
    },
}

impl Command {
    /// Whether the command changes state, so that the operator file must allow it.
    pub fn changes_state(&self) -> bool {
        matches!(self, Command::MaxQueue(..) | Command::CancelJob(_) | Command::Shutdown { .. })
    }
}

/// The answer to a line that is no valid command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ERR {code} {text}")]
pub struct CommandError {
    /// The error code, a single word.
    pub code: &'static str,
    /// The description of the error.
    pub text: &'static str,
}

fn command_error<T>(code: &'static str, text: &'static str) -> Result<T, CommandError> {
    Err(CommandError { code, text })
}

/// Parses a command line without its line feed.
///
/// # Errors
/// Returns the answer to a line that is no valid command.
pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
    let Ok(text) = std::str::from_utf8(line) else {
        return command_error("UNKNOWN_COMMAND", "it is not text");
    };
    let words: Vec<&str> = text.split_ascii_whitespace().collect();
    match words[..] {
        ["status"] => Ok(Command::Status),
        ["workers"] => Ok(Command::Workers),
        ["version"] => Ok(Command::Version),
        ["getpid"] => Ok(Command::Pid),
        ["show", "jobs"] => Ok(Command::ShowJobs),
        ["show", "unique", "jobs"] => Ok(Command::ShowUniqueJobs),
        ["shutdown"] => Ok(Command::Shutdown { graceful: false }),
        ["shutdown", "graceful"] => Ok(Command::Shutdown { graceful: true }),
        ["cancel", "job", handle] => Ok(Command::CancelJob(handle.to_owned())),
        ["cancel", ..] => command_error("INCOMPLETE_ARGS", "write: cancel job HANDLE"),
        ["show", ..] => command_error("INCOMPLETE_ARGS", "write: show jobs, or: show unique jobs"),
        ["maxqueue", function] => Ok(Command::MaxQueue(function.to_owned(), None)),
        ["maxqueue", function, max_open] => match max_open.parse::<i64>() {
            // By convention of the protocol a negative number means no limit.
            Ok(max_open) => Ok(Command::MaxQueue(function.to_owned(), usize::try_from(max_open).ok())),
            Err(_) => command_error("INVALID_ARGS", "the bound is not a number"),
        },
        ["maxqueue", ..] => command_error("INCOMPLETE_ARGS", "write: maxqueue FUNCTION NUMBER"),
        _ => command_error("UNKNOWN_COMMAND", "unknown server command"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_commands_are_parsed_and_other_lines_get_an_error_code() {
        assert_eq!(parse(b"status"), Ok(Command::Status));
        assert_eq!(parse(b"  show unique   jobs "), Ok(Command::ShowUniqueJobs));
        assert_eq!(parse(b"maxqueue look 7"), Ok(Command::MaxQueue("look".to_owned(), Some(7))));
        assert_eq!(parse(b"maxqueue look -1"), Ok(Command::MaxQueue("look".to_owned(), None)));
        assert_eq!(parse(b"shutdown graceful"), Ok(Command::Shutdown { graceful: true }));
        assert_eq!(parse(b"cancel job H:a:1"), Ok(Command::CancelJob("H:a:1".to_owned())));
        assert!(parse(b"cancel job H:a:1").is_ok_and(|command| command.changes_state()));
        let code = |line: &[u8]| parse(line).expect_err("the line was parsed as a command").code;
        assert_eq!(code(b""), "UNKNOWN_COMMAND");
        assert_eq!(code(b"\xff"), "UNKNOWN_COMMAND");
        assert_eq!(code(b"maxqueue look many"), "INVALID_ARGS");
        assert_eq!(code(b"cancel"), "INCOMPLETE_ARGS");
    }
}
