//! Commands that speak to a running program.

use crate::{no_more, Failure};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_console::{messages, run as console};
use driftfront_control::snapshot::Snapshot;
use driftfront_control::{Field, Reply, Request};
use std::io::{ErrorKind, IsTerminal, Write};

type Args = pico_args::Arguments;

/// Where the program is: a socket's path, or a loopback address with a key.
fn at(args: &mut Args) -> Result<Endpoint, Failure> {
    let told: Option<String> = args.opt_value_from_str("--at")?;
    let key: Option<std::path::PathBuf> = args.opt_value_from_str("--key-file")?;
    let told = told.or_else(|| std::env::var("DRIFTFRONT_CONTROL").ok());
    let told = told.unwrap_or("/tmp/driftfront.sock".into());
    if told.parse::<std::net::SocketAddr>().is_err() {
        return Ok(Endpoint::Socket(told.into()));
    }
    let file = key.ok_or(Failure::Usage(format!(
        "--at {told}: a port wants --key-file"
    )))?;
    let key = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(Endpoint::Port(told, key.trim().as_bytes().to_vec()))
}

fn connect(at: &Endpoint) -> Result<Remote, Failure> {
    Remote::connect(at).map_err(|e| match e.kind() {
        ErrorKind::NotFound | ErrorKind::ConnectionRefused => {
            Failure::Nobody(format!("no program answers at {}: {e}", place(at)))
        }
        _ => Failure::Wrong(format!("{}: {e}", place(at))),
    })
}

fn place(at: &Endpoint) -> String {
    match at {
        Endpoint::Socket(path) => path.display().to_string(),
        Endpoint::Port(addr, _) => addr.clone(),
    }
}

fn io(e: std::io::Error) -> Failure {
    Failure::Wrong(e.to_string())
}

fn ask(remote: &mut Remote, request: &Request) -> Result<String, Failure> {
    match remote.ask(request).map_err(io)? {
        Reply::Done(words) => Ok(words),
        Reply::Refused(words) => Err(Failure::Refused(words)),
        other => Err(Failure::Wrong(format!(
            "an answer that was not asked for: {other:?}"
        ))),
    }
}

fn snapshot(remote: &mut Remote) -> Result<Snapshot, Failure> {
    match remote.ask(&Request::Snapshot).map_err(io)? {
        Reply::Snapshot(snapshot) => Ok(*snapshot),
        Reply::Refused(words) => Err(Failure::Refused(words)),
        other => Err(Failure::Wrong(format!(
            "an answer that was not asked for: {other:?}"
        ))),
    }
}

/// A time as `30s`, `10m`, `2h`, in seconds.
fn seconds(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit())?);
    let factor = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3600,
        _ => return None,
    };
    number
        .parse::<u64>()
        .ok()?
        .checked_mul(factor)
        .filter(|&s| s > 0)
}

fn width() -> usize {
    let told = std::env::var("COLUMNS").ok().and_then(|c| c.parse().ok());
    told.or_else(driftfront_console::run::terminal_width)
        .unwrap_or(80)
}

fn say(text: &str) -> Result<(), Failure> {
    // A pipe that is closed early is no mistake.
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(io(e)),
        _ => Ok(()),
    }
}

fn table(table: &messages::Table) -> String {
    let widths = messages::widths(table, width().max(40));
    let heads: Vec<String> = table.heads.iter().map(|h| h.to_string()).collect();
    let rows = table.rows.iter().map(|r| messages::row_text(r, &widths));
    let lines: Vec<String> = [messages::row_text(&heads, &widths)]
        .into_iter()
        .chain(rows)
        .collect();
    lines.join("\n") + "\n"
}

/// Says how things stand, once some requests have come.
pub fn status(at: &Endpoint) -> Result<(), Failure> {
    let mut remote = connect(at)?;
    let mut s = snapshot(&mut remote)?;
    while s.classes.iter().map(|c| c.minute.asked).sum::<u64>() < 10 {
        std::thread::sleep(std::time::Duration::from_millis(100));
        s = snapshot(&mut remote)?;
    }
    say(&messages::plain(&s, width()))
}

