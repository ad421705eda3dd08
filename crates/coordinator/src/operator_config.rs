//! The operator's file, in KDL: a few lines in plain words, read into the configuration that the platform writes as
//! JSON. Every mistake is told with its line, its column and what to write instead.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use tinyjson::JsonValue;

/// A mistake, and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line and column, from 1.
    pub at: (usize, usize),
    /// What is wrong.
    pub what: String,
    /// What to write instead.
    pub instead: String,
}

impl std::fmt::Display for Mistake {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}, column {}: {}", self.at.0, self.at.1, self.what)?;
        if !self.instead.is_empty() {
            write!(f, "; {}", self.instead)?;
        }
        Ok(())
    }
}

/// The file that `driftfront init` writes.
pub const EXAMPLE: &str = include_str!("../../../deploy/appliance.kdl");

/// Names that may stand at the top, and what they take.
const TOP: &[(&str, &str)] = &[
    ("name", "name \"school\""),
    ("listen", "listen \"127.0.0.1:8123\""),
    ("front", "front \"clickhouse\""),
    ("engines", "engines { engine \"engine-1\" at=\"127.0.0.1:18123\" }"),
    ("class", "class \"lookup\" wanted=\"500 ms\" patience=\"2.5 s\""),
    ("reads", "reads \"lookup\""),
    ("writes", "writes \"import\""),
    ("deduplicated", "deduplicated \"keyed-import\""),
    ("limits", "limits memory-mb=192 sockets=1024 open=2000"),
    ("results", "results stall=\"10 s\" upload=\"10 min\""),
    ("state", "state \"/var/lib/driftfront\""),
    ("control", "control \"/run/driftfront.sock\""),
    ("kind", "kind \"std-8\" cores=8 memory-mb=16384"),
    (
        "fleet",
        "fleet listen=\"127.0.0.1:7946\" key-file=\"/etc/driftfront/fleet.key\" { seed \"127.0.0.1:7947\" }",
    ),
];

struct Reader<'a> {
    text: &'a str,
}

type Told<T> = Result<T, Mistake>;

impl Reader<'_> {
    fn place(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
        (line, column)
    }

    fn wrong(&self, offset: usize, what: impl Into<String>, instead: impl Into<String>) -> Mistake {
        Mistake {
            at: self.place(offset),
            what: what.into(),
            instead: instead.into(),
        }
    }

    fn at(&self, node: &KdlNode, what: impl Into<String>, instead: impl Into<String>) -> Mistake {
        // A node's span begins with the white space before it.
        let offset = node.span().offset();
        let skipped = self.text[offset.min(self.text.len())..]
            .find(|c: char| !c.is_whitespace())
            .unwrap_or(0);
        self.wrong(offset + skipped, what, instead)
    }

    /// A node's only argument, a text.
    fn text_of(&self, node: &KdlNode) -> Told<String> {
        let name = node.name().value();
        let example = TOP
            .iter()
            .find(|t| t.0 == name)
            .map_or(String::new(), |t| format!("write it as {}", t.1));
        let arguments: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|e| e.name().is_none())
            .collect();
        match arguments[..] {
            [one] => match one.value() {
                KdlValue::String(text) => Ok(text.clone()),
                other => Err(self.wrong(
                    one.span().offset(),
                    format!("{name} takes a text, not {other}"),
                    example,
                )),
            },
            [] => Err(self.at(node, format!("{name} needs a text"), example)),
            _ => Err(self.at(node, format!("{name} takes one text"), example)),
        }
    }

    /// A node's properties, each of which has to be known.
    fn properties<'n>(
        &self,
        node: &'n KdlNode,
        known: &[&str],
    ) -> Told<BTreeMap<&'n str, &'n KdlEntry>> {
        let mut found = BTreeMap::new();
        for entry in node.entries() {
            let Some(name) = entry.name().map(|n| n.value()) else {
                continue;
            };
            if !known.contains(&name) {
                let what = format!("{} has no property {name}", node.name().value());
                let instead = format!("it takes {}", known.join(", "));
                return Err(self.wrong(entry.span().offset(), what, instead));
            }
            found.insert(name, entry);
        }
        Ok(found)
    }

    fn number(&self, entry: &KdlEntry, name: &str, range: (f64, f64)) -> Told<f64> {
        let value = entry.value();
        let number = value
            .as_float()
            .or_else(|| value.as_integer().map(|n| n as f64));
        number
            .filter(|n| (range.0..=range.1).contains(n))
            .ok_or_else(|| {
                let what = format!("{name} is {value}");
                self.wrong(
                    entry.span().offset(),
                    what,
                    format!("write a number from {} to {}", range.0, range.1),
                )
            })
    }

    /// A time such as `"500 ms"`, in microseconds.
    fn time(&self, entry: &KdlEntry, name: &str) -> Told<u64> {
        let text = entry.value().as_string().unwrap_or_default();
        let split = text
            .trim()
            .find(|c: char| c.is_alphabetic())
            .unwrap_or(text.len());
        let (number, unit) = text.trim().split_at(split.min(text.trim().len()));
        let factor = match unit.trim() {
            "us" | "µs" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            _ => 0.0,
        };
        let time = number.trim().parse::<f64>().unwrap_or(-1.0) * factor;
        if time > 0.0 && time <= 86_400e6 {
            return Ok(time as u64);
        }
        let what = format!("{name} is {}, which is no time", entry.value());
        Err(self.wrong(
            entry.span().offset(),
            what,
            "write it as \"500 ms\", \"2.5 s\" or \"10 min\"",
        ))
    }

    fn flag(&self, entry: &KdlEntry, name: &str) -> Told<bool> {
        let what = || format!("{name} is {}", entry.value());
        entry
            .value()
            .as_bool()
            .ok_or_else(|| self.wrong(entry.span().offset(), what(), "write #true or #false"))
    }
}

fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let far = |k: &&str| driftfront_engine_registry::edit_distance(k, name);
    known.min_by_key(far).filter(|k| far(k) <= 2)
}

fn object(fields: Vec<(&str, JsonValue)>) -> JsonValue {
    JsonValue::Object(
        fields
            .into_iter()
            .map(|(n, v)| (n.to_string(), v))
            .collect(),
    )
}

fn text(value: &str) -> JsonValue {
    JsonValue::String(value.into())
}

fn list(values: impl IntoIterator<Item = JsonValue>) -> JsonValue {
    JsonValue::Array(values.into_iter().collect())
}

struct Class {
    name: String,
    json: JsonValue,
    threads: f64,
    holds: bool,
    once: bool,
}

/// Reads a file into the JSON that the platform would write; the first mistake ends it.
pub fn read(text: &str) -> Result<JsonValue, Mistake> {
    let reader = Reader { text };
    let document = KdlDocument::parse(text).map_err(|e| {
        let first = e.diagnostics.first();
        let offset = first.map_or(0, |d| d.span.offset());
        let what = first
            .and_then(|d| d.message.clone())
            .unwrap_or("it is no KDL".into());
        let help = first
            .and_then(|d| d.help.clone())
            .unwrap_or("texts stand in quotes, blocks in { }".into());
        reader.wrong(offset, what, help)
    })?;
    let mut top: BTreeMap<&str, &KdlNode> = BTreeMap::new();
    let (mut classes, mut kinds): (Vec<Class>, Vec<(String, f64, f64)>) = (Vec::new(), Vec::new());
    for node in document.nodes() {
        let name = node.name().value();
        if !TOP.iter().any(|t| t.0 == name) {
            let meant = near(name, TOP.iter().map(|t| t.0));
            let instead = meant.map_or_else(
                || {
                    format!(
                        "it may hold {}",
                        TOP.iter().map(|t| t.0).collect::<Vec<_>>().join(", ")
                    )
                },
                |m| format!("did you mean {m}?"),
            );
            return Err(reader.at(node, format!("nothing is called {name} here"), instead));
        }
        match name {
            "class" => classes.push(class(&reader, node)?),
            "kind" => kinds.push(kind(&reader, node)?),
            _ if top.insert(name, node).is_some() => {
                return Err(reader.at(
                    node,
                    format!("{name} stands here a second time"),
                    "leave one of the two out",
                ));
            }
            _ => {}
        }
    }
    let get = |name: &str| top.get(name).map(|n| reader.text_of(n)).transpose();
    if classes.is_empty() {
        classes = default_classes();
    }
    let mut root = vec![];
    let listen = get("listen")?.unwrap_or("127.0.0.1:8123".into());
    if listen.parse::<std::net::SocketAddr>().is_err() {
        let what = format!("listen is {listen:?}, which is no address");
        return Err(reader.at(top["listen"], what, "write it as \"127.0.0.1:8123\""));
    }
    root.push(("listen", self::text(&listen)));
    root.push((
        "name",
        self::text(&get("name")?.unwrap_or("driftfront".into())),
    ));
    let front = get("front")?.unwrap_or("clickhouse".into());
    if !["clickhouse", "platform"].contains(&front.as_str()) {
        let what = format!("front is {front:?}");
        return Err(reader.at(top["front"], what, "write \"clickhouse\" or \"platform\""));
    }
    root.push(("front", self::text(&front)));
    let mut clickhouse = vec![];
    let once = classes
        .iter()
        .position(|c| c.once)
        .unwrap_or(classes.len() - 1);
    for (name, key, otherwise) in [
        ("reads", "read", Some(0)),
        ("writes", "write", Some(once)),
        ("deduplicated", "deduplicated", None),
    ] {
        let told = get(name)?;
        if let Some(told) = &told {
            if !classes.iter().any(|c| c.name == *told) {
                let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
                let what = format!("there is no class {told}");
                return Err(reader.at(
                    top[name],
                    what,
                    format!("the classes are {}", names.join(", ")),
                ));
            }
        }
        if let Some(class) = told.or(otherwise.map(|n: usize| classes[n].name.clone())) {
            clickhouse.push((key, self::text(&class)));
        }
    }
    if let Some(node) = top.get("results") {
        let told = reader.properties(node, &["stall", "upload"])?;
        for (name, key) in [("stall", "stall_ms"), ("upload", "upload_ms")] {
            if let Some(entry) = told.get(name) {
                clickhouse.push((key, ((reader.time(entry, name)? / 1000) as f64).into()));
            }
        }
    }
    root.push(("clickhouse", object(clickhouse)));
    let mut open = 2000.0;
    let mut limits = vec![("sockets", 1024.0.into())];
    if let Some(node) = top.get("limits") {
        let told = reader.properties(node, &["memory-mb", "sockets", "open"])?;
        limits.clear();
        let sockets = told
            .get("sockets")
            .map(|e| reader.number(e, "sockets", (64.0, 1e6)))
            .transpose()?;
        limits.push(("sockets", sockets.unwrap_or(1024.0).into()));
        if let Some(entry) = told.get("memory-mb") {
            limits.push((
                "memory_mb",
                reader.number(entry, "memory-mb", (16.0, 65_536.0))?.into(),
            ));
        }
        if let Some(entry) = told.get("open") {
            open = reader.number(entry, "open", (1.0, 4096.0))?;
        }
    }
    root.push(("limits", object(limits)));
    for name in ["state", "control"] {
        if let Some(path) = get(name)? {
            root.push((name, self::text(&path)));
        }
    }
    if let Some(node) = top.get("fleet") {
        root.push(("fleet", fleet(&reader, node)?));
    }
    let engines = engines(&reader, top.get("engines").copied(), &mut kinds)?;
    if let Some(membership) = engines.membership {
        root.push(("membership", membership));
    }
    if !engines.listed.is_empty() {
        let endpoints = object(vec![
            ("reset", true.into()),
            ("instances", list(engines.listed)),
        ]);
        let update = object(vec![("index", 1.0.into()), ("endpoints", endpoints)]);
        root.push((
            "known",
            object(vec![("index", 1.0.into()), ("updates", list([update]))]),
        ));
    }
    root.push((
        "settings",
        settings(
            &classes,
            &kinds,
            &engines.zones,
            open,
            front == "clickhouse",
        ),
    ));
    Ok(object(root))
}

