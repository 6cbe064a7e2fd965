//! Runs any number of balancer instances for the simulator: reads its line protocol from standard input and replies on
//! standard output.

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, stdout().lock());
    match lotusmoor_simulator_adapter::serve(stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lotusmoor-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
