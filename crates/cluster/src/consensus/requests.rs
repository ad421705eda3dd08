//! This member's own requests, and the leases that it holds.
//!
//! Requests are sent one at a time, since the lease table remembers only an owner's last request. The others are queued.
//!
//! | request | next step |
//! | --- | --- |
//! | queued | it is sent once all earlier requests have their outcome |
//! | sent | its outcome is reported; without one within `RETRY_INTERVAL` it is sent again |
//! | queued, timed out | it is dropped, and reported as timed out |
//! | sent, timed out | it is reported as timed out, but stays until its outcome arrives, since the lease may still be granted. The lease is then released |

use super::leases::{Command, Outcome, RequestId};
use super::view::Counters;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Most queued requests.
const MAX_REQUESTS: usize = 64;
/// A request is sent again after this long without an outcome.
const RETRY_INTERVAL: Micros = 300_000;
/// The holder does not use the last part of a lease, to allow for clock drift: 1/20 of its duration and [`CLOCK_MARGIN`].
const CLOCK_DRIFT_DIVISOR: Micros = 20;
/// See [`CLOCK_DRIFT_DIVISOR`].
const CLOCK_MARGIN: Micros = 100_000;

/// Why a request has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No outcome arrived in time. A lease may still be granted; it is then released.
    TimedOut,
    /// Too many requests are queued already.
    TooManyPending,
}

/// A completed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    /// The request's number.
    pub number: u64,
    /// Its outcome.
    pub result: Result<Outcome, RequestError>,
}

/// A lease that this member holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The resource.
    pub resource: String,
    /// How much of it.
    pub amount: u32,
    /// The end of its use, by the host's clock.
    pub until: Micros,
}

/// A request without an outcome yet.
#[derive(Clone)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) command: Command,
    /// When it was first sent, by the host's clock. The lease's duration counts from then.
    sent_at: Option<Micros>,
    /// When it times out, by the host's clock.
    deadline: Micros,
    has_timed_out: bool,
    /// When it is sent again, in local time.
    next_send: Micros,
    /// Whether its outcome is reported to a caller.
    is_reported: bool,
}

/// All requests of this member, and all leases that it holds.
pub(super) struct Requests {
    /// The session of this process.
    pub(super) session: u64,
    last_number: u64,
    queue: VecDeque<Request>,
    reported: VecDeque<CompletedRequest>,
    held: BTreeMap<u64, HeldLease>,
}

impl Requests {
    pub(super) fn new(session: u64) -> Requests {
        Requests {
            session,
            last_number: 0,
            queue: VecDeque::new(),
            reported: VecDeque::new(),
            held: BTreeMap::new(),
        }
    }

    /// Queues a request whose outcome is reported within `timeout`; returns its number.
    pub(super) fn submit(
        &mut self,
        clock: Micros,
        command: Command,
        timeout: Micros,
        counters: &mut Counters,
    ) -> u64 {
        let (number, is_queued) = self.enqueue(clock.saturating_add(timeout), command, true);
        if !is_queued {
            counters.rejected += 1;
            self.report(number, Err(RequestError::TooManyPending));
        }
        number
    }

    /// Queues a request without a timeout whose outcome is not reported.
    fn submit_unreported(&mut self, command: Command, counters: &mut Counters) {
        let (_, is_queued) = self.enqueue(Micros::MAX, command, false);
        counters.rejected += u64::from(!is_queued);
    }

    /// Queues a request; returns its number, and whether there was room for it.
    fn enqueue(&mut self, deadline: Micros, command: Command, is_reported: bool) -> (u64, bool) {
        self.last_number += 1;
        let number = self.last_number;
        let has_room = self.queue.len() < MAX_REQUESTS;
        if has_room {
            self.queue.push_back(Request {
                id: RequestId {
                    session: self.session,
                    number,
                },
                command,
                sent_at: None,
                deadline,
                has_timed_out: false,
                next_send: 0,
                is_reported,
            });
        }
        (number, has_room)
    }

    fn report(&mut self, number: u64, result: Result<Outcome, RequestError>) {
        self.reported.push_back(CompletedRequest { number, result });
    }

    /// The next completed request: its outcome is known, or it timed out.
    pub(super) fn next_reported(&mut self) -> Option<CompletedRequest> {
        self.reported.pop_front()
    }

    /// All leases that this member holds, by fencing number.
    pub(super) fn held(&self) -> &BTreeMap<u64, HeldLease> {
        &self.held
    }

    /// Whether a lease is held at `clock` of the host's clock.
    pub(super) fn holds(&self, fence: u64, clock: Micros) -> bool {
        self.held
            .get(&fence)
            .is_some_and(|lease| clock < lease.until)
    }

