//! driftfront: a query coordinator on real sockets.
#![forbid(unsafe_code)]

mod remote;

use calloop::EventLoop;
use driftfront::config::Config;
use driftfront::node::Node;
use driftfront_control::commands;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command ended that did not do what was asked.
pub enum Failure {
    /// Something went wrong.
    Wrong(String),
    /// The command's words are off.
    Usage(String),
    /// The program refused it.
    Refused(String),
    /// No program answers there.
    Nobody(String),
}

impl Failure {
    fn code(&self) -> u8 {
        match self {
            Failure::Wrong(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Refused(_) => 3,
            Failure::Nobody(_) => 4,
        }
    }
    fn words(&self) -> &str {
        match self {
            Failure::Wrong(w) | Failure::Usage(w) | Failure::Refused(w) | Failure::Nobody(w) => w,
        }
    }
}

impl From<String> for Failure {
    fn from(words: String) -> Failure {
        Failure::Wrong(words)
    }
}

impl From<driftfront::config::ConfigError> for Failure {
    fn from(error: driftfront::config::ConfigError) -> Failure {
        Failure::Wrong(error.to_string())
    }
}

impl From<pico_args::Error> for Failure {
    fn from(e: pico_args::Error) -> Failure {
        Failure::Usage(e.to_string())
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("driftfront: {}", failure.words());
            ExitCode::from(failure.code())
        }
    }
}

fn run() -> Result<(), Failure> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{}", commands::help());
        return Ok(());
    }
    let name = args.subcommand()?;
    let Some(name) = name else {
        return Err(Failure::Usage("no command; see driftfront --help".into()));
    };
    let Some(command) = commands::COMMANDS.iter().find(|c| c.name == name) else {
        return Err(Failure::Usage(format!(
            "unknown command {name}; see driftfront --help"
        )));
    };
    let path = |args: &mut pico_args::Arguments| -> Result<PathBuf, Failure> {
        let named: Option<PathBuf> = args.opt_value_from_str("--config")?;
        let told = named.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
        told.ok_or(Failure::Usage(
            "no configuration: give --config FILE or set LB_CONFIG".into(),
        ))
    };
    match command.name {
        "serve" => {
            let config = path(&mut args)?;
            let level: Option<tracing::Level> = args.opt_value_from_str("--log")?;
            no_more(args)?;
            serve(
                Config::load(&config)?,
                level.unwrap_or(tracing::Level::INFO),
            )?;
        }
        "check" => {
            let config = path(&mut args)?;
            no_more(args)?;
            print!("{}", driftfront::console::describe(&Config::load(&config)?));
        }
        "init" => {
            let file: PathBuf = args.opt_free_from_str()?.unwrap_or("driftfront.kdl".into());
            no_more(args)?;
            let mut new = std::fs::OpenOptions::new();
            let file_open = new.write(true).create_new(true).open(&file);
            let written = file_open.and_then(|mut f| {
                std::io::Write::write_all(&mut f, driftfront::operator_config::EXAMPLE.as_bytes())
            });
            written.map_err(|e| format!("{}: {e}", file.display()))?;
            println!(
                "{} is written: name your engines there, then driftfront serve --config {}",
                file.display(),
                file.display()
            );
        }
        "demo" => {
            let plain = args.contains("--plain");
            no_more(args)?;
            let demo = driftfront::demo::Demo::start()?;
            let at = driftfront_console::remote::Endpoint::Socket(demo.socket.clone());
            println!(
                "a coordinator takes queries at {}, operators at {}",
                demo.listen,
                demo.socket.display()
            );
            if plain || !std::io::IsTerminal::is_terminal(&std::io::stdout()) {
                remote::status(&at)?;
            } else {
                driftfront_console::run::run(at, std::env::var_os("NO_COLOR").is_none())
                    .map_err(|e| e.to_string())?;
            }
            let _ = std::fs::remove_file(&demo.socket);
        }
        "counters" => {
            let at: String = args.value_from_str("--at")?;
            no_more(args)?;
            print!("{}", driftfront::console::counters(&at)?);
        }
        "completions" => {
            let shell: String = args.free_from_str()?;
            no_more(args)?;
            let text = commands::completions(&shell);
            print!(
                "{}",
                text.ok_or(Failure::Usage(format!(
                    "no completions for {shell}: bash, zsh or fish"
                )))?
            );
        }
        "manual" => print!("{}", commands::manual()),
        "version" => {
            no_more(args)?;
            println!("driftfront {}", env!("CARGO_PKG_VERSION"));
        }
        _ => return remote::run(command.name, args),
    }
    Ok(())
}

fn no_more(args: pico_args::Arguments) -> Result<(), Failure> {
    match args.finish().first() {
        Some(word) => Err(Failure::Usage(format!(
            "unknown argument {}; see driftfront --help",
            word.to_string_lossy()
        ))),
        None => Ok(()),
    }
}

fn serve(config: Config, level: tracing::Level) -> Result<(), String> {
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    let events = EventLoop::try_new().map_err(|e| format!("event loop: {e}"))?;
    let node = Node::new(config, &events)?;
    node.run(events)
}