fn class(reader: &Reader, node: &KdlNode) -> Told<Class> {
    let name = reader.text_of(node)?;
    let known = [
        "wanted",
        "patience",
        "worth",
        "threads",
        "once",
        "in-order",
        "holds-tables",
        "repeats-dropped",
        "stretch",
        "late-worth",
    ];
    let told = reader.properties(node, &known)?;
    let need = |key: &str| {
        let missing = || {
            reader.at(
                node,
                format!("class {name} says nothing of {key}"),
                format!("add {key}=\"500 ms\""),
            )
        };
        told.get(key)
            .ok_or_else(missing)
            .and_then(|e| reader.time(e, key))
    };
    let (wanted, patience) = (need("wanted")?, need("patience")?);
    if patience < wanted {
        let what = format!("class {name}: patience is shorter than what is wanted");
        return Err(reader.at(
            node,
            what,
            "clients must wait at least as long as the answer is wanted in",
        ));
    }
    let number = |key: &str, otherwise: f64, range| {
        told.get(key)
            .map_or(Ok(otherwise), |e| reader.number(e, key, range))
    };
    let flag = |key: &str| told.get(key).map_or(Ok(false), |e| reader.flag(e, key));
    let (once, holds) = (flag("once")?, flag("holds-tables")?);
    let dropped = told
        .get("repeats-dropped")
        .map(|e| reader.time(e, "repeats-dropped"))
        .transpose()?;
    let effect = match (once, dropped) {
        (_, Some(_)) => "guarded",
        (true, None) => "single_shot",
        (false, None) => "free",
    };
    let threads = number("threads", 1.0, (1.0, 256.0))?;
    let fields = vec![
        ("Name", text(&name)),
        ("Effect", text(effect)),
        ("KeyScope", text("all")),
        (
            "RepeatWindowUs",
            (dropped.unwrap_or(5_000_000) as f64).into(),
        ),
        ("ByArrival", flag("in-order")?.into()),
        ("OnTimeUs", (wanted as f64).into()),
        ("DeadlineUs", (patience as f64).into()),
        ("AimStretch", number("stretch", 2.0, (0.0, 100.0))?.into()),
        ("Worth", number("worth", 1.0, (0.001, 1e6))?.into()),
        ("LateWorth", number("late-worth", 0.4, (0.0, 1.0))?.into()),
    ];
    Ok(Class {
        json: object(fields),
        threads,
        holds,
        once,
        name,
    })
}

