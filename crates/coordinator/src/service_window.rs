//! Service statistics of the last minute and hour: ring buffers of counts and latency histograms, whose memory does not depend on
//! the traffic.

use driftfront_control::snapshot::Service;
use driftfront_core::Micros;
use hdrhistogram::Histogram;

const MINUTE_SLOTS: usize = 12;
const MINUTE_SLOT_MICROS: Micros = 5_000_000;
const HOUR_SLOTS: usize = 60;
const HOUR_SLOT_MICROS: Micros = 60_000_000;
/// Resolution of the histograms. With [`MAX_LATENCY_STEPS`] and two digits, a slot takes at most about 7 KB.
const LATENCY_STEP_MICROS: Micros = 100;
/// Latencies above this many steps, two minutes, are recorded as this value.
const MAX_LATENCY_STEPS: u64 = 1_200_000;
const LATENCY_DIGITS: u8 = 2;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Served,
    /// It was rejected.
    Rejected,
    /// It failed, before or after part of the result was sent.
    Failed,
    /// Its client disconnected or withdrew it.
    ClientDisconnected,
}

const OUTCOME_COUNT: usize = 4;

/// Statistics of the requests that ended within one interval.
#[derive(Clone)]
struct Slot {
    /// Number of the interval: its time since the epoch divided by the slot length.
    number: u64,
    /// Number of requests by outcome.
    counts: [u64; OUTCOME_COUNT],
    /// Requests served within the latency objective.
    in_time: u64,
    /// Latencies of served requests; allocated with the first one.
    latencies: Option<Histogram<u32>>,
}

impl Slot {
    fn new(number: u64, latencies: Option<Histogram<u32>>) -> Slot {
        Slot {
            number,
            counts: [0; OUTCOME_COUNT],
            in_time: 0,
            latencies,
        }
    }

    /// Clears the slot for another interval, reusing the histogram's memory.
    fn reset(&mut self, number: u64) {
        let mut latencies = self.latencies.take();
        if let Some(latencies) = &mut latencies {
            latencies.reset();
        }
        *self = Slot::new(number, latencies);
    }
}

/// Service statistics of the last minute or hour.
#[derive(Clone)]
pub struct ServiceWindow {
    slots: Vec<Slot>,
    slot_micros: Micros,
}

impl ServiceWindow {
    /// A window of the last minute.
    pub fn minute() -> ServiceWindow {
        ServiceWindow::new(MINUTE_SLOTS, MINUTE_SLOT_MICROS)
    }

    /// A window of the last hour.
    pub fn hour() -> ServiceWindow {
        ServiceWindow::new(HOUR_SLOTS, HOUR_SLOT_MICROS)
    }

    fn new(slots: usize, slot_micros: Micros) -> ServiceWindow {
        ServiceWindow {
            slots: vec![Slot::new(u64::MAX, None); slots],
            slot_micros,
        }
    }

    /// Records a request that has ended.
    pub fn add(
        &mut self,
        now: Micros,
        outcome: RequestOutcome,
        latency: Micros,
        latency_objective: Micros,
    ) {
        let number = now / self.slot_micros;
        #[allow(clippy::cast_possible_truncation, reason = "below the slots' number")]
        let index = (number % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[index];
        if slot.number != number {
            slot.reset(number);
        }
        slot.counts[outcome as usize] += 1;
        if outcome == RequestOutcome::Served {
            slot.in_time += u64::from(latency <= latency_objective);
            let steps = (latency / LATENCY_STEP_MICROS).clamp(1, MAX_LATENCY_STEPS);
            let latencies = slot.latencies.get_or_insert_with(new_histogram);
            latencies.saturating_record(steps);
        }
    }

    /// Totals and latency quantiles over the window.
    pub fn sum(&self, now: Micros) -> Service {
        let newest = now / self.slot_micros;
        let oldest = (newest + 1).saturating_sub(self.slots.len() as u64);
        let mut sum = Service::default();
        let mut latencies = new_histogram();
        let slots = self.slots.iter();
        for slot in slots.filter(|slot| (oldest..=newest).contains(&slot.number)) {
            sum.asked += slot.counts.iter().sum::<u64>();
            sum.served += slot.counts[RequestOutcome::Served as usize];
            sum.refused += slot.counts[RequestOutcome::Rejected as usize];
            sum.failed += slot.counts[RequestOutcome::Failed as usize];
            sum.in_time += slot.in_time;
            if let Some(of_slot) = &slot.latencies {
                let _ = latencies.add(of_slot);
            }
        }
        if sum.served > 0 {
            sum.p50_ms = quantile_millis(&latencies, 0.5);
            sum.p99_ms = quantile_millis(&latencies, 0.99);
        }
        sum
    }

    /// Memory used by the histograms in bytes.
    pub fn bytes(&self) -> usize {
        self.slots
            .iter()
            .filter_map(|slot| slot.latencies.as_ref())
            .map(|latencies| latencies.distinct_values() * std::mem::size_of::<u32>())
            .sum()
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_STEPS, LATENCY_DIGITS).expect("a fixed, valid range")
}

fn quantile_millis(latencies: &Histogram<u32>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 * LATENCY_STEP_MICROS as f64 / 1000.0
}
