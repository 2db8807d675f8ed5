//! A store in use is locked to other processes. This test has a program of its own, because a process that a test
//! starts briefly inherits all open files of concurrent tests, including their locks.

use calicolb_consensus::store::{FileStore, StoreError};
use std::path::Path;
use std::process::Command;

#[test]
fn a_store_is_locked_to_a_second_process() {
    const DIRECTORY_VARIABLE: &str = "CALICOLB_AGREED_SECOND_PROCESS";
    if let Some(directory) = std::env::var_os(DIRECTORY_VARIABLE) {
        // This branch runs in the second process.
        assert!(matches!(FileStore::open(Path::new(&directory)), Err(StoreError::Locked)));
        return;
    }
    let directory = std::env::temp_dir().join(format!("consensus-second-{}", std::process::id()));
    let run_second_process = || {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command
            .args(["--exact", "a_store_is_locked_to_a_second_process"])
            .env(DIRECTORY_VARIABLE, &directory)
            .output()
            .unwrap()
    };
    let store = FileStore::open(&directory).unwrap();
    assert!(
        run_second_process().status.success(),
        "the second process was not locked out while the first one uses the store"
    );
    drop(store);
    assert!(
        !run_second_process().status.success(),
        "the second process was locked out after the first one closed the store"
    );
    std::fs::remove_dir_all(&directory).unwrap();
}
