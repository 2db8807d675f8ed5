//! Where the scheduler's program is.

use std::path::PathBuf;
use std::process::Command;

/// The scheduler's program: beside this one, built first where cargo started this one.
///
/// # Errors
///
/// It cannot be built, or is not there.
pub fn program() -> Result<PathBuf, String> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "--package", "calicolb", "--bin", "calicolb"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().map_err(|error| format!("cargo cannot be started: {error}"))?;
        if !built.success() {
            return Err("the scheduler could not be built".to_owned());
        }
    }
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    // Tests run one folder further down.
    let folder = own.parent().filter(|folder| folder.ends_with("deps")).and_then(|folder| folder.parent());
    let program = match folder {
        Some(folder) => folder.join("calicolb"),
        None => own.with_file_name("calicolb"),
    };
    if program.exists() {
        Ok(program)
    } else {
        Err(format!("{} is not there: build it with cargo build --release", program.display()))
    }
}
