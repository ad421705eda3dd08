//! Sub-commands for a running coordinator: they show its state or change it.

use super::error::CommandError;
use super::expect_no_more;
use super::target::{connect, parse_target, request_snapshot, send_order};
use super::view::{width, View};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_console::{messages, run as console};
use driftfront_control::{Reply, Request};
use pico_args::Arguments;
use std::io::{ErrorKind, IsTerminal, Write};
use std::time::Duration;

/// Duration of a hold without `--for`.
const DEFAULT_HOLD_TIME: &str = "10m";
/// Interval of the snapshots that `drain --wait` receives.
const WAIT_INTERVAL_MILLIS: u64 = 200;
/// Requests that the demo must have received before its status is printed.
const DEMO_MIN_REQUESTS: u64 = 10;
/// Interval at which the demo's status is polled until then.
const DEMO_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the sub-command of this name.
pub(super) fn run(name: &str, mut arguments: Arguments) -> Result<(), CommandError> {
    let target = parse_target(&mut arguments)?;
    let is_json = arguments.contains("--json");
    if let Some(view) = View::of_command(name) {
        return print_view(&target, arguments, view, is_json);
    }
    match name {
        "console" => show_console(target, arguments),
        "events" => {
            let is_following = arguments.contains("--follow");
            expect_no_more(arguments)?;
            print_events(&mut connect(&target)?, is_following, is_json)
        }
        "drain" => drain(&target, arguments),
        name => {
            let request = parse_order(name, arguments)?;
            let message = send_order(&mut connect(&target)?, &request)?;
            print(&(message + "\n"))
        }
    }
}

fn print_view(
    target: &Endpoint,
    arguments: Arguments,
    view: View,
    is_json: bool,
) -> Result<(), CommandError> {
    expect_no_more(arguments)?;
    let snapshot = request_snapshot(&mut connect(target)?)?;
    print(&if is_json {
        view.as_json(&snapshot)
    } else {
        view.as_text(&snapshot)
    })
}

/// Parses a sub-command that sends a single order.
fn parse_order(name: &str, arguments: Arguments) -> Result<Request, CommandError> {
    match name {
        "resume" => Ok(Request::Resume(only_argument(arguments)?)),
        "unhold" => Ok(Request::Unhold(only_argument(arguments)?)),
        "pause" => expect_no_more(arguments).map(|()| Request::Pause),
        "unpause" => expect_no_more(arguments).map(|()| Request::Unpause),
        "hold" => parse_hold(arguments),
        "add" => parse_add(arguments),
        "remove" => parse_remove(arguments),
        "roll" => parse_roll(arguments),
        other => Err(CommandError::UnknownRemoteCommand(other.into())),
    }
}

fn only_argument(mut arguments: Arguments) -> Result<String, CommandError> {
    let argument = arguments.free_from_str()?;
    expect_no_more(arguments)?;
    Ok(argument)
}

fn parse_hold(mut arguments: Arguments) -> Result<Request, CommandError> {
    let stays = arguments.contains("--stays");
    let time: Option<String> = arguments.opt_value_from_str("--for")?;
    let note: Option<String> = arguments.opt_value_from_str("--note")?;
    let name = only_argument(arguments)?;
    let time = time.unwrap_or(DEFAULT_HOLD_TIME.into());
    let Some(for_s) = parse_seconds(&time) else {
        return Err(CommandError::InvalidTime(time));
    };
    Ok(Request::Hold {
        name,
        for_s,
        stays,
        note: note.unwrap_or_default(),
    })
}

fn parse_add(mut arguments: Arguments) -> Result<Request, CommandError> {
    let zone: Option<String> = arguments.opt_value_from_str("--zone")?;
    let kind: Option<String> = arguments.opt_value_from_str("--kind")?;
    let engine: String = arguments.free_from_str()?;
    let address: Option<String> = arguments.opt_free_from_str()?;
    expect_no_more(arguments)?;
    Ok(Request::Add {
        engine,
        addr: address.unwrap_or_default(),
        zone: zone.unwrap_or_default(),
        kind: kind.unwrap_or_default(),
    })
}

fn parse_remove(mut arguments: Arguments) -> Result<Request, CommandError> {
    let force = arguments.contains("--force");
    let engine = only_argument(arguments)?;
    Ok(Request::Remove { engine, force })
}

