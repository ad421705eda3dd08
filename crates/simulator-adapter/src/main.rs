//! Reads batches on standard input and writes one reply for each on standard output.
use std::io::{BufReader, BufWriter, Write};

fn main() -> std::process::ExitCode {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("driftfront-simulator-adapter: {info}")
    }));
    let mut input = BufReader::with_capacity(1 << 20, std::io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, std::io::stdout().lock());
    let mut host = driftfront_simulator_adapter::Host::default();
    let run = loop {
        match driftfront_simulator_adapter::read_batch(&mut input) {
            Ok(None) => break Ok(()),
            Ok(Some((now, body))) => match host.batch(now, &body) {
                Ok(reply) => {
                    if let Err(e) = output.write_all(&reply).and_then(|()| output.flush()) {
                        break Err(format!("cannot write the reply: {e}"));
                    }
                }
                Err(e) => break Err(e),
            },
            Err(e) => break Err(e),
        }
    };
    match run {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftfront-simulator-adapter: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
