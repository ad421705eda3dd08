//! Compares the registry with a simple model under random lists, commands and restarts.
#![allow(
    clippy::too_many_lines,
    reason = "one match over all steps of the model"
)]

use driftfront_engine_registry::record::{self, StateRecord};
use driftfront_engine_registry::{Command, EngineDescription, EngineRegistry, Order};
use driftfront_scheduler::{EngineId, ListKind, Phase};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Full(Vec<(u8, u8)>),
    Changes(Vec<(u8, u8)>),
    Drain(u8, bool),
    Resume(u8),
    Add(u8),
    Remove(u8, bool),
    /// The program stops, possibly while it writes a record, and starts again.
    Restart(u8),
    Compact,
    Forget(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g) % 5;
        let descriptions = |g: &mut Gen| {
            (0..u8::arbitrary(g) % 5)
                .map(|_| (u8::arbitrary(g) % 5, u8::arbitrary(g) % 4))
                .collect()
        };
        match u8::arbitrary(g) % 14 {
            0..=1 => Step::Full(descriptions(g)),
            2..=4 => Step::Changes(descriptions(g)),
            5..=6 => Step::Drain(n, bool::arbitrary(g)),
            7 => Step::Resume(n),
            8..=9 => Step::Add(n),
            10 => Step::Remove(n, bool::arbitrary(g)),
            11 => Step::Restart(u8::arbitrary(g)),
            12 => Step::Compact,
            _ => Step::Forget(n),
        }
    }
}

fn name(n: u8) -> String {
    format!("e{n}")
}

fn description(n: u8, phase: u8) -> EngineDescription {
    let phase = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone][usize::from(phase % 4)];
    let addr = format!("127.0.0.1:{}", 1000 + u16::from(n)).parse().ok();
    EngineDescription {
        name: name(n),
        addr,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at: None,
        phase,
    }
}

/// The phases as the scheduler knows them from the changes alone.
#[derive(Default)]
struct SchedulerView(BTreeMap<EngineId, Phase>);

impl SchedulerView {
    fn apply(&mut self, change: &driftfront_engine_registry::RegistryChange) {
        if change.kind != ListKind::Changes {
            self.0.values_mut().for_each(|p| *p = Phase::Gone);
        }
        for line in &change.engines {
            self.0.insert(line.engine, line.phase);
        }
    }
    fn phase(&self, id: Option<EngineId>) -> Phase {
        id.and_then(|id| self.0.get(&id))
            .copied()
            .unwrap_or(Phase::Gone)
    }
}

#[derive(Default)]
struct Model {
    source: BTreeMap<String, Phase>,
    added: Vec<String>,
    orders: BTreeMap<String, Order>,
}

impl Model {
    fn phase(&self, name: &String) -> Phase {
        let added = self.added.contains(name);
        let described = match self.source.get(name) {
            Some(Phase::Gone) | None if added => Phase::Ready,
            Some(&phase) => phase,
            None => Phase::Gone,
        };
        match self.orders.get(name) {
            Some(Order::Remove) => Phase::Gone,
            Some(Order::Drain) if described == Phase::Ready => Phase::Draining,
            _ => described,
        }
    }
}

