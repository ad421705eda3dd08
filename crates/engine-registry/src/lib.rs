//! Who the engines are, where, and in which phase: what sources say, what operators order, and which of the two holds.
//!
//! A source (the platform's stream, etcd, a file) lists engines with facts. An operator adds engines and gives orders
//! about them. An order stands until an operator lifts it, whatever sources say meanwhile, and outlives a restart by
//! [`record`]s that the host writes to a file. Nothing here does I/O or knows a clock.
//!
//! | fact | who is believed |
//! | --- | --- |
//! | phase | an operator's `drain` or `remove`; else the source; else what an operator added counts as ready |
//! | address, zone, kind, start | the source, while it lists the engine; else what an operator added |
//! | that an engine is gone | the source, unless an operator added it |
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod handover;
pub mod record;
pub mod rolling_restart;

use driftfront_scheduler::interface::{EngineId, ListKind, ListedEngine, Phase};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;

/// Time in microseconds.
pub type Micros = u64;

/// Most engines kept; more are left out, so that a list cannot exhaust the memory.
pub const MAX_ENGINES: usize = 4096;
/// Orders kept, also for engines that no source lists just now.
pub const MAX_ORDERS: usize = 1024;
/// Names that were ever listed, kept so that an order about an engine that is gone can be told from a mistyped one; the
/// oldest go first.
pub const MAX_KNOWN_NAMES: usize = 8192;
/// Lifted orders whose time is kept: until then an engine counts as just started.
const MAX_LIFTED_ORDERS: usize = 1024;
/// Longest name of an engine.
pub const MAX_NAME_BYTES: usize = 128;

/// What a source says of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescription {
    /// Its name.
    pub name: String,
    /// Where it listens; `None`: as before.
    pub addr: Option<SocketAddr>,
    /// Its zone, by place in the settings.
    pub zone: u16,
    /// Its machine kind, by place in the settings.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// When it last started, if lately, in microseconds.
    pub started_at: Option<Micros>,
    /// Its phase.
    pub phase: Phase,
}

/// What an operator has ordered of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Nothing new goes there until it is resumed.
    Drain,
    /// It is not to be used, whatever sources list.
    Remove,
}

/// An order that stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveOrder {
    /// What was ordered.
    pub order: Order,
    /// When, as Unix microseconds.
    pub since: Micros,
    /// Who ordered it, in words: `operator`, or the name of a roll.
    pub by: String,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// See [`Order::Drain`]. `force`: also the last engine that is ready.
    Drain {
        /// The engine.
        engine: String,
        /// Even if no other is ready.
        force: bool,
    },
    /// Lifts a drain.
    Resume {
        /// The engine.
        engine: String,
    },
    /// Adds an engine that no source lists, or lifts its removal.
    Add {
        /// Its facts; the phase is not looked at.
        description: EngineDescription,
    },
    /// See [`Order::Remove`]. `force`: also while it is ready.
    Remove {
        /// The engine.
        engine: String,
        /// Even if it has not been drained.
        force: bool,
    },
}

/// Why a command is not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There is no engine of this name; the nearest name, if one is near.
    Unknown(String, Option<String>),
    /// It is so already; since when, and by whom.
    Already(String),
    /// It is the last that takes work.
    LastReady(String),
    /// It still takes work: it is to be drained first.
    StillReady(String),
    /// The name or the address can't be used.
    Unusable(String),
    /// There are too many engines or orders.
    TooMany,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unknown(name, Some(near)) => {
                write!(f, "there is no engine {name}; did you mean {near}?")
            }
            Refusal::Unknown(name, None) => write!(f, "there is no engine {name}"),
            Refusal::Already(words) => f.write_str(words),
            Refusal::LastReady(name) => {
                write!(
                    f,
                    "{name} is the last engine that takes work: without it every request is refused. \
                           Repeat the command with --force if that is what you want"
                )
            }
            Refusal::StillReady(name) => {
                write!(
                    f,
                    "{name} still takes work: drain it first, or repeat the command with --force"
                )
            }
            Refusal::Unusable(words) => f.write_str(words),
            Refusal::TooMany => {
                write!(
                    f,
                    "there are too many engines ({MAX_ENGINES}) or orders ({MAX_ORDERS})"
                )
            }
        }
    }
}

impl std::error::Error for Refusal {}

