//! Runs the controllers of many instances behind one pair of streams.

use crate::fields::Fields;
use crate::record::{decode, InstanceRecord, Record};
use crate::reply::Reply;
use crate::WireError;
use driftfront_scheduler::{Action, AttemptEnded, Controller, Event, ListedEngine};
use driftfront_settings::parse_settings;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The isolated controllers of all instances behind one pair of streams.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Controller>,
    /// Lists of engines by catalog number; topology records refer to them.
    catalogs: BTreeMap<u32, Vec<ListedEngine>>,
    /// Buffer for a controller's actions, reused between events.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the records of one batch with clock `now` (microseconds) and returns the complete reply.
    ///
    /// # Errors
    ///
    /// A [`WireError`] if a record is malformed.
    pub fn batch(&mut self, now: u64, mut body: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut reply = Reply::new();
        while !body.is_empty() {
            let (code, fields, rest) = Fields::split_record(body)?;
            body = rest;
            match decode(code, fields)? {
                Record::Catalog(number, engines) => {
                    self.catalogs.insert(number, engines);
                }
                Record::ForInstance(instance, record) => {
                    self.handle_record(now, instance, record, &mut reply)?;
                }
                Record::Unknown => {}
            }
        }
        Ok(reply.into_frame())
    }

    fn handle_record(
        &mut self,
        now: u64,
        instance: u16,
        record: InstanceRecord,
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        match record {
            InstanceRecord::Start(seed, settings) => self.start(instance, seed, settings, reply),
            InstanceRecord::Stop => drop(self.instances.remove(&instance)),
            InstanceRecord::Topology(kind, catalog) => {
                let engines = self.catalogs.get(&catalog).ok_or(WireError::NoCatalog)?;
                let engines = engines.clone();
                let event = Event::EnginesListed {
                    kind,
                    engines: &engines,
                };
                self.handle_event(now, instance, event, reply);
            }
            InstanceRecord::AttemptEnded(ended, report) => {
                let ended = AttemptEnded {
                    report: &report,
                    ..ended
                };
                self.handle_event(now, instance, Event::AttemptEnded(ended), reply);
            }
            InstanceRecord::ProbeEnded(engine, outcome, report) => {
                let event = Event::ProbeEnded {
                    engine,
                    outcome,
                    report: &report,
                };
                self.handle_event(now, instance, event, reply);
            }
            InstanceRecord::Event(event) => self.handle_event(now, instance, event, reply),
            InstanceRecord::Ignored => {}
        }
        Ok(())
    }

    fn start(&mut self, instance: u16, seed: u64, settings: &[u8], reply: &mut Reply) {
        match parse_settings(settings) {
            Ok(settings) => {
                let controller = Controller::new(settings, seed);
                self.instances.insert(instance, controller);
            }
            Err(error) => reply.push_failure(instance, &error.to_string()),
        }
    }

    /// Passes an event to an instance's controller. Events for instances that are not running are ignored.
    fn handle_event(&mut self, now: u64, instance: u16, event: Event, reply: &mut Reply) {
        let Some(controller) = self.instances.get_mut(&instance) else {
            return;
        };
        self.actions.clear();
        let actions = &mut self.actions;
        // A controller that panicked may be inconsistent, so it is removed below.
        let handled = catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions)));
        match handled {
            Ok(()) => {
                for action in &self.actions {
                    reply.push_action(instance, action);
                }
            }
            Err(panic) => {
                self.instances.remove(&instance);
                reply.push_failure(instance, &panic_message(&*panic));
            }
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let owned = panic.downcast_ref::<String>().cloned();
    let message = owned.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    message.unwrap_or_else(|| "panic in the decision code".into())
}