fn registry_matches_model(steps: Vec<Step>) -> bool {
    let (mut registry, mut scheduler, mut model) = (
        EngineRegistry::new(),
        SchedulerView::default(),
        Model::default(),
    );
    let mut file = record::encode_file(&[]);
    for (n, step) in steps.into_iter().enumerate() {
        let mut change = None;
        match step {
            Step::Full(descriptions) => {
                model.source.clear();
                for (n, phase) in &descriptions {
                    model.source.insert(name(*n), description(*n, *phase).phase);
                }
                change = Some(registry.apply_listing(
                    ListKind::Full,
                    descriptions.iter().map(|f| description(f.0, f.1)).collect(),
                ));
            }
            Step::Changes(descriptions) => {
                for (n, phase) in &descriptions {
                    model.source.insert(name(*n), description(*n, *phase).phase);
                }
                change = Some(registry.apply_listing(
                    ListKind::Changes,
                    descriptions.iter().map(|f| description(f.0, f.1)).collect(),
                ));
            }
            Step::Restart(cut) => {
                // The last record may be incomplete; its command was then never confirmed.
                let before = record::decode_file(&file).expect("a state file");
                if cut < 100 && !before.records.is_empty() {
                    let last = record::encode(before.records.last().expect("one")).len();
                    file.truncate(file.len() - 1 - usize::from(cut) % last);
                    undo_last(&mut model, &before.records);
                }
                let read = record::decode_file(&file).expect("a state file");
                file.truncate(read.valid_bytes.max(record::HEADER.len()));
                registry = EngineRegistry::new();
                scheduler = SchedulerView::default();
                model.source.clear();
                change = Some(registry.restore_records(read.records));
            }
            Step::Compact => {
                file = record::encode_file(&registry.compacted_records());
            }
            Step::Forget(n) => {
                if let Some(id) = registry
                    .id(&name(n))
                    .filter(|&id| scheduler.phase(Some(id)) == Phase::Gone)
                {
                    registry.forget_engine(id);
                }
            }
            command => {
                let command = match command {
                    Step::Drain(n, force) => Command::Drain {
                        engine: name(n),
                        force,
                    },
                    Step::Resume(n) => Command::Resume { engine: name(n) },
                    Step::Add(n) => Command::Add {
                        description: description(n, 0),
                    },
                    Step::Remove(n, force) => Command::Remove {
                        engine: name(n),
                        force,
                    },
                    _ => unreachable!(),
                };
                let ready = |p: &Model| {
                    (0..5)
                        .filter(|&n| p.phase(&name(n)) == Phase::Ready)
                        .count()
                };
                let before = ready(&model);
                if let Ok((c, records)) =
                    registry.execute_command(n as u64, "operator", command.clone())
                {
                    records.iter().for_each(|r| file.extend(record::encode(r)));
                    records.iter().for_each(|r| apply_record(&mut model, r));
                    let forced = matches!(
                        command,
                        Command::Drain { force: true, .. } | Command::Remove { force: true, .. }
                    );
                    if before > 0 && !forced && ready(&model) == 0 {
                        return false;
                    }
                    change = Some(c);
                }
            }
        }
        if let Some(change) = change {
            scheduler.apply(&change);
        }
        for n in 0..5 {
            let name = name(n);
            // After a restart, engines of sources are unknown until a source lists them.
            if scheduler.phase(registry.id(&name)) != model.phase(&name)
                && registry.id(&name).is_some()
            {
                return false;
            }
            if model.phase(&name) != Phase::Gone && registry.id(&name).is_none() {
                return false;
            }
        }
    }
    true
}

fn apply_record(model: &mut Model, record: &StateRecord) {
    match record {
        StateRecord::Ordered {
            engine,
            active_order,
        } => {
            if active_order.order == Order::Remove {
                model.added.retain(|a| a != engine);
            }
            model.orders.insert(engine.clone(), active_order.order);
        }
        StateRecord::Lifted { engine } => drop(model.orders.remove(engine)),
        StateRecord::Added { description } => {
            model.added.retain(|a| *a != description.name);
            model.added.push(description.name.clone());
        }
        StateRecord::RollingRestart { .. } => {}
    }
}

/// Rebuilds the model from all records except the last.
fn undo_last(model: &mut Model, records: &[StateRecord]) {
    (model.added, model.orders) = Default::default();
    records[..records.len() - 1]
        .iter()
        .for_each(|r| apply_record(model, r));
}

#[test]
fn registry_agrees_with_the_model_across_restarts() {
    let mut check = QuickCheck::new()
        .tests(3000)
        .rng(Gen::from_size_and_seed(60, 20_261_201));
    check.quickcheck(registry_matches_model as fn(Vec<Step>) -> bool);
}
