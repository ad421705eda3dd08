//! Operators' orders about engines: those in force, and when earlier ones were lifted.

use crate::handover::HandoverState;
use crate::record::StateRecord;
use crate::{Micros, Refusal};
use std::collections::BTreeMap;

/// Limit on orders in force, including those for engines that no source currently lists.
pub const MAX_ORDERS: usize = 1024;
/// Limit on remembered lifted orders; beyond it the oldest are dropped.
const MAX_LIFTED_ORDERS: usize = 1024;

/// An order about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The engine gets no new work until it is resumed.
    Drain,
    /// The engine is not used, even if sources list it.
    Remove,
}

impl Order {
    /// The name of the order in files.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Order::Drain => "drain",
            Order::Remove => "remove",
        }
    }

    /// Parses [`Order::name`].
    pub(crate) fn from_name(name: &str) -> Option<Order> {
        match name {
            "drain" => Some(Order::Drain),
            "remove" => Some(Order::Remove),
            _ => None,
        }
    }
}

/// An order in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveOrder {
    /// The order.
    pub order: Order,
    /// When it was given, in Unix microseconds.
    pub since: Micros,
    /// Who gave it, as displayed to operators: `operator`, or the name of a rolling restart.
    pub by: String,
}

/// The predicate of a sentence for operators whose subject is the engine.
pub fn describe_active_order(active_order: &ActiveOrder) -> String {
    match active_order.order {
        Order::Drain => format!("was drained before, by {}", active_order.by),
        Order::Remove => format!("is removed, by {}", active_order.by),
    }
}

/// All orders, by engine.
///
/// The timestamps of orders for one engine increase strictly, so that processes that exchange orders agree on the latest.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderStore {
    active: BTreeMap<String, ActiveOrder>,
    /// When orders were lifted. The engine may have been restarted while its order was in force, without its source knowing.
    lifted: BTreeMap<String, Micros>,
}

impl OrderStore {
    /// Orders in force, by engine.
    pub(crate) fn active(&self) -> &BTreeMap<String, ActiveOrder> {
        &self.active
    }

    /// When orders were lifted, by engine.
    pub(crate) fn lifted(&self) -> &BTreeMap<String, Micros> {
        &self.lifted
    }

    /// The order in force for an engine.
    pub(crate) fn active_order(&self, engine: &str) -> Option<&ActiveOrder> {
        self.active.get(engine)
    }

    /// The kind of order in force for an engine.
    pub(crate) fn order(&self, engine: &str) -> Option<Order> {
        self.active.get(engine).map(|active| active.order)
    }

    /// When an order for an engine was last lifted.
    pub(crate) fn lifted_at(&self, engine: &str) -> Option<Micros> {
        self.lifted.get(engine).copied()
    }

    /// Puts an order in force, replacing any earlier one for the engine.
    pub(crate) fn give(
        &mut self,
        now: Micros,
        by: &str,
        engine: &str,
        order: Order,
    ) -> Result<StateRecord, Refusal> {
        if !self.has_room_for(engine) {
            return Err(Refusal::TooMany);
        }
        let active_order = ActiveOrder {
            order,
            since: self.next_time(now, engine),
            by: by.into(),
        };
        self.active.insert(engine.into(), active_order.clone());
        Ok(StateRecord::Ordered {
            engine: engine.into(),
            active_order,
        })
    }

    /// Lifts the order in force for an engine.
    pub(crate) fn lift(&mut self, now: Micros, engine: &str) -> StateRecord {
        let at = self.next_time(now, engine);
        self.active.remove(engine);
        self.record_lift(at, engine);
        StateRecord::Lifted {
            engine: engine.into(),
        }
    }

    /// Restores an order recorded by an earlier process.
    pub(crate) fn restore(&mut self, engine: String, active_order: ActiveOrder) {
        if self.has_room_for(&engine) {
            self.active.insert(engine, active_order);
        }
    }

    /// Replays that an earlier process lifted the order for an engine.
    pub(crate) fn restore_lift(&mut self, engine: &str) {
        self.active.remove(engine);
    }

    /// Merges the orders of another process: the latest one for an engine wins, and an order wins over a lift with the same
    /// timestamp. Returns the records to store.
    pub(crate) fn merge(&mut self, other: &HandoverState) -> Vec<StateRecord> {
        let mut records = Vec::new();
        for (engine, active_order) in &other.orders {
            let is_known = self.active.get(engine) == Some(active_order);
            let is_latest = Some(active_order.since) >= self.last_change(engine);
            if !is_known && is_latest && self.has_room_for(engine) {
                self.lifted.remove(engine);
                self.active.insert(engine.clone(), active_order.clone());
                records.push(StateRecord::Ordered {
                    engine: engine.clone(),
                    active_order: active_order.clone(),
                });
            }
        }
        for (engine, &at) in &other.lifted {
            if Some(at) > self.last_change(engine) {
                if self.active.remove(engine).is_some() {
                    records.push(StateRecord::Lifted {
                        engine: engine.clone(),
                    });
                }
                self.record_lift(at, engine);
            }
        }
        records
    }

    fn has_room_for(&self, engine: &str) -> bool {
        self.active.len() < MAX_ORDERS || self.active.contains_key(engine)
    }

    /// When an order for an engine was last given or lifted.
    fn last_change(&self, engine: &str) -> Option<Micros> {
        let given = self.active.get(engine).map(|active| active.since);
        given.max(self.lifted_at(engine))
    }

    /// The timestamp of a new order for an engine. It is later than the last known one, even if that was given by a process
    /// whose clock is ahead.
    fn next_time(&self, now: Micros, engine: &str) -> Micros {
        self.last_change(engine)
            .map_or(now, |last| now.max(last + 1))
    }

    fn record_lift(&mut self, at: Micros, engine: &str) {
        if self.lifted.len() >= MAX_LIFTED_ORDERS && !self.lifted.contains_key(engine) {
            let oldest = self.lifted.iter().min_by_key(|(_, &at)| at);
            if let Some(oldest) = oldest.map(|(engine, _)| engine.clone()) {
                self.lifted.remove(&oldest);
            }
        }
        self.lifted.insert(engine.into(), at);
    }
}
