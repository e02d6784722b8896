//! Starts the programs under test as child processes.

use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Bytes that a slow reader of a log takes at once, and its pause between them.
const SLOW_READ_BYTES: usize = 256;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(250);

/// Returns the path of a binary or example that was built with the tests.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test executable is known");
    let mut folder = test.parent().expect("an executable has a parent folder");
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder = folder.parent().expect("the folder has a parent");
    }
    let candidates = [folder.join(name), folder.join("examples").join(name)];
    let found = candidates.into_iter().find(|path| path.exists());
    found.unwrap_or_else(|| panic!("{name} is not built; run the tests with --workspace"))
}

/// Starts a program in `folder`; its standard output and error are appended to the file `log`.
pub(crate) fn spawn(program: &str, arguments: &[String], folder: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be opened");
    let errors = log.try_clone().expect("the log handle can be duplicated");
    Command::new(binary(program))
        .args(arguments)
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program starts")
}

/// Starts a program in `folder` as [`spawn`] does; its standard output passes through a pipe that is read slowly.
pub(crate) fn spawn_with_slow_reader(
    program: &str,
    arguments: &[String],
    folder: &Path,
    log: &Path,
) -> Child {
    let mut log =
        File::options().create(true).append(true).open(log).expect("the log can be opened");
    let mut child = Command::new(binary(program))
        .args(arguments)
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log.try_clone().expect("the log handle can be duplicated"))
        .spawn()
        .expect("the program starts");
    let mut output = child.stdout.take().expect("the output is a pipe");
    std::thread::spawn(move || {
        let mut bytes = [0; SLOW_READ_BYTES];
        while let Ok(count @ 1..) = output.read(&mut bytes) {
            if log.write_all(&bytes[..count]).is_err() {
                return;
            }
            std::thread::sleep(SLOW_READ_PAUSE);
        }
    });
    child
}