fn default_classes() -> Vec<Class> {
    let document = KdlDocument::parse(EXAMPLE).expect("the example is KDL");
    let reader = Reader { text: EXAMPLE };
    let classes = document
        .nodes()
        .iter()
        .filter(|n| n.name().value() == "class");
    classes
        .map(|n| class(&reader, n).expect("the example's classes are well formed"))
        .collect()
}

fn kind(reader: &Reader, node: &KdlNode) -> Told<(String, f64, f64)> {
    let told = reader.properties(node, &["cores", "memory-mb"])?;
    let number = |key: &str, otherwise: f64, range| {
        told.get(key)
            .map_or(Ok(otherwise), |e| reader.number(e, key, range))
    };
    Ok((
        reader.text_of(node)?,
        number("cores", 8.0, (1.0, 1024.0))?,
        number("memory-mb", 16_384.0, (64.0, 1e8))?,
    ))
}

/// Other coordinators.
fn fleet(reader: &Reader, node: &KdlNode) -> Told<JsonValue> {
    let told = reader.properties(
        node,
        &[
            "listen",
            "advertise",
            "key-file",
            "zone",
            "region",
            "replace-after",
        ],
    )?;
    let value = |key: &str| told.get(key).and_then(|e| e.value().as_string());
    let address = |key: &str, text: &str, offset: usize| match text.parse::<std::net::SocketAddr>()
    {
        Ok(_) => Ok(self::text(text)),
        Err(_) => {
            let what = format!("{key} is {text:?}, which is no address");
            Err(reader.wrong(offset, what, format!("write {key}=\"127.0.0.1:7946\"")))
        }
    };
    let mut fields = Vec::new();
    for key in ["listen", "advertise"] {
        match told.get(key) {
            Some(entry) => {
                let text = entry.value().as_string().unwrap_or_default();
                fields.push((key, address(key, text, entry.span().offset())?));
            }
            None if key == "listen" => {
                return Err(reader.at(
                    node,
                    "fleet says nothing of listen",
                    "add listen=\"127.0.0.1:7946\"",
                ));
            }
            None => {}
        }
    }
    let Some(key_file) = value("key-file") else {
        let instead =
            "add key-file=\"/etc/driftfront/fleet.key\", a file of mode 600 with 32 hex digits";
        return Err(reader.at(node, "fleet says nothing of key-file", instead));
    };
    fields.push(("key_file", text(key_file)));
    for key in ["zone", "region"] {
        fields.extend(value(key).map(|v| (key, text(v))));
    }
    if let Some(entry) = told.get("replace-after") {
        let seconds = reader.time(entry, "replace-after")? / 1_000_000;
        fields.push(("replace_after_s", (seconds as f64).into()));
    }
    let (mut seeds, mut voters) = (Vec::new(), Vec::new());
    for child in node.children().map(|c| c.nodes()).unwrap_or(&[]) {
        match child.name().value() {
            "seed" => {
                let at = reader.text_of(child)?;
                seeds.push(address("seed", &at, child.span().offset())?);
            }
            "voter" => voters.push(reader.text_of(child)?),
            other => {
                let what = format!("fleet holds no {other}");
                return Err(reader.at(
                    child,
                    what,
                    "it holds seed \"127.0.0.1:7947\" and voter \"coordinator-a\"",
                ));
            }
        }
    }
    let different: std::collections::BTreeSet<&String> = voters.iter().collect();
    if different.len() != voters.len() || ![0, 3, 5].contains(&voters.len()) {
        let what = format!(
            "fleet names {} voters, {} of them different",
            voters.len(),
            different.len()
        );
        return Err(reader.at(
            node,
            what,
            "name 3 or 5 coordinators, the same in all files, or none",
        ));
    }
    fields.push(("seeds", list(seeds)));
    fields.push((
        "voters",
        list(voters.iter().map(|v| text(v)).collect::<Vec<_>>()),
    ));
    Ok(object(fields))
}

