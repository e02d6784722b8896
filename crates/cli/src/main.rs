//! Command line for operators.

mod cli;
mod client;
mod command;
mod error;
mod output;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let arguments: cli::Arguments = argh::from_env();
    let outcome = actix_rt::System::new().block_on(command::run(&arguments));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcuplift: {error}");
            error.exit_code()
        }
    }
}
