//! Digest of the worker list: equal at all schedulers that have the same list, whatever the order or number
//! of updates in which they received it.

use super::entry::Entry;
use sha2::{Digest, Sha256};

/// Computes the digest of the entries. Addresses are left out because they may differ between schedulers.
pub(super) fn list_digest<'a>(entries: impl Iterator<Item = &'a Entry>) -> u64 {
    let mut entries: Vec<&Entry> = entries.collect();
    entries.sort_unstable_by(|one, other| one.host.cmp(&other.host));
    let mut hash = Sha256::new();
    for entry in entries {
        for text in [&entry.host, &entry.zone, &entry.kind, &entry.health] {
            hash.update((text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.update(entry.cell.to_le_bytes());
        hash.update(entry.weight.to_bits().to_le_bytes());
        hash.update(entry.started_ms.to_le_bytes());
    }
    let hash: [u8; 32] = hash.finalize().into();
    let [a, b, c, d, e, f, g, h, ..] = hash;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(host: &str, address: &str, health: &str) -> Entry {
        let (zone, kind) = ("north".to_owned(), "big".to_owned());
        let (host, address, health) = (host.to_owned(), address.to_owned(), health.to_owned());
        Entry { host, address, zone, kind, cell: 0, health, weight: 1.0, started_ms: 7 }
    }

    #[test]
    fn digest_ignores_order_and_addresses_and_covers_all_other_fields() {
        let digest = |entries: &[Entry]| list_digest(entries.iter());
        let base = digest(&[entry("a", "10.0.0.1:1", "in_service"), entry("b", "10.0.0.2:1", "in_service")]);
        assert_eq!(
            base,
            digest(&[entry("b", "10.9.0.2:1", "in_service"), entry("a", "10.9.0.1:1", "in_service")])
        );
        assert_ne!(base, digest(&[entry("a", "10.0.0.1:1", "in_service")]));
        assert_ne!(
            base,
            digest(&[entry("a", "10.0.0.1:1", "in_service"), entry("b", "10.0.0.2:1", "terminating")])
        );
        let restarted = Entry { started_ms: 8, ..entry("b", "10.0.0.2:1", "in_service") };
        assert_ne!(base, digest(&[entry("a", "10.0.0.1:1", "in_service"), restarted]));
        assert_ne!(digest(&[entry("ab", "", "c")]), digest(&[entry("a", "", "bc")]));
    }
}