    /// Stops using a lease at once, and requests its release.
    pub(super) fn release(&mut self, fence: u64, counters: &mut Counters) {
        if self.held.remove(&fence).is_some() {
            self.submit_unreported(Command::Release { fence }, counters);
        }
    }

    /// Handles that the host's clock was set back. The ends of leases are unknown now, so that all held leases are dropped and
    /// a lease granted for a request in flight will be released.
    pub(super) fn handle_clock_set_back(&mut self, counters: &mut Counters) {
        counters.clock_set_back += 1;
        counters.ended += self.held.len() as u64;
        self.held.clear();
        for request in &mut self.queue {
            request.has_timed_out |= request.sent_at.is_some();
        }
    }

    /// Drops leases that have ended by the host's clock.
    pub(super) fn drop_ended(&mut self, clock: Micros, counters: &mut Counters) {
        let before = self.held.len();
        self.held.retain(|_, lease| clock < lease.until);
        counters.ended += (before - self.held.len()) as u64;
    }

    /// Reports requests that have timed out, including queued ones.
    pub(super) fn report_timed_out(&mut self, clock: Micros, counters: &mut Counters) {
        let mut timed_out = Vec::new();
        self.queue.retain_mut(|request| {
            if clock > request.deadline && !request.has_timed_out {
                request.has_timed_out = true;
                timed_out.push(request.id.number);
            }
            // A request that was never sent can be dropped.
            !(request.has_timed_out && request.sent_at.is_none())
        });
        for number in timed_out {
            counters.timed_out += 1;
            self.report(number, Err(RequestError::TimedOut));
        }
    }

    /// The first request, if it is due to be sent now, for the first time or again.
    pub(super) fn next_to_send(
        &mut self,
        now: Micros,
        clock: Micros,
        counters: &mut Counters,
    ) -> Option<Request> {
        let request = self.queue.front_mut().filter(|r| now >= r.next_send)?;
        request.next_send = now + RETRY_INTERVAL;
        if request.sent_at.is_none() {
            counters.requests_sent += 1;
            request.sent_at = Some(clock);
        }
        Some(request.clone())
    }

    /// The request in flight, if it has this number, to be sent to another member at once. Each redirect costs one datagram
    /// round trip, so that a redirect loop is slow and cheap.
    pub(super) fn redirect(&mut self, now: Micros, number: u64) -> Option<Request> {
        let request = self.queue.front_mut().filter(|r| r.id.number == number)?;
        request.next_send = now + RETRY_INTERVAL;
        Some(request.clone())
    }

    /// Completes the request in flight with its outcome.
    pub(super) fn complete(
        &mut self,
        clock: Micros,
        number: u64,
        outcome: Outcome,
        counters: &mut Counters,
    ) {
        if self.queue.front().is_none_or(|r| r.id.number != number) {
            return;
        }
        let Some(request) = self.queue.pop_front() else {
            return;
        };
        self.update_held(clock, &request, &outcome, counters);
        if request.is_reported && !request.has_timed_out {
            self.report(number, Ok(outcome));
        }
    }

    fn update_held(
        &mut self,
        clock: Micros,
        request: &Request,
        outcome: &Outcome,
        counters: &mut Counters,
    ) {
        let sent_at = request.sent_at.unwrap_or(clock);
        match (outcome, &request.command) {
            (
                Outcome::Granted { fence },
                Command::Acquire {
                    resource,
                    amount,
                    duration,
                    ..
                },
            ) => {
                counters.granted += 1;
                if request.has_timed_out {
                    counters.released_late += 1;
                    self.submit_unreported(Command::Release { fence: *fence }, counters);
                } else {
                    let lease = HeldLease {
                        resource: resource.clone(),
                        amount: *amount,
                        until: sent_at + usable_duration(*duration),
                    };
                    self.held.insert(*fence, lease);
                }
            }
            (Outcome::Renewed, Command::Renew { fence, duration }) => {
                if let Some(lease) = self.held.get_mut(fence) {
                    lease.until = lease.until.max(sent_at + usable_duration(*duration));
                }
            }
            (Outcome::NotOwner, Command::Renew { fence, .. }) => {
                self.held.remove(fence);
            }
            _ => {}
        }
    }
}

/// How long a holder may use a lease of this duration, counted from when the request was first sent.
fn usable_duration(duration: Micros) -> Micros {
    (duration - duration / CLOCK_DRIFT_DIVISOR).saturating_sub(CLOCK_MARGIN)
}
