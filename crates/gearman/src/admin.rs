//! The text commands on the same port: a line each, answered with lines, the last of a list being a single point.

/// The longest line that is taken, in bytes.
pub const LINE: usize = 512;

/// What a line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Functions, with jobs, running jobs and workers.
    Status,
    /// Connections, with their ids and functions.
    Workers,
    /// The program's version.
    Version,
    /// The number of the process.
    Pid,
    /// So many jobs of a function may wait; `None`: any number.
    MaxQueue(String, Option<usize>),
    /// Open jobs by handle.
    ShowJobs,
    /// Open jobs by unique id.
    ShowUniqueJobs,
    /// Calls off a job, by its handle.
    CancelJob(String),
    /// Ends the program; gracefully, however long its jobs take.
    Shutdown {
        /// `shutdown graceful`.
        graceful: bool,
    },
}

impl Command {
    /// It changes something, so an operator must have allowed it.
    pub fn changes(&self) -> bool {
        matches!(self, Command::MaxQueue(..) | Command::CancelJob(_) | Command::Shutdown { .. })
    }
}

/// A line that is no command: its answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ERR {code} {text}")]
pub struct Refusal {
    /// One word.
    pub code: &'static str,
    /// What is wrong.
    pub text: &'static str,
}

fn refuse<T>(code: &'static str, text: &'static str) -> Result<T, Refusal> {
    Err(Refusal { code, text })
}

/// Reads a line, without its end.
///
/// # Errors
/// The answer to a line that is no command.
pub fn parse(line: &[u8]) -> Result<Command, Refusal> {
    let Ok(text) = std::str::from_utf8(line) else { return refuse("UNKNOWN_COMMAND", "it is not text") };
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
        ["cancel", ..] => refuse("INCOMPLETE_ARGS", "write: cancel job HANDLE"),
        ["show", ..] => refuse("INCOMPLETE_ARGS", "write: show jobs, or: show unique jobs"),
        ["maxqueue", function] => Ok(Command::MaxQueue(function.to_owned(), None)),
        ["maxqueue", function, most] => match most.parse::<i64>() {
            // A negative bound has always meant none.
            Ok(most) => Ok(Command::MaxQueue(function.to_owned(), usize::try_from(most).ok())),
            Err(_) => refuse("INVALID_ARGS", "the bound is not a number"),
        },
        ["maxqueue", ..] => refuse("INCOMPLETE_ARGS", "write: maxqueue FUNCTION NUMBER"),
        _ => refuse("UNKNOWN_COMMAND", "unknown server command"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn commands_are_read_and_the_rest_is_told_what_is_wrong() {
        assert_eq!(parse(b"status"), Ok(Command::Status));
        assert_eq!(parse(b"  show unique   jobs "), Ok(Command::ShowUniqueJobs));
        assert_eq!(parse(b"maxqueue look 7"), Ok(Command::MaxQueue("look".to_owned(), Some(7))));
        assert_eq!(parse(b"maxqueue look -1"), Ok(Command::MaxQueue("look".to_owned(), None)));
        assert_eq!(parse(b"shutdown graceful"), Ok(Command::Shutdown { graceful: true }));
        assert_eq!(parse(b"cancel job H:a:1"), Ok(Command::CancelJob("H:a:1".to_owned())));
        assert!(parse(b"cancel job H:a:1").is_ok_and(|command| command.changes()));
        let code = |line: &[u8]| parse(line).expect_err("it is no command").code;
        assert_eq!(code(b""), "UNKNOWN_COMMAND");
        assert_eq!(code(b"\xff"), "UNKNOWN_COMMAND");
        assert_eq!(code(b"maxqueue look many"), "INVALID_ARGS");
        assert_eq!(code(b"cancel"), "INCOMPLETE_ARGS");
    }
}
