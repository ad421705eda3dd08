//! Plain words for how things stand.

use driftfront_control::snapshot::{
    Class, Consensus, Engine, Held, Member, Query, Service, Snapshot, Voter,
};

/// An engine with work out that has said nothing for this long is worth a word, in milliseconds.
pub const SILENT_MS: u64 = 3_000;
/// A source that has said nothing for this long is, too, in seconds.
const OLD_SOURCE_S: u64 = 10;

/// How long, in the largest unit that fits.
pub fn span(seconds: u64) -> String {
    match seconds {
        0..=119 => format!("{seconds} s"),
        120..=7199 => format!("{} min", seconds / 60),
        7200..=172_799 => format!("{} h", seconds / 3600),
        _ => format!("{} days", seconds / 86_400),
    }
}

fn counted(n: u64, one: &str, many: &str) -> String {
    match n {
        1 => format!("one {one}"),
        2 => format!("two {many}"),
        3 => format!("three {many}"),
        n => format!("{n} {many}"),
    }
}

fn capital(text: String) -> String {
    let mut chars = text.chars();
    chars.next().map_or(String::new(), |c| {
        c.to_uppercase().collect::<String>() + chars.as_str()
    })
}

/// What runs on an engine, as a sentence's end; empty where nothing does.
fn runs_there(engine: &Engine) -> String {
    let others = engine.running.saturating_sub(engine.imports);
    let imports = capital(counted(engine.imports, "import", "imports"));
    match (engine.imports, others) {
        (0, 0) => String::new(),
        (0, n) => format!(
            " {} there.",
            capital(counted(n, "query runs", "queries run"))
        ),
        (1, 0) => format!(" {imports} runs there; it will not be sent again."),
        (_, 0) => format!(" {imports} run there; they will not be sent again."),
        (n, m) => {
            let verb = if n == 1 {
                "runs there; it will"
            } else {
                "run there; they will"
            };
            format!(
                " {imports} {verb} not be sent again. {} too.",
                capital(counted(m, "query runs", "queries run"))
            )
        }
    }
}

/// Whether an engine has work out and says nothing.
pub fn is_silent(engine: &Engine) -> bool {
    engine.running > 0 && engine.heard_ms.is_some_and(|ms| ms >= SILENT_MS)
}

/// How an engine is, in a word or two.
pub fn state(engine: &Engine) -> String {
    let ordered = !engine.order.is_empty();
    match (engine.phase.as_str(), engine.running) {
        _ if is_silent(engine) => "silent".into(),
        ("gone", _) if engine.order == "remove" => "removed".into(),
        ("gone", _) => "gone".into(),
        ("draining", 0) if ordered => "drained".into(),
        ("draining", 0) => "drained by its source".into(),
        ("draining", _) => "draining".into(),
        _ if engine.warm_in_s > 0 => "getting warm".into(),
        _ => "ready".into(),
    }
}

