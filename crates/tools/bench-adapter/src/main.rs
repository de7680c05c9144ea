//! Hosts directors for the bench: reads one JSON batch per line and writes one JSON reply per line.

mod batch;
mod error;
mod instances;
mod wire;

use batch::Batch;
use error::AdapterError;
use instances::Instances;
use std::io::{BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::Reply;

/// Answers each batch on standard input with a reply on standard output, until the end of the input.
fn run() -> Result<(), AdapterError> {
    let mut output = BufWriter::new(std::io::stdout().lock());
    let mut instances = Instances::default();
    for (batches_read, line) in (0..).zip(std::io::stdin().lock().lines()) {
        let line = line.map_err(|source| AdapterError::Input {
            batches_read,
            source,
        })?;
        let batch = Batch::parse(&line, batches_read + 1)?;
        let reply = Reply {
            batch: batch.number,
            orders: instances.handle(batch),
        };
        let line = serde_json::to_string(&reply).map_err(AdapterError::Encode)?;
        writeln!(output, "{line}")
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rushcourse-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
