//! How well was served over the last minute and hour, in rings of histograms: bounded, whatever the traffic.

use driftfront_control::snapshot::Service;
use driftfront_core::Micros;
use hdrhistogram::Histogram;

/// Slots of the minute's ring, and how long each is.
const MINUTE: (usize, Micros) = (12, 5_000_000);
/// Slots of the hour's ring.
const HOUR: (usize, Micros) = (60, 60_000_000);
/// Times are counted in steps of 100 µs, up to two minutes, to two digits: some 7 KB a slot at most.
const STEP: Micros = 100;
const MOST: u64 = 1_200_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed, before or behind some rows.
    Failed,
    /// Its client left.
    Left,
}

#[derive(Clone)]
struct Slot {
    /// Which stretch of time it is for.
    number: u64,
    counts: [u64; 4],
    in_time: u64,
    times: Option<Histogram<u32>>,
}

/// A ring of slots.
#[derive(Clone)]
pub struct ServiceWindow {
    slots: Vec<Slot>,
    length: Micros,
}

impl ServiceWindow {
    /// One for the last minute.
    pub fn minute() -> ServiceWindow {
        ServiceWindow::new(MINUTE)
    }
    /// One for the last hour.
    pub fn hour() -> ServiceWindow {
        ServiceWindow::new(HOUR)
    }
    fn new((count, length): (usize, Micros)) -> ServiceWindow {
        let slot = Slot {
            number: u64::MAX,
            counts: [0; 4],
            in_time: 0,
            times: None,
        };
        ServiceWindow {
            slots: vec![slot; count],
            length,
        }
    }

    /// A request has ended.
    pub fn add(&mut self, now: Micros, end: RequestOutcome, took: Micros, wanted: Micros) {
        let number = now / self.length;
        let at = (number % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[at];
        if slot.number != number {
            // Its histogram's memory serves again.
            let mut times = slot.times.take();
            if let Some(t) = &mut times {
                t.reset();
            }
            *slot = Slot {
                number,
                counts: [0; 4],
                in_time: 0,
                times,
            };
        }
        slot.counts[end as usize] += 1;
        if end == RequestOutcome::Served {
            slot.in_time += u64::from(took <= wanted);
            let times = slot
                .times
                .get_or_insert_with(|| Histogram::new_with_max(MOST, 2).expect("a fixed range"));
            times.saturating_record((took / STEP).clamp(1, MOST));
        }
    }

    /// All of the ring's time.
    pub fn sum(&self, now: Micros) -> Service {
        let newest = now / self.length;
        let oldest = (newest + 1).saturating_sub(self.slots.len() as u64);
        let mut sum = Service::default();
        let mut times: Histogram<u32> = Histogram::new_with_max(MOST, 2).expect("a fixed range");
        for slot in self
            .slots
            .iter()
            .filter(|s| (oldest..=newest).contains(&s.number))
        {
            sum.asked += slot.counts.iter().sum::<u64>();
            sum.served += slot.counts[RequestOutcome::Served as usize];
            sum.refused += slot.counts[RequestOutcome::Refused as usize];
            sum.failed += slot.counts[RequestOutcome::Failed as usize];
            sum.in_time += slot.in_time;
            if let Some(t) = &slot.times {
                let _ = times.add(t);
            }
        }
        if sum.served > 0 {
            let ms = |q: f64| times.value_at_quantile(q) as f64 * STEP as f64 / 1000.0;
            (sum.p50_ms, sum.p99_ms) = (ms(0.5), ms(0.99));
        }
        sum
    }

    /// Bytes that its histograms hold.
    pub fn bytes(&self) -> usize {
        self.slots
            .iter()
            .filter_map(|s| s.times.as_ref())
            .map(|t| t.distinct_values() * 4)
            .sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_ring_forgets_what_is_older_than_its_time_and_keeps_the_rest() {
        let mut ring = ServiceWindow::minute();
        for n in 0..600 {
            // One each second; every fourth late, every tenth refused.
            let end = if n % 10 == 9 {
                RequestOutcome::Refused
            } else {
                RequestOutcome::Served
            };
            ring.add(
                n * 1_000_000,
                end,
                if n % 4 == 0 { 900_000 } else { 20_000 },
                500_000,
            );
        }
        let sum = ring.sum(599_000_000);
        assert_eq!((sum.asked, sum.refused), (60, 6));
        assert!(sum.in_time < sum.served && sum.p50_ms >= 19.0 && sum.p50_ms <= 21.0);
        assert!((880.0..=920.0).contains(&sum.p99_ms), "{}", sum.p99_ms);
        assert_eq!(ring.sum(900_000_000).asked, 0);
        // A clock that is set back finds only what is of its own time.
        assert!(ring.sum(580_000_000).asked <= 60);
    }

    #[test]
    fn an_hour_s_memory_is_bounded_whatever_the_traffic() {
        let mut ring = ServiceWindow::hour();
        for n in 0..100_000u64 {
            ring.add(
                n * 72_000,
                RequestOutcome::Served,
                n * 7919 % 130_000_000,
                1,
            );
        }
        assert!(ring.bytes() < 60 * 8 * 1024, "{}", ring.bytes());
    }
}