/// What needs an operator's eye, the worst first, each a sentence or two.
pub fn alarms(s: &Snapshot) -> Vec<String> {
    let mut alarms = Vec::new();
    if s.stopping {
        alarms.push(format!(
            "The program is ending: {} left to answer.",
            counted(s.open, "request is", "requests are")
        ));
    }
    match s.state.as_str() {
        "draining" => alarms.push(format!(
            "Paused by an operator: clients are sent away, {} left.",
            counted(
                s.connections.first().copied().unwrap_or(0),
                "connection is",
                "connections are"
            )
        )),
        "drained" => alarms
            .push("Paused by an operator: no client is left. driftfront unpause ends it.".into()),
        "handing over" => {
            alarms.push("A new version serves at this address: this one answers the rest.".into())
        }
        _ => {}
    }
    if !s.engines.iter().any(|e| e.phase == "ready") {
        alarms.push("No engine takes work: every request is refused.".into());
    }
    for engine in s.engines.iter().filter(|e| is_silent(e)) {
        let silent = span(engine.heard_ms.unwrap_or(0) / 1000);
        alarms.push(format!(
            "{} has said nothing for {silent}.{}",
            engine.name,
            runs_there(engine)
        ));
    }
    for engine in s
        .engines
        .iter()
        .filter(|e| e.phase == "draining" && !is_silent(e))
    {
        let by = if engine.order.is_empty() {
            "its source".into()
        } else {
            engine.order_by.clone()
        };
        if engine.running > 0 {
            alarms.push(format!(
                "{} drains, by {by}.{}",
                engine.name,
                runs_there(engine)
            ));
        }
    }
    if let Some(roll) = &s.roll {
        if !roll.why.is_empty() {
            alarms.push(format!("Roll: {}.", roll.why.trim_end_matches('.')));
        }
    }
    for class in s
        .classes
        .iter()
        .filter(|c| c.minute.asked >= 10 && c.minute.share() < 0.8)
    {
        let share = class.minute.share() * 100.0;
        let wanted = millis(class.wanted_ms as f64);
        alarms.push(format!(
            "{}: only {share:.0} in 100 were answered within {wanted} in the last minute.",
            class.name
        ));
    }
    if let Some(age) = s.source_age_s.filter(|&age| age > OLD_SOURCE_S) {
        alarms.push(format!(
            "The list of engines is {} old: {} says nothing.",
            span(age),
            s.source
        ));
    }
    alarms.extend(fleet_alarms(s));
    alarms.extend(s.agreed.as_ref().and_then(agreed_alarm));
    alarms
}

/// Milliseconds, in the unit that fits.
pub fn millis(ms: f64) -> String {
    match ms {
        ms if ms >= 10_000.0 => format!("{:.0} s", ms / 1000.0),
        ms if ms >= 1000.0 => format!("{:.1} s", ms / 1000.0),
        ms if ms >= 10.0 => format!("{ms:.0} ms"),
        ms => format!("{ms:.1} ms"),
    }
}

fn share(service: &Service) -> String {
    if service.asked == 0 {
        "-".into()
    } else {
        format!("{:.0}%", service.share() * 100.0)
    }
}

