//! A store in use is closed to another process. Alone in its program: while a test starts a process, that process has
//! every file of the tests beside it for a moment, their locks too.

use calicolb_consensus::store::{FileStore, StoreError};
use std::path::Path;
use std::process::Command;

#[test]
fn a_second_process_is_locked_out() {
    const FOLDER: &str = "CALICOLB_AGREED_SECOND_PROCESS";
    if let Some(folder) = std::env::var_os(FOLDER) {
        // This is the second process.
        assert!(matches!(FileStore::open(Path::new(&folder)), Err(StoreError::Locked)));
        return;
    }
    let folder = std::env::temp_dir().join(format!("agreed-second-{}", std::process::id()));
    let second = || {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", "a_second_process_is_locked_out"]).env(FOLDER, &folder).output().unwrap()
    };
    let held = FileStore::open(&folder).unwrap();
    assert!(second().status.success(), "locked out while the first has it");
    drop(held);
    assert!(!second().status.success(), "not locked out afterwards");
    std::fs::remove_dir_all(&folder).unwrap();
}
