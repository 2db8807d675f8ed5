//! The digest of a list: alike at all schedulers that have the same list, in whatever order and steps it came to them.

use super::entry::Line;
use sha2::{Digest, Sha256};

/// The digest of these lines. Addresses do not count: they may differ between schedulers.
pub(super) fn digest<'a>(lines: impl Iterator<Item = &'a Line>) -> u64 {
    let mut lines: Vec<&Line> = lines.collect();
    lines.sort_unstable_by(|one, other| one.host.cmp(&other.host));
    let mut hash = Sha256::new();
    for line in lines {
        for text in [&line.host, &line.site, &line.class, &line.health] {
            hash.update((text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.update(line.block.to_le_bytes());
        hash.update(line.share.to_bits().to_le_bytes());
        hash.update(line.born_ms.to_le_bytes());
    }
    let hash: [u8; 32] = hash.finalize().into();
    let [a, b, c, d, e, f, g, h, ..] = hash;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(host: &str, dial: &str, health: &str) -> Line {
        let (site, class) = ("north".to_owned(), "big".to_owned());
        let (host, dial, health) = (host.to_owned(), dial.to_owned(), health.to_owned());
        Line { host, dial, site, class, block: 0, health, share: 1.0, born_ms: 7 }
    }

    #[test]
    fn order_and_addresses_do_not_count_and_all_else_does() {
        let of = |lines: &[Line]| digest(lines.iter());
        let base = of(&[line("a", "10.0.0.1:1", "in_service"), line("b", "10.0.0.2:1", "in_service")]);
        assert_eq!(base, of(&[line("b", "10.9.0.2:1", "in_service"), line("a", "10.9.0.1:1", "in_service")]));
        assert_ne!(base, of(&[line("a", "10.0.0.1:1", "in_service")]));
        assert_ne!(
            base,
            of(&[line("a", "10.0.0.1:1", "in_service"), line("b", "10.0.0.2:1", "terminating")])
        );
        let restarted = Line { born_ms: 8, ..line("b", "10.0.0.2:1", "in_service") };
        assert_ne!(base, of(&[line("a", "10.0.0.1:1", "in_service"), restarted]));
        assert_ne!(of(&[line("ab", "", "c")]), of(&[line("a", "", "bc")]));
    }
}