#[derive(Default)]
struct Engines {
    listed: Vec<JsonValue>,
    membership: Option<JsonValue>,
    zones: Vec<String>,
}

fn engines(
    reader: &Reader,
    node: Option<&KdlNode>,
    kinds: &mut Vec<(String, f64, f64)>,
) -> Told<Engines> {
    let mut engines = Engines::default();
    let mut names = Vec::new();
    for node in node
        .and_then(|n| n.children())
        .map(|c| c.nodes())
        .unwrap_or(&[])
    {
        match node.name().value() {
            "file" => {
                engines.membership = Some(object(vec![("file", text(&reader.text_of(node)?))]))
            }
            "etcd" => {
                let told = reader.properties(node, &["prefix"])?;
                let prefix = told
                    .get("prefix")
                    .and_then(|e| e.value().as_string())
                    .unwrap_or("/driftfront/engines/");
                engines.membership = Some(object(vec![
                    ("etcd", text(&reader.text_of(node)?)),
                    ("prefix", text(prefix)),
                ]));
            }
            "engine" => {
                let name = reader.text_of(node)?;
                if names.contains(&name) {
                    return Err(reader.at(
                        node,
                        format!("engine {name} stands here a second time"),
                        "give it another name",
                    ));
                }
                let told = reader.properties(node, &["at", "building", "kind"])?;
                let value = |key: &str, otherwise: &str| {
                    told.get(key)
                        .and_then(|e| e.value().as_string())
                        .unwrap_or(otherwise)
                        .to_string()
                };
                let at = value("at", "");
                if at.parse::<std::net::SocketAddr>().is_err() {
                    let what = format!("engine {name} is at {at:?}, which is no address");
                    return Err(reader.at(node, what, "write at=\"127.0.0.1:18123\""));
                }
                let (zone, kind) = (value("building", "main"), value("kind", "std-8"));
                if !engines.zones.contains(&zone) {
                    engines.zones.push(zone.clone());
                }
                if !kinds.iter().any(|k| k.0 == kind) {
                    let cores = kind
                        .rsplit('-')
                        .next()
                        .and_then(|n| n.parse().ok())
                        .unwrap_or(8.0);
                    kinds.push((kind.clone(), cores, cores * 2048.0));
                }
                engines.listed.push(object(vec![
                    ("instanceId", text(&name)),
                    ("hostPort", text(&at)),
                    ("zone", text(&zone)),
                    ("machineType", text(&kind)),
                    ("cell", 0.0.into()),
                    ("lifecycle", text("ready")),
                    ("startedAtMs", 0.0.into()),
                ]));
                names.push(name);
            }
            other => {
                let what = format!("engines holds no {other}");
                return Err(reader.at(node, what, "it holds engine, file or etcd"));
            }
        }
    }
    if engines.listed.is_empty() && engines.membership.is_none() {
        let what = "no engine is named, and no place that they come from";
        let instead = "add engines { engine \"engine-1\" at=\"127.0.0.1:18123\" }";
        return Err(node.map_or_else(
            || reader.wrong(0, what, instead),
            |n| reader.at(n, what, instead),
        ));
    }
    if engines.zones.is_empty() {
        engines.zones = vec!["building-a".into(), "building-b".into()];
    }
    if kinds.is_empty() {
        *kinds = vec![
            ("std-8".into(), 8.0, 16_384.0),
            ("std-16".into(), 16.0, 32_768.0),
        ];
    }
    Ok(engines)
}

