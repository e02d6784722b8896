//! Entry point of the daemon.

use std::process::ExitCode;

use kingcuplift_daemon::cli::Arguments;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match kingcuplift_daemon::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcupliftd: {error}");
            error.exit_code()
        }
    }
}
