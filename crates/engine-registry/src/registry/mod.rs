//! The engines of one coordinator.

mod commands;
mod entry;
mod persistence;

use crate::change::{phase_name, RegistryChange};
use crate::known_names::KnownNames;
use crate::name::{check_name, fnv1a_64, suggest_name};
use crate::order::{ActiveOrder, OrderBook};
use crate::{EngineDescription, Micros, Refusal};
use driftfront_scheduler::{EngineId, ListKind, ListedEngine, Phase};
use entry::{Entry, Origin};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Engines kept at most; more are left out, so that a list cannot exhaust the memory.
pub const MAX_ENGINES: usize = 4096;
/// Engines are numbered with 48 bits: that is what the platform's wire carries.
const ENGINE_ID_MASK: u64 = 0xffff_ffff_ffff;

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
    /// When it last started, in microseconds, if that was lately.
    pub started_at: Option<Micros>,
    /// The phase that counts.
    pub phase: Phase,
    /// The phase that the source says, if it lists the engine.
    pub listed: Option<Phase>,
    /// An operator added it.
    pub added: bool,
    /// The operator's order that holds.
    pub active_order: Option<ActiveOrder>,
}

/// The engines of one coordinator: what sources list, what operators add and order, and what the scheduler was told.
#[derive(Clone, Debug, Default)]
pub struct EngineRegistry {
    entries: BTreeMap<String, Entry>,
    addrs: BTreeMap<EngineId, SocketAddr>,
    names: BTreeMap<EngineId, String>,
    orders: OrderBook,
    known_names: KnownNames,
    /// Descriptions of sources that could not be used: the count shows that a bound was reached.
    pub rejected_descriptions: u64,
}

impl EngineRegistry {
    /// A registry without engines.
    pub fn new() -> EngineRegistry {
        EngineRegistry::default()
    }

    /// Where an engine listens.
    pub fn addr(&self, engine: EngineId) -> Option<SocketAddr> {
        self.addrs.get(&engine).copied()
    }

    /// An engine's zone, as the scheduler was last told.
    pub fn zone(&self, engine: EngineId) -> Option<u16> {
        let entry = self.entries.get(self.names.get(&engine)?)?;
        Some(entry.announced?.zone)
    }

    /// An engine's name.
    pub fn name(&self, engine: EngineId) -> Option<&str> {
        self.names.get(&engine).map(String::as_str)
    }

    /// An engine's number.
    pub fn id(&self, name: &str) -> Option<EngineId> {
        self.entries.get(name).map(|entry| entry.id)
    }

    /// Orders that hold, by engine.
    pub fn orders(&self) -> &BTreeMap<String, ActiveOrder> {
        self.orders.active()
    }

    /// All engines as they count, by name.
    pub fn engines(&self) -> Vec<EngineState> {
        let state = |(name, entry): (&String, &Entry)| {
            let description = entry.description()?;
            Some(EngineState {
                id: entry.id,
                name: name.clone(),
                addr: entry.addr,
                zone: description.zone,
                kind: description.kind,
                cell: description.cell,
                started_at: description.started_at,
                phase: self.phase(name, entry),
                listed: entry.listed.as_ref().map(|listed| listed.phase),
                added: entry.added.is_some(),
                active_order: self.orders.active_order(name).cloned(),
            })
        };
        self.entries.iter().filter_map(state).collect()
    }

    /// All lines as the scheduler was last told them, without engines that are gone.
    pub fn announced_engines(&self) -> Vec<ListedEngine> {
        let announced = self.entries.values().filter_map(|entry| entry.announced);
        announced.filter(|line| line.phase != Phase::Gone).collect()
    }

    /// Engines that the scheduler was told are gone.
    pub fn departed_engines(&self) -> Vec<EngineId> {
        let is_gone = |entry: &&Entry| {
            entry
                .announced
                .is_some_and(|line| line.phase == Phase::Gone)
        };
        let gone = self.entries.values().filter(is_gone);
        gone.map(|entry| entry.id).collect()
    }

    /// Takes over what a source lists: all of its engines, or changes to them.
    pub fn apply_listing(
        &mut self,
        kind: ListKind,
        descriptions: Vec<EngineDescription>,
    ) -> RegistryChange {
        let mut change = RegistryChange::new(kind);
        let mut listed = BTreeSet::new();
        for description in descriptions {
            let name = description.name.clone();
            match self.record_description(description, Origin::Source, &mut change) {
                Ok(()) => drop(listed.insert(name)),
                Err(refusal) => {
                    self.rejected_descriptions += 1;
                    change.messages.push(refusal.to_string());
                }
            }
        }
        if kind != ListKind::Changes {
            for (name, entry) in &mut self.entries {
                if !listed.contains(name) {
                    entry.listed = None;
                }
            }
        }
        self.announce(&mut change);
        change
    }

