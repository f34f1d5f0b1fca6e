//! The `mossrill` binary: runs a limiter on real sockets, and provides the other functions of its
//! command line.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
