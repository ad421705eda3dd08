//! Runs a script and prints each change of a member's view of another.

use super::{CommandError, Outcome};
use driftfront_cluster::MemberStatus;
use driftfront_cluster_simulation::{Script, World};
use pico_args::Arguments;

pub(super) fn run(mut args: Arguments) -> Outcome {
    let path: String = args.free_from_str()?;
    let script = read_script(&path)?;
    let until = script.until;
    let mut world = World::new(script);
    world.play(until, |_| false);
    for seen in &world.view_changes {
        println!(
            "{:8.3} s  m{} sees m{} {}",
            seen.at as f64 / 1e6,
            seen.observer,
            seen.subject,
            status_text(seen.status)
        );
    }
    println!("trace {:016x}", world.trace);
    Ok(())
}

fn read_script(path: &str) -> Result<Script, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::File {
        path: path.into(),
        error,
    })?;
    Script::read(&text).map_err(|error| CommandError::ScriptFile {
        path: path.into(),
        error,
    })
}

/// Returns a status in the format of the command's output.
fn status_text(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "Some(Alive)",
        MemberStatus::Suspected => "Some(Doubted)",
        MemberStatus::Down => "Some(Down)",
    }
}