/// A change to the list, in the module's terms.
#[derive(Clone, Debug)]
pub struct RegistryChange {
    /// Whole list or changes.
    pub kind: ListKind,
    /// The lines.
    pub lines: Vec<ListedEngine>,
    /// Engines whose process or address is another than before: old connections lead elsewhere.
    pub restarted: Vec<EngineId>,
    /// What changed, in words.
    pub messages: Vec<String>,
}

/// What a command has changed, and what is to be written down of it.
pub type RegistryUpdate = (RegistryChange, Vec<record::StateRecord>);

/// An engine as it counts, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Its number.
    pub id: EngineId,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone, by index in the settings.
    pub zone: u16,
    /// Its machine kind, by index in the settings.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// When it last started, if lately.
    pub started_at: Option<Micros>,
    /// The phase that counts.
    pub phase: Phase,
    /// The phase that the source says, if it lists the engine.
    pub listed: Option<Phase>,
    /// An operator added it.
    pub added: bool,
    /// The order that stands.
    pub active_order: Option<ActiveOrder>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: EngineId,
    addr: SocketAddr,
    /// As the source lists it now.
    source: Option<EngineDescription>,
    /// As an operator added it.
    added: Option<EngineDescription>,
    /// What the module was last told.
    told: Option<ListedEngine>,
}

/// The engines of one program.
#[derive(Clone, Debug, Default)]
pub struct EngineRegistry {
    entries: BTreeMap<String, Entry>,
    addrs: BTreeMap<EngineId, SocketAddr>,
    names: BTreeMap<EngineId, String>,
    orders: BTreeMap<String, ActiveOrder>,
    /// When orders were lifted: the engine may have been started anew meanwhile, whatever the list says by then.
    lifted: BTreeMap<String, Micros>,
    /// Names that were ever listed, and in which order they came.
    ever: BTreeSet<String>,
    ever_order: VecDeque<String>,
    /// Facts of sources that could not be used: the count tells that a bound bit.
    pub left_out: u64,
}

impl EngineRegistry {
    /// An empty one.
    pub fn new() -> EngineRegistry {
        EngineRegistry::default()
    }

    /// Where an engine listens.
    pub fn addr(&self, engine: EngineId) -> Option<SocketAddr> {
        self.addrs.get(&engine).copied()
    }

    /// An engine's zone, as it was last told.
    pub fn zone(&self, engine: EngineId) -> Option<u16> {
        self.names
            .get(&engine)
            .and_then(|name| self.entries.get(name))
            .and_then(|e| Some(e.told?.zone))
    }

    /// An engine's name.
    pub fn name(&self, engine: EngineId) -> Option<&str> {
        self.names.get(&engine).map(String::as_str)
    }

    /// An engine's number.
    pub fn id(&self, name: &str) -> Option<EngineId> {
        self.entries.get(name).map(|e| e.id)
    }

    /// Orders that stand, by engine.
    pub fn orders(&self) -> &BTreeMap<String, ActiveOrder> {
        &self.orders
    }

    /// All engines as they count, by name.
    pub fn engines(&self) -> Vec<EngineState> {
        let each = self.entries.iter().filter_map(|(name, e)| {
            let description = e.source.as_ref().or(e.added.as_ref())?;
            Some(EngineState {
                id: e.id,
                name: name.clone(),
                addr: e.addr,
                zone: description.zone,
                kind: description.kind,
                cell: description.cell,
                started_at: description.started_at,
                phase: self.phase(name, e),
                listed: e.source.as_ref().map(|s| s.phase),
                added: e.added.is_some(),
                active_order: self.orders.get(name).cloned(),
            })
        });
        each.collect()
    }

    /// The phase that counts.
    fn phase(&self, name: &str, e: &Entry) -> Phase {
        let said = match (&e.source, &e.added) {
            (Some(s), None) => s.phase,
            // An operator's engine doesn't leave because a source has let it go.
            (Some(s), Some(_)) if s.phase == Phase::Gone => Phase::Ready,
            (Some(s), Some(_)) => s.phase,
            (None, Some(_)) => Phase::Ready,
            (None, None) => Phase::Gone,
        };
        match self.orders.get(name).map(|s| s.order) {
            Some(Order::Remove) => Phase::Gone,
            Some(Order::Drain) if said == Phase::Ready => Phase::Draining,
            _ => said,
        }
    }