    /// Forgets an engine that is gone, once nothing runs there any more. Orders about it stay.
    pub fn forget_engine(&mut self, engine: EngineId) {
        let Some(name) = self.names.get(&engine) else {
            return;
        };
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        // One that is only gone by an order may come back with that: its description stays.
        if entry.is_described() {
            return;
        }
        self.entries.remove(name);
        self.addrs.remove(&engine);
        self.names.remove(&engine);
    }

    /// Takes over one engine's description.
    fn record_description(
        &mut self,
        description: EngineDescription,
        origin: Origin,
        change: &mut RegistryChange,
    ) -> Result<(), Refusal> {
        let name = description.name.clone();
        check_name(&name)?;
        let known = self.entries.get(&name);
        let addr = description
            .addr
            .or(known.map(|entry| entry.addr))
            .ok_or_else(|| Refusal::NoAddress(name.clone()))?;
        if known.is_none() && self.entries.len() >= MAX_ENGINES {
            return Err(Refusal::TooMany);
        }
        let id = known.map_or_else(|| self.new_id(&name), |entry| entry.id);
        // The source's address holds while it lists the engine.
        let is_authoritative =
            origin == Origin::Source || known.is_none_or(|entry| entry.listed.is_none());
        let is_restart = known.is_some_and(|entry| entry.is_restart(addr, &description));
        if is_authoritative && is_restart {
            change.restarted.push(id);
        }
        self.known_names.insert(&name);
        let entry = self
            .entries
            .entry(name.clone())
            .or_insert_with(|| Entry::new(id, addr));
        if is_authoritative {
            entry.addr = addr;
            self.addrs.insert(id, addr);
        }
        self.names.insert(id, name);
        match origin {
            Origin::Source => entry.listed = Some(description),
            Origin::Operator => entry.added = Some(description),
        }
        Ok(())
    }

    /// A new engine's number: by its name, so that it is the same at every coordinator and in every process.
    fn new_id(&self, name: &str) -> EngineId {
        let mut id = EngineId(fnv1a_64(name.as_bytes()) & ENGINE_ID_MASK);
        while self.names.contains_key(&id) {
            id = EngineId((id.0 + 1) & ENGINE_ID_MASK);
        }
        id
    }

    /// The phase that counts.
    fn phase(&self, name: &str, entry: &Entry) -> Phase {
        entry.phase(self.orders.order(name))
    }

    /// The phase of an engine that is, or was, known.
    fn known_phase(&self, engine: &str) -> Result<Phase, Refusal> {
        match self.entries.get(engine) {
            Some(entry) => Ok(self.phase(engine, entry)),
            None if self.known_names.contains(engine) => Ok(Phase::Gone),
            None => Err(Refusal::UnknownEngine {
                engine: engine.into(),
                nearest: suggest_name(self.entries.keys(), engine),
            }),
        }
    }

    /// Puts into a change what the scheduler was not told yet, each thing once; into a full list all of it.
    fn announce(&mut self, change: &mut RegistryChange) {
        let is_full = change.kind != ListKind::Changes;
        for (name, entry) in &mut self.entries {
            let phase = entry.phase(self.orders.order(name));
            let Some(line) = entry.line(phase, self.orders.lifted_at(name)) else {
                continue;
            };
            let previous = entry.announced;
            let is_unchanged = previous.is_some_and(|previous| is_same_line(&previous, &line));
            let was_never_there = previous.is_none() && line.phase == Phase::Gone;
            if !is_full && (is_unchanged || was_never_there) {
                continue;
            }
            // Not being on a full list says that an engine is gone.
            let is_implied = is_full
                && line.phase == Phase::Gone
                && (entry.description().is_none() || was_never_there);
            if !is_implied {
                change.engines.push(line);
            }
            if !is_unchanged {
                let before = previous.map_or("new", |previous| phase_name(previous.phase));
                let message = format!("{name}: {before} -> {}", phase_name(phase));
                change.messages.push(message);
            }
            entry.announced = Some(line);
        }
        // What is gone and was never announced leaves nothing behind.
        self.remove_entries(|entry| entry.announced.is_none() && !entry.is_described());
    }

    fn remove_entries(&mut self, is_removed: impl Fn(&Entry) -> bool) {
        let (addrs, names) = (&mut self.addrs, &mut self.names);
        self.entries.retain(|_, entry| {
            let is_kept = !is_removed(entry);
            if !is_kept {
                addrs.remove(&entry.id);
                names.remove(&entry.id);
            }
            is_kept
        });
    }
}

fn is_same_line(a: &ListedEngine, b: &ListedEngine) -> bool {
    (a.zone, a.kind, a.cell) == (b.zone, b.kind, b.cell)
        && (a.phase, a.started_at) == (b.phase, b.started_at)
}
