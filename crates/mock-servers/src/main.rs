//! Stand-ins by hand: an engine for trying things out, on loopback alone.
#![forbid(unsafe_code)]

use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::ledger::RequestLog;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

const HELP: &str = "driftfront-mock-servers: stand-ins for the systems that driftfront meets

usage:
  driftfront-mock-servers engine [--listen ADDRESS] [--name NAME] [--old] [--user NAME:KEY] [--most N]

An engine speaks ClickHouse's HTTP interface and computes small results. ADDRESS is on loopback, 127.0.0.1:9123 without
it. --old: exceptions behind rows are plain lines, without a tag. --most: statements at once, more get code 202.
Faults are asked for in a comment of the statement, as in SELECT 1 /* standin: sleep_ms=500 late=241 first */:
  error=CODE  full  cut  silent  sleep_ms=N  late=CODE [whole]  lie  twice  bad_block  crawl_ms=N
  silent_after=BYTES  cut_after=BYTES  bad_block_after=BYTES  slow_ms=N  error_after=BYTES (inserts)  first
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("driftfront-mock-servers: {words}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = args.subcommand().map_err(|e| e.to_string())?;
    if command.as_deref() != Some("engine") {
        return Err("say what to stand in for: engine; see --help".into());
    }
    let text =
        |args: &mut pico_args::Arguments, name: &'static str| -> Result<Option<String>, String> {
            args.opt_value_from_str(name)
                .map_err(|e: pico_args::Error| e.to_string())
        };
    let listen = text(&mut args, "--listen")?.unwrap_or("127.0.0.1:9123".into());
    let listen: SocketAddr = listen
        .parse()
        .map_err(|e| format!("--listen {listen}: {e}"))?;
    if !listen.ip().is_loopback() {
        return Err(format!("--listen {listen}: stand-ins stay on loopback"));
    }
    let user = text(&mut args, "--user")?.map(|u| {
        let split = u
            .split_once(':')
            .map(|(n, k)| (n.to_string(), k.to_string()));
        split.ok_or("--user takes NAME:KEY".to_string())
    });
    let options = Options {
        name: text(&mut args, "--name")?.unwrap_or("engine".into()),
        tags: !args.contains("--old"),
        user: user.transpose()?,
        most: args
            .opt_value_from_str("--most")
            .map_err(|e| e.to_string())?
            .unwrap_or(usize::MAX),
    };
    if let Some(word) = args.finish().first() {
        return Err(format!(
            "unknown argument {}; see --help",
            word.to_string_lossy()
        ));
    }
    let engine = Engine::listen(listen, options, Arc::new(RequestLog::default()))
        .map_err(|e| e.to_string())?;
    println!("engine {} listens on {}", engine.name(), engine.addr());
    loop {
        std::thread::park();
    }
}