    /// A source has said something: its whole list, or changes to it.
    pub fn apply_listing(
        &mut self,
        kind: ListKind,
        descriptions: Vec<EngineDescription>,
    ) -> RegistryChange {
        let mut change = RegistryChange {
            kind,
            lines: Vec::new(),
            restarted: Vec::new(),
            messages: Vec::new(),
        };
        let mut named = BTreeSet::new();
        for description in descriptions {
            let name = description.name.clone();
            match self.take(description, false, &mut change) {
                Ok(()) => drop(named.insert(name)),
                Err(why) => {
                    self.left_out += 1;
                    change.messages.push(why.to_string());
                }
            }
        }
        if kind != ListKind::Changes {
            for (_, entry) in self
                .entries
                .iter_mut()
                .filter(|(name, _)| !named.contains(*name))
            {
                entry.source = None;
            }
        }
        self.tell(&mut change);
        change
    }

    /// Takes one engine's facts over, of a source or an operator.
    fn take(
        &mut self,
        description: EngineDescription,
        added: bool,
        change: &mut RegistryChange,
    ) -> Result<(), Refusal> {
        let name = description.name.clone();
        if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
            return Err(Refusal::Unusable(format!(
                "an engine's name has 1 to {MAX_NAME_BYTES} plain characters"
            )));
        }
        let known = self.entries.get(&name);
        let no_addr = || Refusal::Unusable(format!("{name}: no usable address"));
        let addr = description
            .addr
            .or(known.map(|k| k.addr))
            .ok_or_else(no_addr)?;
        if known.is_none() && self.entries.len() >= MAX_ENGINES {
            return Err(Refusal::TooMany);
        }
        let id = known.map_or_else(|| self.new_id(&name), |k| k.id);
        // The source's address holds while it lists the engine.
        let holds = !added || known.is_none_or(|k| k.source.is_none());
        let before = known.and_then(|k| k.source.as_ref().or(k.added.as_ref()));
        if holds
            && known.is_some_and(|k| {
                k.addr != addr || before.is_some_and(|b| b.started_at != description.started_at)
            })
        {
            change.restarted.push(id);
        }
        self.remember(&name);
        let entry = Entry {
            id,
            addr,
            source: None,
            added: None,
            told: None,
        };
        let entry = self.entries.entry(name.clone()).or_insert(entry);
        if holds {
            entry.addr = addr;
            self.addrs.insert(id, addr);
        }
        self.names.insert(id, name);
        if added {
            entry.added = Some(description);
        } else {
            entry.source = Some(description);
        }
        Ok(())
    }

    /// A name has been listed.
    fn remember(&mut self, name: &str) {
        if self.ever.insert(name.into()) {
            self.ever_order.push_back(name.into());
        }
        while self.ever_order.len() > MAX_KNOWN_NAMES {
            let oldest = self.ever_order.pop_front();
            oldest.map(|name| self.ever.remove(&name));
        }
    }

    /// The same engine has the same number at every coordinator and in every life.
    fn new_id(&self, name: &str) -> EngineId {
        let mut id = EngineId(fnv1a_64(name.as_bytes()) & 0xffff_ffff_ffff);
        while self.names.contains_key(&id) {
            id = EngineId((id.0 + 1) & 0xffff_ffff_ffff);
        }
        id
    }

    /// Puts into a change what the module was not told yet, each thing once; in a whole list all of it.
    fn tell(&mut self, change: &mut RegistryChange) {
        let phases: Vec<(String, Phase)> = self
            .entries
            .iter()
            .map(|(name, e)| (name.clone(), self.phase(name, e)))
            .collect();
        for (name, phase) in phases {
            let Some(entry) = self.entries.get_mut(&name) else {
                continue;
            };
            let description = entry.source.as_ref().or(entry.added.as_ref());
            let last = entry.told;
            let line = match description {
                Some(f) => Some(ListedEngine {
                    engine: entry.id,
                    zone: f.zone,
                    kind: f.kind,
                    cell: f.cell,
                    phase,
                    // Out by an order, it may have been started anew: the later of what is listed and the order's end.
                    started_at: f.started_at.max(self.lifted.get(&name).copied()),
                }),
                None => last.map(|told| ListedEngine {
                    phase: Phase::Gone,
                    ..told
                }),
            };
            let Some(line) = line else { continue };
            let same = last.is_some_and(|told| is_same(&told, &line));
            let unknown_and_gone = last.is_none() && line.phase == Phase::Gone;
            if change.kind == ListKind::Changes && (same || unknown_and_gone) {
                continue;
            }
            let whole = change.kind != ListKind::Changes;
            if whole && line.phase == Phase::Gone && (description.is_none() || unknown_and_gone) {
                // Not being on a whole list says the same.
            } else {
                change.lines.push(line);
            }
            if !same {
                let was = last.map_or("new", |told| phase_name(told.phase));
                change
                    .messages
                    .push(format!("{name}: {was} -> {}", phase_name(phase)));
            }
            entry.told = Some(line);
        }
        // What is gone and was never told to anybody leaves nothing behind.
        let unknown = |e: &Entry| {
            let gone = e.source.as_ref().is_none_or(|s| s.phase == Phase::Gone);
            gone && e.added.is_none() && e.told.is_none()
        };
        let names: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| unknown(e))
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            if let Some(entry) = self.entries.remove(&name) {
                self.addrs.remove(&entry.id);
                self.names.remove(&entry.id);
            }
        }
    }

    /// All lines as the module was last told, but for engines that are gone.
    pub fn announced_lines(&self) -> Vec<ListedEngine> {
        self.entries
            .values()
            .filter_map(|e| e.told)
            .filter(|l| l.phase != Phase::Gone)
            .collect()
    }

    /// Engines that the module was told are gone.
    pub fn departed_engines(&self) -> Vec<EngineId> {
        let gone = self
            .entries
            .values()
            .filter(|e| e.told.is_some_and(|l| l.phase == Phase::Gone));
        gone.map(|e| e.id).collect()
    }

    /// Nothing of a gone engine is out any more: it is forgotten, but for orders about it.
    pub fn forget_engine(&mut self, engine: EngineId) {
        let Some(name) = self.names.get(&engine).cloned() else {
            return;
        };
        let Some(entry) = self.entries.get(&name) else {
            return;
        };
        let listed = entry
            .source
            .as_ref()
            .is_some_and(|s| s.phase != Phase::Gone)
            || entry.added.is_some();
        if listed {
            // It is only gone by an order, and may come back with that: its facts stay.
            return;
        }
        self.addrs.remove(&engine);
        self.names.remove(&engine);
        self.entries.remove(&name);
    }

    /// Carries out an operator's command; what is to be written down, so that it outlives a restart.
    pub fn execute_command(
        &mut self,
        now: Micros,
        by: &str,
        command: Command,
    ) -> Result<RegistryUpdate, Refusal> {
        use record::StateRecord;
        let mut change = RegistryChange {
            kind: ListKind::Changes,
            lines: Vec::new(),
            restarted: Vec::new(),
            messages: Vec::new(),
        };
        let mut records = Vec::new();
        match command {
            Command::Drain { engine, force } => {
                let phase = self.must_know(&engine)?;
                if let Some(active_order) = self.orders.get(&engine) {
                    return Err(Refusal::Already(format!(
                        "{engine} {}",
                        describe_active_order(active_order)
                    )));
                }
                if phase == Phase::Ready && !force && self.is_last_ready(&engine) {
                    return Err(Refusal::LastReady(engine));
                }
                self.order(&mut records, now, by, &engine, Order::Drain)?;
            }
            Command::Resume { engine } => {
                match self.orders.get(&engine).map(|s| s.order) {
                    Some(Order::Drain) => {}
                    Some(Order::Remove) => {
                        return Err(Refusal::Already(format!(
                            "{engine} was removed: add it to use it again"
                        )));
                    }
                    None => {
                        self.must_know(&engine)?;
                        return Err(Refusal::Already(format!(
                            "{engine} is not drained by an operator"
                        )));
                    }
                }
                let at = self.after_last_order(now, &engine);
                self.orders.remove(&engine);
                self.lift(at, &engine);
                records.push(StateRecord::Lifted { engine });
            }
            Command::Add { description } => {
                let engine = description.name.clone();
                let removed = self
                    .orders
                    .get(&engine)
                    .is_some_and(|s| s.order == Order::Remove);
                let known = self.entries.get(&engine);
                if known.is_some_and(|k| k.added.as_ref() == Some(&description)) && !removed {
                    return Err(Refusal::Already(format!("{engine} is there already")));
                }
                if description.addr.is_none() && known.is_none() {
                    return Err(Refusal::Unusable(format!("{engine}: say where it listens")));
                }
                if description.addr.is_some() {
                    self.take(description.clone(), true, &mut change)?;
                    records.push(StateRecord::Added { description });
                }
                if removed {
                    let at = self.after_last_order(now, &engine);
                    self.orders.remove(&engine);
                    self.lift(at, &engine);
                    records.push(StateRecord::Lifted { engine });
                }
            }
            Command::Remove { engine, force } => {
                let phase = self.must_know(&engine)?;
                if self
                    .orders
                    .get(&engine)
                    .is_some_and(|s| s.order == Order::Remove)
                {
                    return Err(Refusal::Already(format!("{engine} was removed before")));
                }
                if phase == Phase::Ready && !force {
                    return Err(Refusal::StillReady(engine));
                }
                self.order(&mut records, now, by, &engine, Order::Remove)?;
                if let Some(entry) = self.entries.get_mut(&engine) {
                    entry.added = None;
                }
            }
        }
        self.tell(&mut change);
        Ok((change, records))
    }

    fn order(
        &mut self,
        records: &mut Vec<record::StateRecord>,
        now: Micros,
        by: &str,
        engine: &str,
        order: Order,
    ) -> Result<(), Refusal> {
        if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(engine) {
            return Err(Refusal::TooMany);
        }
        let since = self.after_last_order(now, engine);
        let active_order = ActiveOrder {
            order,
            since,
            by: by.into(),
        };
        records.push(record::StateRecord::Ordered {
            engine: engine.into(),
            active_order: active_order.clone(),
        });
        self.orders.insert(engine.into(), active_order);
        Ok(())
    }

    /// Nothing more to an engine, be it the last one, gone or not reachable; `None` if that stood already.
    pub fn suspend_engine(
        &mut self,
        now: Micros,
        by: &str,
        engine: &str,
    ) -> Result<Option<RegistryUpdate>, Refusal> {
        if self.orders.contains_key(engine) {
            return Ok(None);
        }
        self.execute_command(
            now,
            by,
            Command::Drain {
                engine: engine.into(),
                force: true,
            },
        )
        .map(Some)
    }

    /// An engine may be used again, and counts as just started; `None` if no order stood.
    pub fn restore_engine(
        &mut self,
        now: Micros,
        by: &str,
        engine: &str,
    ) -> Result<Option<RegistryUpdate>, Refusal> {
        if !self.orders.contains_key(engine) {
            return self.must_know(engine).map(|_| None);
        }
        self.execute_command(
            now,
            by,
            Command::Resume {
                engine: engine.into(),
            },
        )
        .map(Some)
    }

    /// What another process of this coordinator has to know of orders.
    pub fn handover_state(&self, ready: bool) -> handover::HandoverState {
        let names = self.ever_order.iter().cloned().collect();
        handover::HandoverState {
            ready,
            orders: self.orders.clone(),
            lifted: self.lifted.clone(),
            names,
        }
    }

    /// Takes over what another process of this coordinator says: the later word about an engine holds, and of two at
    /// once the one that takes it out. What has changed, and what is to be written down of it.
    pub fn merge_handover(&mut self, word: &handover::HandoverState) -> RegistryUpdate {
        use record::StateRecord;
        let mut change = RegistryChange {
            kind: ListKind::Changes,
            lines: Vec::new(),
            restarted: Vec::new(),
            messages: Vec::new(),
        };
        let mut records = Vec::new();
        word.names.iter().for_each(|name| self.remember(name));
        for (engine, active_order) in &word.orders {
            let room = self.orders.len() < MAX_ORDERS || self.orders.contains_key(engine);
            let same = self.orders.get(engine) == Some(active_order);
            if !same && room && Some(active_order.since) >= self.last_order(engine) {
                self.lifted.remove(engine);
                self.orders.insert(engine.clone(), active_order.clone());
                records.push(StateRecord::Ordered {
                    engine: engine.clone(),
                    active_order: active_order.clone(),
                });
            }
        }
        for (engine, &at) in &word.lifted {
            if Some(at) > self.last_order(engine) {
                if self.orders.remove(engine).is_some() {
                    records.push(StateRecord::Lifted {
                        engine: engine.clone(),
                    });
                }
                self.lift(at, engine);
            }
        }
        self.tell(&mut change);
        (change, records)
    }

    /// When an order about an engine was last given or lifted.
    fn last_order(&self, engine: &str) -> Option<Micros> {
        self.orders
            .get(engine)
            .map(|s| s.since)
            .max(self.lifted.get(engine).copied())
    }

    /// The time of a new order about an engine: behind the last one that is known, though another process gave that by a clock
    /// which is ahead of this one's.
    fn after_last_order(&self, now: Micros, engine: &str) -> Micros {
        self.last_order(engine)
            .map_or(now, |last| now.max(last + 1))
    }

    /// An order about an engine is over.
    fn lift(&mut self, now: Micros, engine: &str) {
        if self.lifted.len() >= MAX_LIFTED_ORDERS && !self.lifted.contains_key(engine) {
            let oldest = self.lifted.iter().min_by_key(|l| *l.1).map(|l| l.0.clone());
            oldest.map(|name| self.lifted.remove(&name));
        }
        self.lifted.insert(engine.into(), now);
    }

    fn must_know(&self, engine: &str) -> Result<Phase, Refusal> {
        match self.entries.get(engine) {
            Some(entry) => Ok(self.phase(engine, entry)),
            None if self.ever.contains(engine) => Ok(Phase::Gone),
            None => {
                let near = self
                    .entries
                    .keys()
                    .min_by_key(|name| edit_distance(name, engine))
                    .cloned();
                let near = near.filter(|name| edit_distance(name, engine) <= 2);
                Err(Refusal::Unknown(engine.into(), near))
            }
        }
    }

    fn is_last_ready(&self, engine: &str) -> bool {
        let ready =
            |(name, e): (&String, &Entry)| name != engine && self.phase(name, e) == Phase::Ready;
        !self.entries.iter().any(ready)
    }

    /// Takes over what was written down in an earlier life, before any source has spoken.
    pub fn restore_records(
        &mut self,
        records: impl IntoIterator<Item = record::StateRecord>,
    ) -> RegistryChange {
        let mut change = RegistryChange {
            kind: ListKind::Changes,
            lines: Vec::new(),
            restarted: Vec::new(),
            messages: Vec::new(),
        };
        for record in records {
            match record {
                record::StateRecord::Ordered {
                    engine,
                    active_order,
                } => {
                    if active_order.order == Order::Remove {
                        if let Some(entry) = self.entries.get_mut(&engine) {
                            entry.added = None;
                        }
                    }
                    if self.orders.len() < MAX_ORDERS || self.orders.contains_key(&engine) {
                        self.orders.insert(engine, active_order);
                    }
                }
                record::StateRecord::Lifted { engine } => drop(self.orders.remove(&engine)),
                record::StateRecord::Added { description } => {
                    if let Err(why) = self.take(description, true, &mut change) {
                        change.messages.push(why.to_string());
                    }
                }
                record::StateRecord::RollingRestart { .. } => {}
            }
        }
        // Those that were added and removed again leave no trace but their order.
        let gone: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| e.source.is_none() && e.added.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            if let Some(entry) = self.entries.remove(&name) {
                self.addrs.remove(&entry.id);
                self.names.remove(&entry.id);
            }
        }
        self.tell(&mut change);
        change
    }

    /// The fewest records that say the same, for a compacted file.
    pub fn compacted_records(&self) -> Vec<record::StateRecord> {
        use record::StateRecord;
        let added = self
            .entries
            .values()
            .filter_map(|e| e.added.clone())
            .map(|description| StateRecord::Added { description });
        let orders = self
            .orders
            .iter()
            .map(|(engine, active_order)| StateRecord::Ordered {
                engine: engine.clone(),
                active_order: active_order.clone(),
            });
        added.chain(orders).collect()
    }
}

/// An order that stands, in words.
pub fn describe_active_order(active_order: &ActiveOrder) -> String {
    match active_order.order {
        Order::Drain => format!("was drained before, by {}", active_order.by),
        Order::Remove => format!("was removed, by {}", active_order.by),
    }
}

fn is_same(a: &ListedEngine, b: &ListedEngine) -> bool {
    (a.zone, a.kind, a.cell, a.phase, a.started_at)
        == (b.zone, b.kind, b.cell, b.phase, b.started_at)
}

/// A phase in a word.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Draining => "draining",
        Phase::Gone => "gone",
    }
}

/// A name's number (FNV-1a): the same at every coordinator and in every life.
pub fn fnv1a_64(name: &[u8]) -> u64 {
    name.iter().fold(0xcbf2_9ce4_8422_2325, |h, &b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Changes of one letter from one name to another.
pub fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], i + 1);
        for (j, &y) in b.iter().enumerate() {
            let above = row[j + 1];
            row[j + 1] = (corner + usize::from(x != y))
                .min(above + 1)
                .min(row[j] + 1);
            corner = above;
        }
    }
    row[b.len()]
}
