//! The log: lines on standard error, as text or as JSON with fields, limited to [`MAX_LINES_PER_SECOND`].

use clap::ValueEnum;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::Level;

/// The largest number of lines that are written per second, so that a flood of bad input does not become a flood of writes.
const MAX_LINES_PER_SECOND: u64 = 40;

/// The current second (Unix time) in the upper 40 bits and the number of lines requested in that second in the lower 24.
static LINE_COUNTER: AtomicU64 = AtomicU64::new(0);

/// Output format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Readable text: time, level, message, then fields.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Installs the global log writer. The program continues even if standard error is closed at its reading end.
pub fn start(format: LogFormat, level: Level) {
    let subscriber = tracing_subscriber::fmt().with_writer(io::stderr).with_max_level(level).with_ansi(false);
    let subscriber = subscriber.with_target(false);
    // An error means that a log writer is already installed, which then stays in use.
    let _ = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().flatten_event(true).try_init(),
    };
}

/// Counts one line against the limit of the current second. Returns `None` if the line must be dropped. Otherwise returns the
/// number of dropped lines to report: the first line of a second gets the number of lines that were dropped in the latest
/// earlier second in which lines were requested, and every other line gets 0.
pub fn admit_line() -> Option<u64> {
    let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs());
    admit_line_at(&LINE_COUNTER, second)
}

fn admit_line_at(counter: &AtomicU64, second: u64) -> Option<u64> {
    let packed = counter.load(Ordering::Relaxed);
    let (counted_second, count) = (packed >> 24, packed & 0xff_ffff);
    if counted_second != second {
        counter.store(second << 24 | 1, Ordering::Relaxed);
        return Some(count.saturating_sub(MAX_LINES_PER_SECOND));
    }
    counter.store(second << 24 | (count + 1).min(0xff_ffff), Ordering::Relaxed);
    (count < MAX_LINES_PER_SECOND).then_some(0)
}

/// Writes one log line, unless the limit of the current second is reached. Fields come before the message, as in
/// `tracing::info!`; a leading `warn:` or `debug:` sets the level, which is info otherwise.
macro_rules! log_line {
    (warn: $($token:tt)*) => { $crate::log::log_line!(@ WARN $($token)*) };
    (debug: $($token:tt)*) => { $crate::log::log_line!(@ DEBUG $($token)*) };
    (@ $level:ident $($token:tt)*) => {
        if tracing::enabled!(tracing::Level::$level)
            && let Some(dropped) = $crate::log::admit_line()
        {
            if dropped > 0 {
                tracing::warn!(dropped, "log lines were dropped: more than the maximum were due in one second");
            }
            tracing::event!(tracing::Level::$level, $($token)*);
        }
    };
    ($($token:tt)*) => { $crate::log::log_line!(@ INFO $($token)*) };
}
pub(crate) use log_line;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_above_the_limit_are_dropped_and_counted() {
        let counter = AtomicU64::new(0);
        let admitted = (0..1000).filter(|_| admit_line_at(&counter, 7).is_some()).count() as u64;
        assert_eq!(admitted, MAX_LINES_PER_SECOND);
        assert_eq!(admit_line_at(&counter, 8), Some(1000 - MAX_LINES_PER_SECOND));
        assert_eq!(admit_line_at(&counter, 8), Some(0));
    }
}
