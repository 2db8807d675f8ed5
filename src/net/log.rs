//! The log: lines on standard error, so many a second at most.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines a second at most: a flood of bad input must not become a flood of writes.
const LINES_PER_SECOND: u64 = 40;

/// The second in the upper bits, the lines of that second in the lower ones.
static LINES: AtomicU64 = AtomicU64::new(0);

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

/// Writes one line to standard error, unless too many were written in this second already.
macro_rules! note {
    ($($part:tt)*) => {
        if let Some(dropped) = $crate::net::log::admit() {
            if dropped > 0 {
                eprintln!("calicolb: {dropped} lines were dropped");
            }
            eprintln!("calicolb: {}", format_args!($($part)*));
        }
    };
}
pub(crate) use note;

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