/// Runs one of them.
pub fn run(name: &str, mut args: Args) -> Result<(), Failure> {
    let at = at(&mut args)?;
    let json = args.contains("--json");
    match name {
        "console" => {
            let plain = args.contains("--plain");
            let no_color = args.contains("--no-color") || std::env::var_os("NO_COLOR").is_some();
            no_more(args)?;
            if plain || !std::io::stdout().is_terminal() {
                let text = messages::plain(&snapshot(&mut connect(&at)?)?, width());
                return say(&text);
            }
            console::run(at, !no_color).map_err(io)
        }
        "hold" => {
            let stays = args.contains("--stays");
            let span: Option<String> = args.opt_value_from_str("--for")?;
            let note: String = args.opt_value_from_str("--note")?.unwrap_or_default();
            let hold: String = args.free_from_str()?;
            no_more(args)?;
            let span = span.as_deref().unwrap_or("10m");
            let for_s = seconds(span)
                .ok_or_else(|| Failure::Usage(format!("--for {span}: write 30s, 10m or 2h")))?;
            say(&(ask(
                &mut connect(&at)?,
                &Request::Hold {
                    name: hold,
                    for_s,
                    stays,
                    note,
                },
            )? + "\n"))
        }
        "unhold" => {
            let hold: String = args.free_from_str()?;
            no_more(args)?;
            say(&(ask(&mut connect(&at)?, &Request::Unhold(hold))? + "\n"))
        }
        "status" | "engines" | "classes" | "queries" | "members" | "holds" => {
            no_more(args)?;
            let s = snapshot(&mut connect(&at)?)?;
            if json {
                let value = match name {
                    "status" => s.to_json(),
                    "engines" => s.engines.to_json(),
                    "classes" => s.classes.to_json(),
                    "members" => s.members.to_json(),
                    "holds" => s.agreed.to_json(),
                    _ => s.queries.to_json(),
                };
                return say(&(value.stringify().unwrap_or_default() + "\n"));
            }
            say(&match name {
                "status" => messages::plain(&s, width()),
                "engines" => table(&messages::engines(&s)),
                "classes" => table(&messages::classes(&s)),
                "members" if s.members.is_empty() => {
                    "There is no fleet: the operator's file has none.\n".into()
                }
                "members" => table(&messages::members(&s)),
                "holds" => match &s.agreed {
                    Some(agreed) => messages::agreed(agreed) + &table(&messages::holds(agreed)),
                    None => "There is no fleet: nothing is agreed.\n".into(),
                },
                _ => table(&messages::queries(&s)),
            })
        }
        "events" => {
            let follow = args.contains("--follow");
            no_more(args)?;
            events(&mut connect(&at)?, follow, json)
        }
        "drain" => {
            let (wait, force) = (args.contains("--wait"), args.contains("--force"));
            let engine: String = args.free_from_str()?;
            no_more(args)?;
            let mut remote = connect(&at)?;
            let words = ask(
                &mut remote,
                &Request::Drain {
                    engine: engine.clone(),
                    force,
                },
            )?;
            say(&(words + "\n"))?;
            if wait {
                wait_until_free(&mut remote, &engine)?;
            }
            Ok(())
        }
        "resume" => {
            let engine: String = args.free_from_str()?;
            no_more(args)?;
            say(&(ask(&mut connect(&at)?, &Request::Resume(engine))? + "\n"))
        }
        "pause" | "unpause" => {
            no_more(args)?;
            let request = if name == "pause" {
                Request::Pause
            } else {
                Request::Unpause
            };
            say(&(ask(&mut connect(&at)?, &request)? + "\n"))
        }
        "add" => {
            let zone: Option<String> = args.opt_value_from_str("--zone")?;
            let kind: Option<String> = args.opt_value_from_str("--kind")?;
            let engine: String = args.free_from_str()?;
            let addr: Option<String> = args.opt_free_from_str()?;
            no_more(args)?;
            let (addr, zone, kind) = (
                addr.unwrap_or_default(),
                zone.unwrap_or_default(),
                kind.unwrap_or_default(),
            );
            say(&(ask(
                &mut connect(&at)?,
                &Request::Add {
                    engine,
                    addr,
                    zone,
                    kind,
                },
            )? + "\n"))
        }
        "remove" => {
            let force = args.contains("--force");
            let engine: String = args.free_from_str()?;
            no_more(args)?;
            say(&(ask(&mut connect(&at)?, &Request::Remove { engine, force })? + "\n"))
        }
        "roll" => {
            let (dry, back) = (args.contains("--dry-run"), args.contains("--back"));
            let (stop, go_on) = (args.contains("--stop"), args.contains("--go-on"));
            let mut engines: Vec<String> = Vec::new();
            while let Some(engine) = args.opt_free_from_str()? {
                engines.push(engine);
            }
            no_more(args)?;
            let request = match (back, stop, go_on) {
                (true, false, false) => Request::Back,
                (false, true, false) => Request::RollStop,
                (false, false, true) => Request::RollGoOn,
                (false, false, false) => Request::Roll(engines, dry),
                _ => return Err(Failure::Usage("one of --back, --stop and --go-on".into())),
            };
            say(&(ask(&mut connect(&at)?, &request)? + "\n"))
        }
        other => Err(Failure::Usage(format!("unknown command {other}"))),
    }
}

fn events(remote: &mut Remote, follow: bool, json: bool) -> Result<(), Failure> {
    let id = remote.send(&Request::Events(follow)).map_err(io)?;
    if follow {
        remote.wait_for_ever().map_err(io)?;
    }
    loop {
        match remote.reply(id).map_err(io)? {
            Reply::Event(at, words) if json => say(&Reply::Event(at, words).line(id))?,
            Reply::Event(at, words) => say(&format!(
                "{}.{:03}  {words}\n",
                at / 1_000_000,
                at / 1000 % 1000
            ))?,
            _ => return Ok(()),
        }
    }
}

/// Follows the program until nothing runs on an engine any more.
fn wait_until_free(remote: &mut Remote, engine: &str) -> Result<(), Failure> {
    let id = remote.send(&Request::Follow(200)).map_err(io)?;
    remote.wait_for_ever().map_err(io)?;
    loop {
        let Reply::Snapshot(s) = remote.reply(id).map_err(io)? else {
            continue;
        };
        match s.engines.iter().find(|e| e.name == engine) {
            Some(e) if e.phase == "ready" => {
                return Err(Failure::Refused(format!("{engine} was resumed meanwhile")));
            }
            Some(e) if e.running > 0 => {}
            _ => return say(&format!("{engine} is free: nothing runs there\n")),
        }
    }
}