/// A table: its heads, whether each column is a number, and its rows. Columns are in the order of their worth: what
/// does not fit the width is left out from the right.
pub struct Table {
    /// The heads.
    pub heads: Vec<&'static str>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

/// The fleet's coordinators.
pub fn members(s: &Snapshot) -> Table {
    let heads = vec![
        "COORDINATOR",
        "IS",
        "FOR",
        "DOES",
        "BUILD",
        "ZONE",
        "REGION",
        "TOLD",
        "AT",
    ];
    let row = |m: &Member| {
        let name = if m.me {
            format!("{} (this)", m.name)
        } else {
            m.name.clone()
        };
        let told = match m.told_age_s {
            _ if m.me => String::new(),
            Some(age) => format!("{} ago", span(age)),
            None => "never".into(),
        };
        vec![
            name,
            m.standing.clone(),
            span(m.for_s),
            m.state.clone(),
            m.build.clone(),
            m.zone.clone(),
            m.region.clone(),
            told,
            m.addr.clone(),
        ]
    };
    Table {
        heads,
        rows: s.members.iter().map(row).collect(),
    }
}

/// What is agreed, in a line or two above the table of what is held.
pub fn agreed(a: &Consensus) -> String {
    if !a.missing.is_empty() {
        return format!(
            "Nothing is agreed yet: {} must come, without a log.\n",
            a.missing.join(", ")
        );
    }
    if a.voters.is_empty() {
        return "Nothing is agreed: no coordinator's file names voters, or none of them is heard.\n".into();
    }
    let voter = |v: &Voter| {
        if v.there {
            v.name.clone()
        } else {
            format!("{} (gone)", v.name)
        }
    };
    let leads = match a.leader.as_str() {
        "" => "Nobody leads: nothing new is agreed".to_string(),
        name => format!("{name} leads"),
    };
    let voters: Vec<String> = a.voters.iter().map(voter).collect();
    format!(
        "{leads}; {} decide. Term {}, entry {}.\n",
        voters.join(", "),
        a.term,
        a.index
    )
}

/// What is held.
pub fn holds(a: &Consensus) -> Table {
    let heads = vec!["HELD", "BY", "FOR", "NUMBER", "WHY"];
    let row = |h: &Held| {
        let long = match h.left_s {
            Some(left) if h.stays => format!("{}, and until given back", span(left)),
            Some(left) => span(left),
            None => "until given back".into(),
        };
        vec![
            h.name.clone(),
            h.owner.clone(),
            long,
            h.fence.to_string(),
            h.note.clone(),
        ]
    };
    Table {
        heads,
        rows: a.holds.iter().map(row).collect(),
    }
}

/// What is amiss with what is agreed.
fn agreed_alarm(a: &Consensus) -> Option<String> {
    if a.part == "unfit" {
        return Some(
            "This coordinator's log can't go on: it met what only a later build knows, or broke. The others decide."
                .into(),
        );
    }
    if !a.missing.is_empty() {
        return Some(format!(
            "Nothing is agreed yet: waiting for {}.",
            a.missing.join(", ")
        ));
    }
    let gone: Vec<&str> = a
        .voters
        .iter()
        .filter(|v| !v.there)
        .map(|v| v.name.as_str())
        .collect();
    (!a.voters.is_empty() && a.leader.is_empty()).then(|| {
        let who = if gone.is_empty() { String::new() } else { format!(" ({} gone)", gone.join(", ")) };
        format!("No majority of those who decide is heard{who}: nothing new is agreed; what is held ends by itself.")
    })
}

/// What the fleet looks like from here, where something is amiss.
fn fleet_alarms(s: &Snapshot) -> Vec<String> {
    let others: Vec<&Member> = s.members.iter().filter(|m| !m.me).collect();
    let gone: Vec<&str> = others
        .iter()
        .filter(|m| m.standing == "gone")
        .map(|m| m.name.as_str())
        .collect();
    if others.is_empty() || gone.is_empty() {
        return Vec::new();
    }
    if gone.len() == others.len() {
        return vec![format!(
            "No other coordinator is heard: this one is cut off, or {} ended. It serves by itself.",
            if gone.len() == 1 {
                "the other has"
            } else {
                "all others have"
            }
        )];
    }
    let named = gone.iter().take(5).copied().collect::<Vec<_>>().join(", ");
    vec![format!(
        "{} gone: {named}.",
        capital(counted(
            gone.len() as u64,
            "coordinator is",
            "coordinators are"
        ))
    )]
}

/// The engines.
pub fn engines(s: &Snapshot) -> Table {
    let heads = vec![
        "engine", "state", "runs", "imports", "heard", "p99", "building", "kind", "address", "by",
    ];
    let row = |e: &Engine| {
        let heard = e.heard_ms.map_or("never".into(), |ms| {
            if ms < 1000 {
                "now".into()
            } else {
                span(ms / 1000)
            }
        });
        vec![
            e.name.clone(),
            state(e),
            e.running.to_string(),
            e.imports.to_string(),
            heard,
            if e.minute.served > 0 {
                millis(e.minute.p99_ms)
            } else {
                "-".into()
            },
            e.zone.clone(),
            e.kind.clone(),
            e.addr.clone(),
            if e.order.is_empty() {
                String::new()
            } else {
                format!("{} {}", e.order_by, span(e.order_age_s))
            },
        ]
    };
    Table {
        heads,
        rows: s.engines.iter().map(row).collect(),
    }
}

/// The classes.
pub fn classes(s: &Snapshot) -> Table {
    let heads = vec![
        "class",
        "in time",
        "asked/min",
        "hour",
        "open",
        "p50",
        "p99",
        "refused",
        "failed",
        "wanted",
    ];
    let row = |c: &Class| {
        vec![
            c.name.clone(),
            share(&c.minute),
            c.minute.asked.to_string(),
            share(&c.hour),
            c.open.to_string(),
            if c.minute.served > 0 {
                millis(c.minute.p50_ms)
            } else {
                "-".into()
            },
            if c.minute.served > 0 {
                millis(c.minute.p99_ms)
            } else {
                "-".into()
            },
            c.minute.refused.to_string(),
            c.minute.failed.to_string(),
            millis(c.wanted_ms as f64),
        ]
    };
    Table {
        heads,
        rows: s.classes.iter().map(row).collect(),
    }
}

/// What runs.
pub fn queries(s: &Snapshot) -> Table {
    let heads = vec!["class", "engine", "for", "import", "query"];
    let row = |q: &Query| {
        vec![
            q.class.clone(),
            if q.engine.is_empty() {
                "waits".into()
            } else {
                q.engine.clone()
            },
            millis(q.age_ms as f64),
            if q.import {
                "yes".into()
            } else {
                String::new()
            },
            q.call.clone(),
        ]
    };
    Table {
        heads,
        rows: s.queries.iter().map(row).collect(),
    }
}

/// How many columns fit, and how wide each is.
pub fn widths(table: &Table, width: usize) -> Vec<usize> {
    let mut widths = Vec::new();
    let mut left = width;
    for (n, head) in table.heads.iter().enumerate() {
        let cells = table
            .rows
            .iter()
            .filter_map(|r| r.get(n))
            .map(|c| c.chars().count());
        let wanted = cells
            .chain([head.chars().count()])
            .max()
            .unwrap_or(0)
            .min(28);
        let gap = if n == 0 { 0 } else { 2 };
        if n > 0 && wanted + gap > left {
            break;
        }
        widths.push(wanted.min(left));
        left = left.saturating_sub(wanted + gap);
    }
    widths
}

/// One row of a table, cut to the columns that fit.
pub fn row_text(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (n, width) in widths.iter().enumerate() {
        let cell = cells.get(n).map_or("", String::as_str);
        let cut: String = cell.chars().take(*width).collect();
        let pad = width.saturating_sub(cut.chars().count());
        text += if n == 0 { "" } else { "  " };
        text += &cut;
        text += &" ".repeat(pad);
    }
    text.trim_end().into()
}

/// The first line: what this is, and whether all is well.
pub fn title(s: &Snapshot) -> String {
    let ready = s.engines.iter().filter(|e| e.phase == "ready").count();
    let listed = s.engines.iter().filter(|e| e.phase != "gone").count();
    let minute: u64 = s.classes.iter().map(|c| c.minute.asked).sum();
    format!(
        "{}: {ready} of {listed} engines ready, {} open, {minute} a minute",
        s.name, s.open
    )
}

/// Cuts text into lines of a width, at spaces where there are any.
pub fn wrapped(text: &str, width: usize) -> Vec<String> {
    let mut lines = vec![String::new()];
    for word in text.split(' ') {
        let mut word = word.to_string();
        loop {
            let line = lines.last_mut().expect("one at least");
            let gap = usize::from(!line.is_empty());
            if line.chars().count() + gap + word.chars().count() <= width {
                *line += if gap == 1 { " " } else { "" };
                *line += &word;
                break;
            }
            if line.is_empty() {
                let cut: String = word.chars().take(width.max(1)).collect();
                word = word.chars().skip(width.max(1)).collect();
                *line = cut;
            }
            lines.push(String::new());
        }
    }
    lines
}

/// All of it as text, for pipes and screen readers.
pub fn plain(s: &Snapshot, width: usize) -> String {
    let mut lines = vec![title(s)];
    lines.push(format!(
        "up {}, clients at {}, {}",
        span(s.up_s),
        s.listen,
        s.front
    ));
    let alarms = alarms(s);
    if alarms.is_empty() {
        lines.push("All is well.".into());
    }
    lines.extend(alarms.iter().flat_map(|a| wrapped(a, width)));
    for (name, table) in [
        ("Engines", engines(s)),
        ("Service", classes(s)),
        ("What runs", queries(s)),
    ] {
        if table.rows.is_empty() {
            continue;
        }
        lines.push(String::new());
        lines.push(format!("{name}:"));
        let widths = widths(&table, width);
        let heads: Vec<String> = table.heads.iter().map(|h| h.to_string()).collect();
        lines.push(row_text(&heads, &widths));
        lines.extend(table.rows.iter().map(|r| row_text(r, &widths)));
    }
    if let Some(roll) = &s.roll {
        lines.push(String::new());
        lines.push(format!(
            "Roll: {}, at {}; left: {}; through: {}",
            roll.stage,
            roll.engine,
            roll.left.join(", "),
            roll.through.join(", ")
        ));
    }
    if let [held, tied] = s.sessions[..] {
        lines.push(String::new());
        lines.push(format!(
            "Sessions: {held} held, {tied} of them tied to their engine."
        ));
    }
    if !s.forgets.is_empty() {
        lines.push(String::new());
        lines.extend(wrapped(&s.forgets, width));
    }
    lines.join("\n") + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;

    fn engine(name: &str, phase: &str, running: u64, imports: u64, heard_ms: u64) -> Engine {
        let (name, phase, heard_ms) = (name.into(), phase.into(), Some(heard_ms));
        Engine {
            name,
            phase,
            running,
            imports,
            heard_ms,
            ..Engine::default()
        }
    }

    #[test]
    fn a_silent_engine_with_an_import_is_told_in_plain_words() {
        let engines = vec![
            engine("engine-1", "ready", 4, 0, 10),
            engine("engine-2", "ready", 1, 1, 12_000),
        ];
        let s = Snapshot {
            engines,
            ..Snapshot::default()
        };
        let told =
            "engine-2 has said nothing for 12 s. One import runs there; it will not be sent again.";
        assert_eq!(alarms(&s), [told]);
        assert_eq!(state(&s.engines[1]), "silent");
        let both = engine("e", "ready", 5, 2, 9000);
        assert!(runs_there(&both).ends_with("they will not be sent again. Three queries run too."));
        // With nothing out silence is no news.
        assert!(!is_silent(&engine("e", "ready", 0, 0, 90_000)));
    }

    #[test]
    fn a_pause_and_a_new_version_are_told_in_plain_words() {
        let told = |state: &str| {
            let engines = vec![engine("e", "ready", 0, 0, 0)];
            let s = Snapshot {
                state: state.into(),
                connections: vec![3, 1],
                engines,
                ..Snapshot::default()
            };
            alarms(&s).join(" ")
        };
        assert!(told("draining").contains("three connections are left"));
        assert!(
            told("drained").contains("unpause") && told("handing over").contains("new version")
        );
        assert_eq!(told("ready"), "");
    }

    #[test]
    fn no_engine_ready_and_poor_service_are_told() {
        let mut s = Snapshot {
            engines: vec![engine("e", "draining", 2, 0, 0)],
            ..Snapshot::default()
        };
        s.engines[0].order = "drain".into();
        s.engines[0].order_by = "operator".into();
        let minute = Service {
            asked: 20,
            in_time: 5,
            ..Service::default()
        };
        s.classes = vec![Class {
            name: "lookup".into(),
            wanted_ms: 500,
            minute,
            ..Class::default()
        }];
        let told = alarms(&s).join("\n");
        for words in [
            "No engine takes work",
            "e drains, by operator. Two queries run there.",
            "only 25 in 100 were answered within 500 ms",
        ] {
            assert!(told.contains(words), "{words}: {told}");
        }
    }

    #[test]
    fn tables_lose_columns_from_the_right_and_lines_never_pass_the_width() {
        let engines = (0..3)
            .map(|n| engine(&format!("engine-{n}"), "ready", n, 0, 0))
            .collect();
        let s = Snapshot {
            name: "school".into(),
            engines,
            ..Snapshot::default()
        };
        for width in [20, 40, 80, 200] {
            let text = plain(&s, width);
            let table = super::engines(&s);
            let fits = widths(&table, width);
            assert!(fits.iter().sum::<usize>() + 2 * (fits.len() - 1) <= width);
            assert!(text.contains("engine-2") && (width < 30 || text.contains("ready")));
        }
        assert!(widths(&super::engines(&s), 200).len() > widths(&super::engines(&s), 40).len());
        assert_eq!(wrapped("one two three", 7), ["one two", "three"]);
        assert_eq!(wrapped("abcdefgh", 3), ["abc", "def", "gh"]);
    }
}
