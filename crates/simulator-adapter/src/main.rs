//! Reads batches from standard input and writes one reply per batch to standard output.
#![forbid(unsafe_code)]

use driftfront_simulator_adapter::{read_batch, Host};
use std::error::Error;
use std::io::{BufReader, BufWriter, Write};
use std::process::ExitCode;

const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("driftfront-simulator-adapter: {info}");
    }));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("driftfront-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, std::io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, std::io::stdout().lock());
    let mut host = Host::default();
    while let Some((now, body)) = read_batch(&mut input)? {
        let reply = host.batch(now, &body)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write the reply: {e}"))?;
    }
    Ok(())
}
