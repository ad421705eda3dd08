//! The stand-ins, clients and checks of the second review's cases. One program, standard library only; `case N FOLDER` plays
//! case N and writes `record.txt` into FOLDER. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod case_discovery;
mod case_insert;
mod case_memory;
mod case_restart;
mod case_result;
mod case_upgrade;
mod engine;
mod http;
mod platform;
mod run;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, folder] = &arguments[..] else {
        eprintln!("usage: case NUMBER FOLDER");
        std::process::exit(2);
    };
    run::open(folder);
    // What was started is ended also after a panic.
    let outcome = std::panic::catch_unwind(|| play(number));
    run::end(outcome.unwrap_or_else(|_| run::Outcome::NotRun("the case panicked".into())));
}

fn play(number: &str) -> run::Outcome {
    match number {
        "insert-resent" => case_insert::resent(),
        "insert-unanswered" => case_insert::unanswered(),
        "error-after-rows" => case_result::error_after_rows(),
        "copies-and-resets" => case_result::copies_and_resets(),
        "second-copies" => case_result::second_copies(),
        "watch-reordered" => case_discovery::reordered(),
        "watch-silent" => case_discovery::silent(),
        "half-written" => case_memory::half_written(),
        "restart-held-socket" => case_restart::held_socket(),
        "discovery-slow" => case_upgrade::slow_discovery(),
        "upgrade-stale-list" => case_upgrade::stale_list(),
        _ => run::Outcome::NotRun(format!("there is no case {number}")),
    }
}
