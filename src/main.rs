//! The program `mossrill`: a limiter on real sockets, and what else its command line offers.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
