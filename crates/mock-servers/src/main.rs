//! Runs a mock engine on loopback for manual tests.
#![forbid(unsafe_code)]

use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use pico_args::Arguments;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

const HELP: &str = "driftfront-mock-servers: mock servers for the systems that driftfront talks to

usage:
  driftfront-mock-servers engine [--listen ADDRESS] [--name NAME] [--old] [--user NAME:KEY] [--most N]

An engine implements ClickHouse's HTTP interface and computes small results. ADDRESS must be on loopback; the default is
127.0.0.1:9123. --old: exceptions after rows are plain lines, without a tag. --most: the limit of concurrent statements;
further ones fail with code 202.
Faults are requested in a comment of the statement, as in SELECT 1 /* standin: sleep_ms=500 late=241 first */:
  error=CODE  remote_error=CODE  full  cut  silent  sleep_ms=N  late=CODE [whole]  lie  twice  bad_block  crawl_ms=N
  silent_after=BYTES  cut_after=BYTES  bad_block_after=BYTES  slow_ms=N  error_after=BYTES (inserts)  first
";

const DEFAULT_ADDRESS: &str = "127.0.0.1:9123";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("driftfront-mock-servers: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    if args.subcommand()?.as_deref() != Some("engine") {
        return Err("the command must be engine; see --help".into());
    }
    let listen = read_listen_address(&mut args)?;
    let options = read_engine_options(&mut args)?;
    if let Some(unknown) = args.finish().first() {
        let unknown = unknown.to_string_lossy();
        return Err(format!("unknown argument {unknown}; see --help").into());
    }
    let engine = Engine::listen(listen, options, Arc::new(RequestLog::default()))?;
    println!("engine {} listens on {}", engine.name(), engine.addr());
    loop {
        std::thread::park();
    }
}

fn read_listen_address(args: &mut Arguments) -> Result<SocketAddr, Box<dyn Error>> {
    let text: Option<String> = args.opt_value_from_str("--listen")?;
    let text = text.unwrap_or_else(|| DEFAULT_ADDRESS.into());
    let addr: SocketAddr = text.parse().map_err(|e| format!("--listen {text}: {e}"))?;
    if !addr.ip().is_loopback() {
        return Err(format!("--listen {text}: not a loopback address").into());
    }
    Ok(addr)
}

fn read_engine_options(args: &mut Arguments) -> Result<Options, Box<dyn Error>> {
    let user: Option<String> = args.opt_value_from_str("--user")?;
    let user = user.map(|user| {
        let (name, key) = user.split_once(':').ok_or("--user takes NAME:KEY")?;
        Ok::<_, &str>((name.to_string(), key.to_string()))
    });
    let default = Options::default();
    Ok(Options {
        name: args.opt_value_from_str("--name")?.unwrap_or(default.name),
        tags: !args.contains("--old"),
        user: user.transpose()?,
        max_statements: args
            .opt_value_from_str("--most")?
            .unwrap_or(default.max_statements),
    })
}
