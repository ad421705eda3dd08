//! Sub-commands that don't use the control socket. `counters` contacts a coordinator at its clients' address.

use super::error::CommandError;
use super::{expect_no_more, remote};
use calloop::EventLoop;
use driftfront::config::Config;
use driftfront::node::Node;
use driftfront_console::remote::Endpoint;
use driftfront_control::commands;
use pico_args::Arguments;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};

/// Returns the path given by `--config`, otherwise that of `LB_CONFIG`.
fn config_path(arguments: &mut Arguments) -> Result<PathBuf, CommandError> {
    let named: Option<PathBuf> = arguments.opt_value_from_str("--config")?;
    named
        .or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from))
        .ok_or(CommandError::NoConfig)
}

/// Runs a coordinator until it is told to stop.
pub(super) fn serve(mut arguments: Arguments) -> Result<(), CommandError> {
    let path = config_path(&mut arguments)?;
    let level: Option<tracing::Level> = arguments.opt_value_from_str("--log")?;
    expect_no_more(arguments)?;
    let config = Config::load(&path)?;
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    let events = EventLoop::try_new().map_err(CommandError::EventLoop)?;
    Node::new(config, &events)?.run(events);
    Ok(())
}

/// Validates a configuration and prints its settings.
pub(super) fn check(mut arguments: Arguments) -> Result<(), CommandError> {
    let path = config_path(&mut arguments)?;
    expect_no_more(arguments)?;
    let config = Config::load(&path)?;
    print!("{}", driftfront::console::describe(&config));
    Ok(())
}

/// Writes a commented example of an operator's file; an existing file is not overwritten.
pub(super) fn init(mut arguments: Arguments) -> Result<(), CommandError> {
    let named: Option<PathBuf> = arguments.opt_free_from_str()?;
    expect_no_more(arguments)?;
    let path = named.unwrap_or("driftfront.kdl".into());
    let shown = path.display().to_string();
    write_new_file(&path, driftfront::operator_config::EXAMPLE).map_err(|source| {
        CommandError::File {
            path: shown.clone(),
            source,
        }
    })?;
    println!(
        "{shown} is written; list your engines in it, then run driftfront serve --config {shown}"
    );
    Ok(())
}

fn write_new_file(path: &Path, text: &str) -> std::io::Result<()> {
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(path)?;
    file.write_all(text.as_bytes())
}

/// Runs a coordinator with mock engines and a light load, and opens the console.
pub(super) fn demo(mut arguments: Arguments) -> Result<(), CommandError> {
    let is_plain = arguments.contains("--plain");
    expect_no_more(arguments)?;
    let demo = driftfront::demo::Demo::start()?;
    let target = Endpoint::Socket(demo.socket.clone());
    println!(
        "demo coordinator: queries at {}, control socket at {}",
        demo.listen,
        demo.socket.display()
    );
    if is_plain || !std::io::stdout().is_terminal() {
        remote::print_status_under_load(&target)?;
    } else {
        let has_color = std::env::var_os("NO_COLOR").is_none();
        driftfront_console::run::run(target, has_color)?;
    }
    let _ = std::fs::remove_file(&demo.socket);
    Ok(())
}

/// Prints a running coordinator's counters.
pub(super) fn counters(mut arguments: Arguments) -> Result<(), CommandError> {
    let address: String = arguments.value_from_str("--at")?;
    expect_no_more(arguments)?;
    print!("{}", driftfront::console::counters(&address)?);
    Ok(())
}

pub(super) fn completions(mut arguments: Arguments) -> Result<(), CommandError> {
    let shell: String = arguments.free_from_str()?;
    expect_no_more(arguments)?;
    let text = commands::completions(&shell).ok_or(CommandError::UnknownShell(shell))?;
    print!("{text}");
    Ok(())
}

pub(super) fn manual() -> Result<(), CommandError> {
    print!("{}", commands::manual());
    Ok(())
}

pub(super) fn version(arguments: Arguments) -> Result<(), CommandError> {
    expect_no_more(arguments)?;
    println!("driftfront {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}
