//! The clients' names of requests: those that are open, and those that may still run or have run although their client has left.
//!
//! Engines identify queries by name, and a name that comes again must not run twice. A client that got its answer may use a name
//! again.

use crate::attempt::Progress;
use crate::request::{Request, RequestId, SettledOutcome};
use crate::Core;
use driftfront_scheduler::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Time beyond a departed client's deadline for which the name of its request is remembered.
const REMEMBERED_AFTER_DEADLINE: Micros = 2_000_000;

/// The names in use.
pub(crate) struct RequestNames {
    open: BTreeMap<Rc<str>, RequestId>,
    /// Closed requests that are not settled. Where several have the same name, at most the last one was sent.
    unsettled: BTreeMap<Rc<str>, RequestId>,
    /// Names of settled requests that may have run and whose client left without an answer, with the time until which each is
    /// remembered.
    departed: BTreeMap<Rc<str>, Micros>,
    /// The names in `departed`, oldest first.
    departed_order: VecDeque<Rc<str>>,
    max_departed: usize,
}

impl RequestNames {
    /// Creates an empty set that remembers at most `max_departed` names of departed clients.
    pub(crate) fn new(max_departed: usize) -> RequestNames {
        RequestNames {
            open: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            departed: BTreeMap::new(),
            departed_order: VecDeque::new(),
            max_departed,
        }
    }

    /// The open request with this name.
    pub(crate) fn open(&self, name: &str) -> Option<RequestId> {
        self.open.get(name).copied()
    }

    /// Adds an open request.
    pub(crate) fn add(&mut self, name: Rc<str>, id: RequestId) {
        self.open.insert(name, id);
    }

    /// Records that a request is closed but not settled.
    pub(crate) fn close(&mut self, name: &Rc<str>, id: RequestId) {
        if self.open.get(name) == Some(&id) {
            self.open.remove(name);
            self.unsettled.insert(name.clone(), id);
        }
    }

    /// Records that a request is settled, and remembers its name until `remember_until` if that is given.
    pub(crate) fn settle(&mut self, name: &Rc<str>, id: RequestId, remember_until: Option<Micros>) {
        if self.unsettled.get(name) == Some(&id) {
            self.unsettled.remove(name);
        }
        let Some(until) = remember_until.filter(|_| self.max_departed > 0) else {
            return;
        };
        if self.departed_order.len() >= self.max_departed {
            self.forget_oldest();
        }
        if self.departed.insert(name.clone(), until).is_none() {
            self.departed_order.push_back(name.clone());
        }
    }

    /// Whether a departed client's request with this name may have run.
    fn is_departed(&self, now: Micros, name: &str) -> bool {
        self.departed.get(name).is_some_and(|&until| until > now)
    }

    fn forget_oldest(&mut self) {
        if let Some(name) = self.departed_order.pop_front() {
            self.departed.remove(&name);
        }
    }
}

impl Core {
    /// Whether a request with this name is open, may still run, or may have run for a client that left without its answer.
    pub fn is_name_used(&self, now: Micros, name: &str) -> bool {
        let unsettled = self.names.unsettled.get(name);
        let unsettled = unsettled.and_then(|id| self.requests.get(id));
        self.names.open(name).is_some()
            || unsettled.is_some_and(may_be_sent)
            || self.names.is_departed(now, name)
    }

    /// Records the name of a request that is settled now.
    pub(crate) fn settle_name(&mut self, id: RequestId, request: &Request) {
        let may_have_run = request.settled_outcome() != SettledOutcome::NeverRan;
        let remembered_until = request.deadline.saturating_add(REMEMBERED_AFTER_DEADLINE);
        let is_remembered = request.has_client_left && may_have_run;
        let remember_until = is_remembered.then_some(remembered_until);
        self.names.settle(&request.parsed.name, id, remember_until);
    }
}

/// Whether an attempt of a closed request may have been written: one that had no connection is not written any more.
fn may_be_sent(request: &Request) -> bool {
    let in_flight = request.in_flight();
    let may_be_written = in_flight.is_some_and(|(_, a)| a.progress > Progress::NotConnected);
    may_be_written || request.settled_outcome() != SettledOutcome::NeverRan
}
