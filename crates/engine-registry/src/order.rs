//! Operators' orders about engines: which hold, and when earlier ones were lifted.

use crate::handover::HandoverState;
use crate::record::StateRecord;
use crate::{Micros, Refusal};
use std::collections::BTreeMap;

/// Orders kept, also for engines that no source lists just now.
pub const MAX_ORDERS: usize = 1024;
/// Lifted orders whose time is kept; the oldest go first.
const MAX_LIFTED_ORDERS: usize = 1024;

/// What an operator has ordered about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Nothing new goes to it until it is resumed.
    Drain,
    /// It is not used, whatever sources list.
    Remove,
}

impl Order {
    /// The order as files name it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Order::Drain => "drain",
            Order::Remove => "remove",
        }
    }

    /// Reads [`Order::name`].
    pub(crate) fn from_name(name: &str) -> Option<Order> {
        match name {
            "drain" => Some(Order::Drain),
            "remove" => Some(Order::Remove),
            _ => None,
        }
    }
}

/// An order that holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveOrder {
    /// What was ordered.
    pub order: Order,
    /// When, as Unix microseconds.
    pub since: Micros,
    /// Who ordered it, as operators read it: `operator`, or the name of a rolling restart.
    pub by: String,
}

/// An order that holds, as a sentence's end for operators.
pub fn describe_active_order(active_order: &ActiveOrder) -> String {
    match active_order.order {
        Order::Drain => format!("was drained before, by {}", active_order.by),
        Order::Remove => format!("was removed, by {}", active_order.by),
    }
}

/// All orders by engine.
///
/// Orders about one engine have strictly growing times, so that processes which exchange them agree on the latest.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderBook {
    active: BTreeMap<String, ActiveOrder>,
    /// When orders were lifted: the engine may have been restarted meanwhile, whatever its source has heard of that.
    lifted: BTreeMap<String, Micros>,
}

impl OrderBook {
    /// Orders that hold, by engine.
    pub(crate) fn active(&self) -> &BTreeMap<String, ActiveOrder> {
        &self.active
    }

    /// When orders were lifted, by engine.
    pub(crate) fn lifted(&self) -> &BTreeMap<String, Micros> {
        &self.lifted
    }

    /// The order that holds about an engine.
    pub(crate) fn active_order(&self, engine: &str) -> Option<&ActiveOrder> {
        self.active.get(engine)
    }

    /// What is ordered about an engine.
    pub(crate) fn order(&self, engine: &str) -> Option<Order> {
        self.active.get(engine).map(|active| active.order)
    }

    /// When an order about an engine was last lifted.
    pub(crate) fn lifted_at(&self, engine: &str) -> Option<Micros> {
        self.lifted.get(engine).copied()
    }

    /// Gives an order, in place of one that may hold.
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

    /// Lifts the order that holds about an engine.
    pub(crate) fn lift(&mut self, now: Micros, engine: &str) -> StateRecord {
        let at = self.next_time(now, engine);
        self.active.remove(engine);
        self.record_lift(at, engine);
        StateRecord::Lifted {
            engine: engine.into(),
        }
    }

    /// Restores an order that was written down by an earlier process.
    pub(crate) fn restore(&mut self, engine: String, active_order: ActiveOrder) {
        if self.has_room_for(&engine) {
            self.active.insert(engine, active_order);
        }
    }

    /// Restores that an earlier process lifted the order about an engine.
    pub(crate) fn restore_lift(&mut self, engine: &str) {
        self.active.remove(engine);
    }

    /// Merges the orders of another process: the later one about an engine holds, and of two at the same time the one that
    /// takes the engine out. Returns what is to be written down.
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

    /// When an order about an engine was last given or lifted.
    fn last_change(&self, engine: &str) -> Option<Micros> {
        let given = self.active.get(engine).map(|active| active.since);
        given.max(self.lifted_at(engine))
    }

    /// The time of a new order about an engine: after the last known one, though another process may have given that by a
    /// clock that is ahead of this one's.
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
