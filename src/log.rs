//! The log: lines on standard error, so many a second at most, as text or as JSON with fields.

use clap::ValueEnum;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::Level;

/// Lines a second at most: a flood of bad input must not become a flood of writes.
const LINES_PER_SECOND: u64 = 40;

/// The second in the upper bits, the lines of that second in the lower ones.
static LINES: AtomicU64 = AtomicU64::new(0);

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people: time, level, text, then fields.
    #[default]
    Text,
    /// For programs: one JSON object a line.
    Json,
}

/// Begins to log. A reader that has gone away does not end the program.
pub fn start(format: Format, level: Level) {
    let lines = tracing_subscriber::fmt().with_writer(io::stderr).with_max_level(level).with_ansi(false);
    let lines = lines.with_target(false);
    // That there is a log already is nothing to fail for.
    let _ = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
}

/// Whether one more line may be written now; `Some(n)` where `n` lines were dropped before it.
pub fn admit() -> Option<u64> {
    let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs());
    admit_at(&LINES, second)
}

fn admit_at(lines: &AtomicU64, second: u64) -> Option<u64> {
    let before = lines.load(Ordering::Relaxed);
    let (then, count) = (before >> 24, before & 0xff_ffff);
    if then != second {
        lines.store(second << 24 | 1, Ordering::Relaxed);
        return Some(count.saturating_sub(LINES_PER_SECOND));
    }
    lines.store(second << 24 | (count + 1).min(0xff_ffff), Ordering::Relaxed);
    (count < LINES_PER_SECOND).then_some(0)
}

/// Writes one line, unless too many were written in this second already. Fields come before the text, as `tracing` has
/// them; `warn:` and `debug:` before all of it set another level than info.
macro_rules! log_line {
    (warn: $($part:tt)*) => { $crate::log::log_line!(@ WARN $($part)*) };
    (debug: $($part:tt)*) => { $crate::log::log_line!(@ DEBUG $($part)*) };
    (@ $level:ident $($part:tt)*) => {
        if tracing::enabled!(tracing::Level::$level)
            && let Some(dropped) = $crate::log::admit()
        {
            if dropped > 0 {
                tracing::warn!(dropped, "lines were dropped");
            }
            tracing::event!(tracing::Level::$level, $($part)*);
        }
    };
    ($($part:tt)*) => { $crate::log::log_line!(@ INFO $($part)*) };
}
pub(crate) use log_line;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let lines = AtomicU64::new(0);
        let passed = (0..1000).filter(|_| admit_at(&lines, 7).is_some()).count() as u64;
        assert_eq!(passed, LINES_PER_SECOND);
        assert_eq!(admit_at(&lines, 8), Some(1000 - LINES_PER_SECOND));
        assert_eq!(admit_at(&lines, 8), Some(0));
    }
}