/// The module's settings, as the platform would give them to one coordinator alone.
fn settings(
    classes: &[Class],
    kinds: &[(String, f64, f64)],
    zones: &[String],
    open: f64,
    notes: bool,
) -> JsonValue {
    let numbers = |each: &dyn Fn(&Class) -> JsonValue| list(classes.iter().map(each));
    let caps = vec![
        ("Cancel", false.into()),
        ("MayProbe", true.into()),
        ("Peers", false.into()),
        ("ParallelTries", false.into()),
        ("MaxAttempts", 6.0.into()),
        ("RetryAfter", true.into()),
        ("MaxRetryAfterUs", 500_000.0.into()),
        ("MaxOpen", open.into()),
        ("ConnectTimeoutUs", 250_000.0.into()),
        ("ConnIdleUs", 3_000_000.0.into()),
    ];
    let contract = vec![
        ("AnswerSlackUs", 20_000.0.into()),
        ("DrainGraceUs", 250_000.0.into()),
        ("SettleAfterDoubtUs", 500_000.0.into()),
        ("MinExtra", 5.0.into()),
        ("FurtherRatio", 0.1.into()),
        ("ExtraWindowUs", 10_000_000.0.into()),
        ("ColdFrom", 0.35.into()),
        ("WarmUpUs", 15_000_000.0.into()),
        ("FallMultiple", 4.0.into()),
        ("OverloadForUs", 1_500_000.0.into()),
    ];
    let family = vec![
        ("SizeCores", list(kinds.iter().map(|k| k.1.into()))),
        ("RamOfKindMb", list(kinds.iter().map(|k| k.2.into()))),
        ("LargestShare", 0.4.into()),
        ("WidthByClass", numbers(&|c| c.threads.into())),
        ("Loads", numbers(&|c| c.holds.into())),
        ("BlockedByLoads", numbers(&|_| false.into())),
        ("OutOfMemory", text("line_up")),
        (
            "TellsEveryUs",
            (if notes { 1_000_000.0 } else { 0.0 }).into(),
        ),
    ];
    object(vec![
        ("Balancers", 1.0.into()),
        ("Zone", 0.0.into()),
        ("FailureDomains", list(zones.iter().map(|z| text(z)))),
        ("MachineTypes", list(kinds.iter().map(|k| text(&k.0)))),
        ("MembershipMode", text("push")),
        ("TickUs", 5000.0.into()),
        ("Caps", object(caps)),
        ("Contract", object(contract)),
        ("FamilyInfo", object(family)),
        (
            "LoadReport",
            object(vec![("How", text("off")), ("Fields", list([]))]),
        ),
        ("Profiles", list(classes.iter().map(|c| c.json.clone()))),
    ])
}

