//! Locates the scheduler executable and builds it when run under cargo.

use std::path::PathBuf;
use std::process::Command;

/// Returns the path of the scheduler executable, which lies in the same folder as this executable. Under cargo
/// (`CARGO` is set) it is built first, with this executable's profile.
///
/// # Errors
///
/// The build fails, or the executable does not exist.
pub fn program() -> Result<PathBuf, String> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "--package", "calicolb", "--bin", "calicolb"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().map_err(|error| format!("starting cargo failed: {error}"))?;
        if !built.success() {
            return Err("building the scheduler failed: cargo build --package calicolb".to_owned());
        }
    }
    let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
    // Test executables lie in the subfolder deps.
    let target_folder = own_path
        .parent()
        .filter(|target_folder| target_folder.ends_with("deps"))
        .and_then(|target_folder| target_folder.parent());
    let program = match target_folder {
        Some(target_folder) => target_folder.join("calicolb"),
        None => own_path.with_file_name("calicolb"),
    };
    if program.exists() {
        Ok(program)
    } else {
        Err(format!(
            "scheduler executable {} does not exist: build it with cargo build --release",
            program.display()
        ))
    }
}
