//! Lets the simulator drive asterramp's placement engine: decodes the event batches on standard input, passes each
//! event to the engine of its proxy instance, and writes the engines' actions to standard output.
//!
//! The program holds one [`PlacementEngine`](asterramp_placement::PlacementEngine) for each proxy instance and makes
//! no decisions itself. It exits with success at the end of its input, and with failure and one line on standard error
//! at malformed input.

mod error;
mod id_table;
mod instance;
mod instance_table;
mod serve;
mod translate;
mod wire;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = BufWriter::new(io::stdout().lock());
    match serve::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterramp-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