fn parse_roll(mut arguments: Arguments) -> Result<Request, CommandError> {
    let is_dry_run = arguments.contains("--dry-run");
    let is_back = arguments.contains("--back");
    let is_stop = arguments.contains("--stop");
    let is_go_on = arguments.contains("--go-on");
    let mut engines: Vec<String> = Vec::new();
    while let Some(engine) = arguments.opt_free_from_str()? {
        engines.push(engine);
    }
    expect_no_more(arguments)?;
    match (is_back, is_stop, is_go_on) {
        (true, false, false) => Ok(Request::EngineReturned),
        (false, true, false) => Ok(Request::RollStop),
        (false, false, true) => Ok(Request::RollResume),
        (false, false, false) => Ok(Request::Roll(engines, is_dry_run)),
        _ => Err(CommandError::ConflictingRollOptions),
    }
}

/// Parses a positive time such as `30s`, `10m` or `2h` into seconds.
fn parse_seconds(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit())?);
    let seconds_per_unit = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3600,
        _ => return None,
    };
    let seconds = number.parse::<u64>().ok()?.checked_mul(seconds_per_unit)?;
    (seconds > 0).then_some(seconds)
}

fn show_console(target: Endpoint, mut arguments: Arguments) -> Result<(), CommandError> {
    let is_plain = arguments.contains("--plain");
    let has_no_color = arguments.contains("--no-color") || std::env::var_os("NO_COLOR").is_some();
    expect_no_more(arguments)?;
    if is_plain || !std::io::stdout().is_terminal() {
        let snapshot = request_snapshot(&mut connect(&target)?)?;
        return print(&messages::plain_text(&snapshot, width()));
    }
    Ok(console::run(target, !has_no_color)?)
}

fn drain(target: &Endpoint, mut arguments: Arguments) -> Result<(), CommandError> {
    let is_waiting = arguments.contains("--wait");
    let force = arguments.contains("--force");
    let engine = only_argument(arguments)?;
    let mut remote = connect(target)?;
    let request = Request::Drain {
        engine: engine.clone(),
        force,
    };
    let message = send_order(&mut remote, &request)?;
    print(&(message + "\n"))?;
    if is_waiting {
        wait_until_idle(&mut remote, &engine)?;
    }
    Ok(())
}

/// Waits until no query is running on an engine.
fn wait_until_idle(remote: &mut Remote, engine: &str) -> Result<(), CommandError> {
    let id = remote.send(&Request::Follow(WAIT_INTERVAL_MILLIS))?;
    remote.disable_timeout()?;
    loop {
        let Reply::Snapshot(snapshot) = remote.reply(id)? else {
            continue;
        };
        match snapshot.engines.iter().find(|e| e.name == engine) {
            Some(engine_view) if engine_view.phase == "ready" => {
                let reason = format!("{engine} was resumed while draining");
                return Err(CommandError::Refused(reason));
            }
            Some(engine_view) if engine_view.running > 0 => {}
            _ => return print(&format!("{engine} is idle: no query is running\n")),
        }
    }
}

fn print_events(
    remote: &mut Remote,
    is_following: bool,
    is_json: bool,
) -> Result<(), CommandError> {
    let id = remote.send(&Request::Events(is_following))?;
    if is_following {
        remote.disable_timeout()?;
    }
    while let Reply::Event(at, message) = remote.reply(id)? {
        if is_json {
            print(&Reply::Event(at, message).line(id))?;
        } else {
            let (seconds, millis) = (at / 1_000_000, at / 1000 % 1000);
            print(&format!("{seconds}.{millis:03}  {message}\n"))?;
        }
    }
    Ok(())
}

/// Prints the status once the demo has received some requests.
pub(super) fn print_status_under_load(target: &Endpoint) -> Result<(), CommandError> {
    let mut remote = connect(target)?;
    loop {
        let snapshot = request_snapshot(&mut remote)?;
        let requests: u64 = snapshot.classes.iter().map(|c| c.minute.asked).sum();
        if requests >= DEMO_MIN_REQUESTS {
            return print(&messages::plain_text(&snapshot, width()));
        }
        std::thread::sleep(DEMO_POLL_INTERVAL);
    }
}

fn print(text: &str) -> Result<(), CommandError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        // The reader of a pipe may close it early.
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(e.into()),
        _ => Ok(()),
    }
}
