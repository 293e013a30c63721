//! Entry point of the dispatcher and its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    ottercroft::cli::run()
}
