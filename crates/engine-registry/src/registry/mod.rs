//! The registry of the engines of one coordinator.

mod commands;
mod entry;
mod persistence;

use crate::change::{phase_name, RegistryChange};
use crate::known_names::KnownNames;
use crate::name::{check_name, fnv1a_64, suggest_name};
use crate::order::{ActiveOrder, OrderStore};
use crate::{EngineDescription, Micros, Refusal};
use driftfront_scheduler::{EngineId, ListKind, ListedEngine, Phase};
use entry::{Entry, Origin};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Limit on the number of engines, so that a list cannot exhaust the memory; further engines are rejected.
pub const MAX_ENGINES: usize = 4096;
/// Engine ids have 48 bits, the width of the field in the platform's wire protocol.
const ENGINE_ID_MASK: u64 = 0xffff_ffff_ffff;

/// The effective state of an engine, and what it results from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// The id.
    pub id: EngineId,
    /// The name.
    pub name: String,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The zone, as an index into the settings.
    pub zone: u16,
    /// The machine kind, as an index into the settings.
    pub kind: u16,
    /// The cell.
    pub cell: u16,
    /// When it last started, in microseconds, if that was recent.
    pub started_at: Option<Micros>,
    /// The effective phase.
    pub phase: Phase,
    /// The phase according to the source, if it lists the engine.
    pub listed: Option<Phase>,
    /// Whether an operator added it.
    pub added: bool,
    /// The operator's order in force.
    pub active_order: Option<ActiveOrder>,
}

/// The engines of one coordinator: what sources list, what operators add and order, and what was announced to the scheduler.
#[derive(Clone, Debug, Default)]
pub struct EngineRegistry {
    entries: BTreeMap<String, Entry>,
    addrs: BTreeMap<EngineId, SocketAddr>,
    names: BTreeMap<EngineId, String>,
    orders: OrderStore,
    known_names: KnownNames,
    /// Number of sources' descriptions that were rejected, for instance because a limit was reached.
    pub rejected_descriptions: u64,
}

impl EngineRegistry {
    /// Creates an empty registry.
    pub fn new() -> EngineRegistry {
        EngineRegistry::default()
    }

    /// The address that an engine listens on.
    pub fn addr(&self, engine: EngineId) -> Option<SocketAddr> {
        self.addrs.get(&engine).copied()
    }

    /// The zone of an engine, as last announced to the scheduler.
    pub fn zone(&self, engine: EngineId) -> Option<u16> {
        let entry = self.entries.get(self.names.get(&engine)?)?;
        Some(entry.announced?.zone)
    }

    /// The name of an engine.
    pub fn name(&self, engine: EngineId) -> Option<&str> {
        self.names.get(&engine).map(String::as_str)
    }

    /// The id of an engine.
    pub fn id(&self, name: &str) -> Option<EngineId> {
        self.entries.get(name).map(|entry| entry.id)
    }

    /// Orders in force, by engine.
    pub fn orders(&self) -> &BTreeMap<String, ActiveOrder> {
        self.orders.active()
    }

    /// The effective state of all engines, by name.
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

    /// All engines as last announced to the scheduler, except those that are gone.
    pub fn announced_engines(&self) -> Vec<ListedEngine> {
        let announced = self.entries.values().filter_map(|entry| entry.announced);
        announced.filter(|line| line.phase != Phase::Gone).collect()
    }

    /// Engines last announced to the scheduler as gone.
    pub fn departed_engines(&self) -> Vec<EngineId> {
        let is_gone = |entry: &&Entry| {
            entry
                .announced
                .is_some_and(|line| line.phase == Phase::Gone)
        };
        let gone = self.entries.values().filter(is_gone);
        gone.map(|entry| entry.id).collect()
    }

    /// Applies a full list or an update from a source.
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

    /// Removes the entry of a gone engine, once nothing runs there any more. Orders for it stay in force.
    pub fn forget_engine(&mut self, engine: EngineId) {
        let Some(name) = self.names.get(&engine) else {
            return;
        };
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        // An engine that is gone only because of an order may come back when that is lifted, so its description is kept.
        if entry.is_described() {
            return;
        }
        self.entries.remove(name);
        self.addrs.remove(&engine);
        self.names.remove(&engine);
    }

    /// Records the description of one engine.
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
        // While a source lists the engine, the source's address takes precedence.
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

    /// The id of a new engine, derived from its name so that all coordinators and processes use the same one.
    fn new_id(&self, name: &str) -> EngineId {
        let mut id = EngineId(fnv1a_64(name.as_bytes()) & ENGINE_ID_MASK);
        while self.names.contains_key(&id) {
            id = EngineId((id.0 + 1) & ENGINE_ID_MASK);
        }
        id
    }

    /// The effective phase.
    fn phase(&self, name: &str, entry: &Entry) -> Phase {
        entry.phase(self.orders.order(name))
    }

    /// The phase of an engine that is or was known.
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

    /// Adds what was not yet announced to the scheduler to the change; everything, if the change is a full list.
    fn announce(&mut self, change: &mut RegistryChange) {
        let is_full = change.kind != ListKind::Changes;
        for (name, entry) in &mut self.entries {
            let phase = entry.phase(self.orders.order(name));
            let Some(line) = entry.listed_engine(phase, self.orders.lifted_at(name)) else {
                continue;
            };
            let previous = entry.announced;
            let is_unchanged = previous.is_some_and(|previous| is_same_line(&previous, &line));
            let was_never_present = previous.is_none() && line.phase == Phase::Gone;
            if !is_full && (is_unchanged || was_never_present) {
                continue;
            }
            // Absence from a full list implies that the engine is gone.
            let is_implied = is_full
                && line.phase == Phase::Gone
                && (entry.description().is_none() || was_never_present);
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
        // Drop engines that are gone and were never announced.
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