/// All that a mistake needs to be found: the place, the line, and a mark under it.
pub fn shown(file: &str, text: &str, mistake: &Mistake) -> String {
    let line = text.lines().nth(mistake.at.0 - 1).unwrap_or_default();
    let mut out = format!(
        "{file}:{}:{}: {}\n",
        mistake.at.0, mistake.at.1, mistake.what
    );
    let _ = writeln!(out, "  | {line}\n  | {}^", " ".repeat(mistake.at.1 - 1));
    if !mistake.instead.is_empty() {
        let _ = writeln!(out, "  = {}", mistake.instead);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{Config, DiscoverySource, Protocol};

    fn config(text: &str) -> Config {
        Config::of_operator(text).unwrap_or_else(|e| panic!("{e}"))
    }

    #[test]
    fn five_lines_make_a_site_and_the_example_is_one() {
        let small = config(
            "engines {\n engine \"e1\" at=\"127.0.0.1:1\"\n engine \"e2\" at=\"127.0.0.1:2\"\n}\n",
        );
        assert_eq!(
            (small.protocol, small.classes.names.len()),
            (Protocol::ClickHouse, 3)
        );
        assert_eq!(
            (small.discovery, small.known_updates.len()),
            (DiscoverySource::Fixed, 1)
        );
        assert_eq!((small.clickhouse.read, small.clickhouse.write), (0, 2));
        let example = config(EXAMPLE);
        assert_eq!(example.listen, "127.0.0.1:8123".parse().unwrap());
        assert_eq!(
            &*example.classes.patience,
            [2_500_000, 15_000_000, 25_000_000]
        );
        let etcd = config("engines { etcd \"127.0.0.1:2379\" prefix=\"/x/\"; }");
        assert_eq!(
            etcd.discovery,
            DiscoverySource::Etcd("127.0.0.1:2379".parse().unwrap(), "/x/".into())
        );
    }

    #[test]
    fn every_mistake_is_told_with_its_place_and_what_to_write() {
        let engines = "engines { engine \"e\" at=\"127.0.0.1:1\"; }\n";
        for (text, at, words) in [
            ("lissten \"x\"\n", (1, 1), "did you mean listen?"),
            ("listen 5\n", (1, 8), "write it as listen"),
            ("\n  listen \"here\"\n", (2, 3), "127.0.0.1:8123"),
            (
                "front \"mysql\"\n",
                (1, 1),
                "\"clickhouse\" or \"platform\"",
            ),
            (
                "class \"a\" wanted=\"500\" patience=\"1 s\"\n",
                (1, 11),
                "500 ms",
            ),
            (
                "class \"a\" wanted=\"2 s\" patience=\"1 s\"\n",
                (1, 1),
                "at least as long",
            ),
            ("class \"a\" patience=\"1 s\"\n", (1, 1), "add wanted"),
            (
                "class \"a\" wanted=\"1 s\" patience=\"2 s\" once=\"yes\"\n",
                (1, 39),
                "#true or #false",
            ),
            ("class \"a\" wonted=\"1 s\"\n", (1, 11), "it takes wanted"),
            ("limits sockets=3\n", (1, 8), "from 64"),
            ("reads \"nothing\"\n", (1, 1), "the classes are"),
            (
                "engines {\n  engine \"e\" at=\"here\"\n}\n",
                (2, 3),
                "write at=",
            ),
            (
                "listen \"127.0.0.1:1\"\nlisten \"127.0.0.1:1\"\n",
                (2, 1),
                "leave one",
            ),
            ("", (1, 1), "add engines"),
        ] {
            let whole = if text.contains("engines") || text.is_empty() {
                text.to_string()
            } else {
                text.to_string() + engines
            };
            let mistake = read(&whole).expect_err(text);
            assert_eq!(mistake.at, at, "{text}: {mistake}");
            assert!(mistake.to_string().contains(words), "{text}: {mistake}");
            assert!(shown("f.kdl", &whole, &mistake).contains('^'));
        }
        assert!(read("engines {").is_err() && read("\"").is_err());
    }
}
