//! Tests of the account and of its limit.

use super::*;

#[test]
fn account_holds_the_sum_of_all_charges_until_they_are_dropped() {
    let account = MemoryAccount::new(1_000);
    let mut input = account.charge(MemoryUse::Connection);
    input.set(700);
    let mut payload = account.charge(MemoryUse::Payload);
    payload.set(300);
    assert_eq!((account.used(), account.is_exceeded()), (1_000, false));
    let copy = payload.clone();
    assert_eq!((account.used(), account.is_exceeded()), (1_300, true));
    drop(payload);
    input.set(100);
    assert_eq!((account.used(), account.is_exceeded()), (400, false));
    drop((input, copy));
    assert_eq!(account.used(), 0);
    assert_eq!(account.metrics()[3], ("memory.peak", 1_300));
    MemoryCharge::default().set(500);
}

#[test]
fn payloads_leave_room_for_input_and_large_ones_for_small_ones() {
    let account = MemoryAccount::new(MIB);
    let mut payloads = account.charge(MemoryUse::Payload);
    payloads.set(MIB * 3 / 8);
    assert!(account.admits_payload(SMALL_PAYLOAD + 1));
    payloads.set(MIB * 3 / 8 + 1);
    assert!(account.admits_payload(SMALL_PAYLOAD) && !account.admits_payload(SMALL_PAYLOAD + 1));
    payloads.set(MIB / 2 + 1);
    assert!(!account.admits_payload(1));
}

// Guards against two processes of an upgrade that together need more than the configured memory.
#[test]
fn two_processes_with_full_accounts_and_their_workers_fit_into_the_configured_memory() {
    for (memory_mib, workers) in [(32, 0), (32, 100), (48, 800), (80, 3_200), (192, 3_200)] {
        let limit = account_limit(memory_mib * MIB, workers);
        let process = BASE_BYTES + workers * BYTES_PER_WORKER + limit;
        assert!(limit > MIN_LIMIT, "{memory_mib} MiB, {workers} workers: {limit}");
        assert!(PROCESSES * process <= memory_mib * MIB, "{memory_mib} MiB, {workers} workers: {process}");
    }
    assert_eq!(account_limit(32 * MIB, 3_200), MIN_LIMIT);
}
