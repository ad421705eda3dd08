//! Execution of operators' commands.

use super::entry::Origin;
use super::EngineRegistry;
use crate::record::StateRecord;
use crate::{Command, EngineDescription, Micros, Order, Refusal, RegistryChange, RegistryUpdate};
use driftfront_scheduler::{ListKind, Phase};

impl EngineRegistry {
    /// Executes an operator's command, given by `by` at `now` (Unix microseconds).
    ///
    /// # Errors
    ///
    /// A [`Refusal`] to show to the operator; the registry is unchanged.
    pub fn execute_command(
        &mut self,
        now: Micros,
        by: &str,
        command: Command,
    ) -> Result<RegistryUpdate, Refusal> {
        let mut change = RegistryChange::new(ListKind::Changes);
        let records = match command {
            Command::Drain { engine, force } => vec![self.drain(now, by, engine, force)?],
            Command::Resume { engine } => vec![self.resume(now, engine)?],
            Command::Add { description } => self.add(now, description, &mut change)?,
            Command::Remove { engine, force } => vec![self.remove(now, by, engine, force)?],
        };
        self.announce(&mut change);
        Ok((change, records))
    }

    /// Drains an engine, even if it is the last one, gone or unreachable; `None` if an order for it is already in force.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the engine was never known, or the limit on orders is reached.
    pub fn suspend_engine(
        &mut self,
        now: Micros,
        by: &str,
        engine: &str,
    ) -> Result<Option<RegistryUpdate>, Refusal> {
        if self.orders.active_order(engine).is_some() {
            return Ok(None);
        }
        let drain = Command::Drain {
            engine: engine.into(),
            force: true,
        };
        self.execute_command(now, by, drain).map(Some)
    }

    /// Resumes a drained engine, which is then treated as just started; `None` if no order for it is in force.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the engine was never known, or is removed.
    pub fn restore_engine(
        &mut self,
        now: Micros,
        by: &str,
        engine: &str,
    ) -> Result<Option<RegistryUpdate>, Refusal> {
        if self.orders.active_order(engine).is_none() {
            return self.known_phase(engine).map(|_| None);
        }
        let resume = Command::Resume {
            engine: engine.into(),
        };
        self.execute_command(now, by, resume).map(Some)
    }

    fn drain(
        &mut self,
        now: Micros,
        by: &str,
        engine: String,
        force: bool,
    ) -> Result<StateRecord, Refusal> {
        let phase = self.known_phase(&engine)?;
        if let Some(active_order) = self.orders.active_order(&engine).cloned() {
            return Err(Refusal::AlreadyOrdered {
                engine,
                active_order,
            });
        }
        if phase == Phase::Ready && !force && self.is_last_ready(&engine) {
            return Err(Refusal::LastReady(engine));
        }
        self.orders.give(now, by, &engine, Order::Drain)
    }

    fn resume(&mut self, now: Micros, engine: String) -> Result<StateRecord, Refusal> {
        match self.orders.order(&engine) {
            Some(Order::Drain) => Ok(self.orders.lift(now, &engine)),
            Some(Order::Remove) => Err(Refusal::IsRemoved(engine)),
            None => {
                self.known_phase(&engine)?;
                Err(Refusal::NotDrained(engine))
            }
        }
    }

    fn add(
        &mut self,
        now: Micros,
        description: EngineDescription,
        change: &mut RegistryChange,
    ) -> Result<Vec<StateRecord>, Refusal> {
        let engine = description.name.clone();
        let is_removed = self.orders.order(&engine) == Some(Order::Remove);
        let known = self.entries.get(&engine);
        let is_added = known.is_some_and(|entry| entry.added.as_ref() == Some(&description));
        if is_added && !is_removed {
            return Err(Refusal::AlreadyAdded(engine));
        }
        if description.addr.is_none() && known.is_none() {
            return Err(Refusal::AddressRequired(engine));
        }
        let mut records = Vec::new();
        if description.addr.is_some() {
            self.record_description(description.clone(), Origin::Operator, change)?;
            records.push(StateRecord::Added { description });
        }
        if is_removed {
            records.push(self.orders.lift(now, &engine));
        }
        Ok(records)
    }

    fn remove(
        &mut self,
        now: Micros,
        by: &str,
        engine: String,
        force: bool,
    ) -> Result<StateRecord, Refusal> {
        let phase = self.known_phase(&engine)?;
        if self.orders.order(&engine) == Some(Order::Remove) {
            return Err(Refusal::AlreadyRemoved(engine));
        }
        if phase == Phase::Ready && !force {
            return Err(Refusal::StillReady(engine));
        }
        let record = self.orders.give(now, by, &engine, Order::Remove)?;
        if let Some(entry) = self.entries.get_mut(&engine) {
            entry.added = None;
        }
        Ok(record)
    }

    fn is_last_ready(&self, engine: &str) -> bool {
        let mut others = self.entries.iter().filter(|(name, _)| *name != engine);
        !others.any(|(name, entry)| self.phase(name, entry) == Phase::Ready)
    }
}
