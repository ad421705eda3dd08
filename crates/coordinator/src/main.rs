//! Command line of driftfront, a query coordinator. The coordinator itself is `driftfront::node`.
#![forbid(unsafe_code)]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(pico_args::Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("driftfront: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
