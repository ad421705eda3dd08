//! The decisions. Vocabulary: `src/interface.rs`; plain records: `src/state.rs`.
//! Ordinary path (QIDMaC): a query joins the engine whose queue gains most estimated worth-within-aim
//! from it; among equals with little to drain, table-group sharing with queue neighbours decides.

use crate::interface::*;
use crate::retry_budget::RetryWindow;
use crate::state::*;
use std::collections::BTreeMap;

const DRAIN_GUARD: f64 = 0.5; // Algorithm 5's c: interaction breaks ties up to (1 + c) x the shortest drain.
const GAIN_TOLERANCE: f64 = 1e-6; // Gains this close are equal: worths are float sums, and most tie.
const DRAIN_FLOOR: f64 = 4_000.0; // Drains under this many µs are alike: no client notices.
const BOUND_THREADS: f64 = 1.2; // Threads a core under pressure, over the whole fleet; past it less is done.
const PART_THREADS: f64 = 2.2; // ... and in a gateway's part of one engine, plus one widest query.
const LIGHT: f64 = 1.0; // Light queries may pass an engine's bound by so many widest ones.
const LOOSE: f64 = 2.0; // The bound without pressure, as a multiple: lets bursts through, but no flood.
const BUSY: f64 = 0.88; // Cores busier than this, or runs this much longer than alone, mean pressure.
const SLOW: f64 = 2.0;
const BRIM: f64 = 0.97; // Memory granted past this is all of it: reports are noisy and stop at the whole.
const FULL_FOR: Micros = 1_000_000; // Pressure for this long after a turned-away query: a report period.
const REPORT_LIFE: Micros = 3_000_000; // An older report says nothing: the engine counts as average.
const BLEND: f64 = 0.1; // Weight of a new sample: some ten answers form a belief.
const CLIP: f64 = 6.0; // A sample counts at most this many times the belief: outliers must not set it.
const FORGET: f64 = 4e6; // A slow engine's belief halves towards normal in this time unheard: the way back.
const PRIOR: f64 = 0.25; // Class work before the first answer: this share of the aim, on all its threads.
const OVERRUN: f64 = 3.5; // An attempt pointing to this many times its expected run is a bad plan or host ...
const OVERRUN_AFTER: f64 = 400_000.0; // ... once out for this long: earlier, notes are too rough.
const SILENCE: f64 = 1_600_000.0; // No word for this long with work out is silence: longer than short stalls.
const SHUT: Micros = 400_000; // A failed engine rests this long, doubled up to 16-fold: covers a restart.
const ERRING: f64 = 3.0; // A sliver's engine that errs counts as so much slower: it is met too seldom.
const MOSTLY: f64 = 0.5; // An engine on trial stays so while more of its last answers than this were errors.
const LOST: usize = 2; // Engines of a zone lost with no word from any there: the zone is, until one answers.
const ERRORS: usize = 2; // Engines that answer a query with an error before the fault is taken for its own.
const ANSWER_MARGIN: Micros = 10_000; // Final answers leave this long, and two ticks, to the client.
const TICK: Micros = 50_000; // housekeeping: health, overruns, slipped starts
const TELL_EVERY: Micros = 1_000_000; // Peers are told this often; after three periods unheard, halved.
const TELLS: f64 = 0.5; // Messages that each query taken pays for, so that they don't grow with the peers.
const PROBE_SPEND: f64 = 0.001; // Share of the result spent on probes, at most; tenfold where nothing else
const PROBE_MOST: f64 = 1.0; // brings reports to few gateways. Probes a query: at most so many.
const CROWD: [usize; 2] = [2, 5]; // Crowded: one in so many heard is pressed; the latter if none heals soon.
const POOLED: f64 = 1.8; // A sliver's bound over the fleet, as a multiple; squared when unpressed.
const ALONE: f64 = 0.12; // Others that hold less than this part of one's own each are down, not quiet.
const SHARE_BLEND: f64 = 0.03; // Weight of one tick in the share: some two seconds.
const WORTHWHILE: f64 = 0.5; // A late run that earns under this part of what new work would is ended.
const DRAWN: usize = 2; // Engines drawn at random where many choose from stale views: two break the herd.
const CIRCLE: usize = 10; // Engines a sliver draws from: few, so that connections and beliefs last.
const HOMES: usize = 2; // Engines where, by common reckoning, a table group's queries meet: few stay warm.
const LOOK_AGAIN: usize = 12; // Queued queries looked at again per tick, so that cost stays bounded.
const SLIP: f64 = 150_000.0; // A start later by this much than estimated has slipped.
const ADVICE: Micros = 100_000; // Shortest retry advice.
const SPARE: f64 = 1.6; // Memory granted over the need: a spill costs more than a little idle memory.
const ROOMY: f64 = 2.0; // more so where nothing presses or only use counts
const CORES: f64 = 8.0; // Cores where none are told; only the run bound and cold budget rest on it.
const TICK_TOKEN: u64 = 0; // Token of the housekeeping wake-up; others are query ids + 1.
const QUOTA_SPAN: f64 = 2.0; // A tenant's quota may be used ahead by this many seconds: ordinary bursts.
const QUOTA_LEAST: f64 = 8.0; // ... and by this many queries: a small part of a quota comes in bursts.
const DEMAND_BLEND: f64 = 0.01; // Weight of one tick in the smoothed demand: some five seconds.
const LOG_EVERY: Micros = 1_000_000; // At most one log line in this time.

/// Decides for one gateway.
pub struct Controller {
    pub(crate) cfg: Settings,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) jobs: BTreeMap<QueryId, Job>,
    pub(crate) lanes: BTreeMap<u64, Lane>,
    random: Random,
    pub(crate) salt: u64,
    pub(crate) learned: Vec<Learned>,
    quotas: Vec<Bucket>,
    peers: BTreeMap<u32, Peer>,
    pub(crate) retries: RetryWindow,
    /// The host asks right before each attempt's first byte.
    pub(crate) awaits_first_bytes: bool,
    pub(crate) tally: Tally,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let (engines, jobs, lanes, peers, retries) = Default::default();
        let guess = |c: &QueryClass| Learned {
            work: PRIOR * c.latency_objective as f64 * c.threads,
            ..Learned::default()
        };
        let learned = cfg.classes.iter().map(guess).collect();
        let quotas = vec![Bucket::default(); cfg.tenants.len()];
        let share = 1.0 / f64::from(cfg.coordinators.max(1));
        let (random, tally) = (
            Random(seed),
            Tally {
                share,
                pace: 1.0,
                ..Tally::default()
            },
        );
        let awaits_first_bytes = false;
        Controller {
            cfg,
            engines,
            jobs,
            lanes,
            random,
            salt: seed,
            learned,
            quotas,
            peers,
            retries,
            awaits_first_bytes,
            tally,
        }
    }

    /// Handles one event; what is to be done is appended to `act`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, act: &mut Actions) {
        if !std::mem::replace(&mut self.tally.ticking, true) {
            act.push(Action::SetTimer(TICK, TICK_TOKEN));
            if self.cfg.poll_discovery {
                self.ask(now, act);
            }
        }
        match event {
            Event::EnginesListed(kind, list) => self.on_list(now, kind, list, act),
            Event::DiscoveryFailed => {
                // Asking again at once would feed the overload that made it fail.
                self.tally.next_ask = Some(now + (SHUT << self.tally.asks_failed.min(4)));
                self.tally.asks_failed += 1;
            }
            Event::QueryArrived(query) => self.on_arrival(now, query, act),
            Event::StreamStarted(id, n) => {
                act.extend(self.record_stream(now, id, n, self.cfg.may_cancel))
            }
            Event::ProgressReported(id, attempt, note) => self.on_note(now, id, attempt, note),
            Event::AttemptEnded(end) => self.on_end(now, &end, act),
            Event::ClientLeft(id) => self.conclude(now, id, act),
            Event::TimerFired(TICK_TOKEN) => self.on_tick(now, act),
            Event::TimerFired(token) => self.give_up(now, QueryId(token - 1), act),
            Event::ProbeEnded(id, outcome, report) => self.on_probe(now, id, outcome, report, act),
            Event::GossipReceived(from, bytes) => self.on_message(now, from, bytes),
        }
    }

    /// Estimated work: told cost corrected by outcomes, else the class mean.
    pub(crate) fn work(&self, id: QueryId) -> f64 {
        let q = &self.jobs[&id].query;
        let told = q
            .work
            .map(|w| w * self.learned[usize::from(q.class)].correction);
        told.unwrap_or(self.learned[usize::from(q.class)].work)
            .max(1.0)
    }

    /// Full worth by the aim, the late share by the deadline, else nothing.
    fn value(&self, id: QueryId, finish: f64) -> f64 {
        let late = if finish <= self.jobs[&id].deadline as f64 {
            self.class(id).late_weight
        } else {
            0.0
        };
        self.priority_weight(id)
            * if finish <= self.latency_objective(id) {
                1.0
            } else {
                late
            }
    }

    /// This gateway's part of the fleet: its demand over all, taking the peers lately heard as a sample.
    fn learn_share(&self, now: Micros) -> f64 {
        let n = f64::from(self.cfg.coordinators.max(1));
        if self.peers.is_empty() || self.tally.demand <= 0.0 {
            let share = self.reported_share(now).unwrap_or(1.0 / n);
            return self.tally.share + SHARE_BLEND * (share - self.tally.share);
        }
        let told: f64 = self
            .peers
            .values()
            .map(|p| p.demand * freshness(now, p.at))
            .sum();
        let heard: f64 = self.peers.values().map(|p| freshness(now, p.at)).sum();
        let own = self.tally.demand;
        if self.sliver() {
            // Those heard are a sample; few queries tell little of one's own part: half of it is the mean's.
            return (0.5 * own / (own + told / (heard + 1e-9) * (n - 1.0))) + 0.5 / n;
        }
        (own / (own + told + (n - 1.0 - self.peers.len() as f64).max(0.0) * own)).max(0.5 / n)
    }

    /// Own part of the queries that engines report, where it says that other gateways are down.
    fn reported_share(&self, now: Micros) -> Option<f64> {
        let active = |e: &Engine| self.fresh(now, e)?.active;
        let each = self
            .ready()
            .filter_map(|e| Some((e.out.len() as f64, active(e)?)));
        let (own, all) = each.fold((0.0, 0.0), |sum, (own, active)| {
            (sum.0 + own, sum.1 + own.max(active))
        });
        let others = f64::from(self.cfg.coordinators) - 1.0;
        (!self.sliver() && all - own < ALONE * own * others).then_some(own / all)
    }

    pub(crate) fn cores(&self, e: &Engine) -> f64 {
        let known = self
            .cfg
            .kinds
            .get(usize::from(e.kind))
            .and_then(|k| k.cores);
        known
            .or_else(|| self.cfg.kinds.iter().find_map(|k| k.cores))
            .unwrap_or(CORES)
    }

    fn fresh<'a>(&self, now: Micros, e: &'a Engine) -> Option<&'a Report> {
        e.report.as_ref().filter(|r| now < r.at + REPORT_LIFE)
    }

    /// Pressure: a busy report, or one of more queries than the bound has threads for; runs far longer than
    /// alone; work turned away.
    fn pressed(&self, now: Micros, e: &Engine) -> bool {
        let busy = self.fresh(now, e).is_some_and(|r| {
            let threads = r.active.unwrap_or(0.0) * self.mean_work() / self.mean_run();
            [r.busy, r.memory, r.disk]
                .iter()
                .flatten()
                .any(|&x| x > BUSY)
                || r.waiting.unwrap_or(0.0) >= 1.0
                || threads > self.bound_threads() * self.cores(e)
        });
        busy || e.slow > SLOW || e.full_at.is_some_and(|t| now < t + FULL_FOR)
    }

    /// All memory is granted away where one query more slows all: nothing is to start there until a report
    /// says otherwise or is too old. By its idle cores a paging engine would draw all traffic.
    fn brimful(&self, now: Micros, e: &Engine) -> bool {
        let told = self.fresh(now, e).and_then(|r| r.memory);
        self.cfg.out_of_memory == OutOfMemory::Page && told.is_some_and(|m| m >= BRIM)
    }

    /// Whether this gateway's part of an engine is under one thread: then it counts over the whole fleet.
    pub(crate) fn sliver(&self) -> bool {
        let cores = self
            .cfg
            .kinds
            .iter()
            .filter_map(|k| k.cores)
            .reduce(f64::max)
            .unwrap_or(CORES);
        cores * BOUND_THREADS < f64::from(self.cfg.coordinators)
    }

    /// Threads a core that an engine is held to.
    fn bound_threads(&self) -> f64 {
        [PART_THREADS, BOUND_THREADS][usize::from(self.sliver())]
    }

    /// The run bound, own threads that count against it and their work left: those of the engine or, with a
    /// sliver, of the fleet, where one wide query is many times the part.
    fn load(&self, now: Micros, e: &Engine) -> (f64, f64, f64) {
        let widest = self.widest();
        if self.sliver() {
            // What cannot be called off from an engine that pages has to be right when it goes: no slack.
            let slack = match (self.stuck(), self.tally.crowded) {
                (true, true) => (1.0, 0.0),
                (true, false) => (LOOSE, 0.0),
                (false, true) => (POOLED, 0.0),
                (false, false) => (POOLED * POOLED, widest),
            };
            let pool = self.tally.cores * BOUND_THREADS * self.tally.share;
            return (
                pool * slack.0 + slack.1,
                self.tally.running,
                self.tally.left,
            );
        }
        let part = self.cores(e) * self.bound_threads() * self.looseness(now, e) * self.tally.share;
        (
            (part + widest) * self.warmth(now, e),
            e.threads,
            self.left(now, e),
        )
    }

    /// Whether an engine once out of memory stays so, as nothing can be called off.
    fn stuck(&self) -> bool {
        self.cfg.out_of_memory == OutOfMemory::Page && !self.cfg.may_cancel
    }

    /// Threads that must fit under the bound: half its own. Light ones may pass it, as they would miss their
    /// aims behind wide ones that run for seconds. For a sliver they have the slack that is gone.
    fn needs(&self, work: f64, threads: f64) -> f64 {
        let pass = !self.sliver() || self.stuck() || self.tally.crowded;
        threads / 2.0
            - if pass && work < self.mean_work() {
                LIGHT * self.widest()
            } else {
                0.0
            }
    }

    fn memory_fits(&self, now: Micros, id: QueryId, e: &Engine) -> bool {
        // A sliver of an engine's memory is less than one query needs: there threads alone are bounded.
        self.sliver()
            || e.granted + self.memory(id)
                <= self.memory_of(e) * self.tally.share * self.looseness(now, e)
    }

    fn looseness(&self, now: Micros, e: &Engine) -> f64 {
        1.0 + (LOOSE - 1.0) * f64::from(u8::from(!self.pressed(now, e)))
    }

    /// Work still to come from what is out on an engine, by expectation or the last note.
    fn left(&self, now: Micros, e: &Engine) -> f64 {
        let left = |(id, t): (QueryId, &Try)| {
            let left = t.projected.unwrap_or(t.expected) - now.saturating_sub(t.sent) as f64;
            // An overrunning query holds up those behind it: count it as no nearer its end.
            left.max(0.2 * t.expected) * self.class(id).threads
        };
        self.outs(e).map(left).sum()
    }

    /// Estimated starts on an engine's queue, and of whatever comes behind it (Eq. 13's est).
    fn starts(&self, now: Micros, e: &Engine, needs: f64) -> Vec<f64> {
        let (bound, running, left) = self.load(now, e);
        let mut at = now as f64;
        if running > 0.0 && (running + needs > bound || !e.queue.is_empty()) {
            at += left / bound.max(running);
        }
        let mut starts = vec![at];
        for slot in &e.queue {
            at += slot.work * e.slow / bound;
            starts.push(at);
        }
        starts
    }

    /// Work that other gateways have on an engine, from its last report and, if they are few, from peers.
    fn reported(&self, now: Micros, e: &Engine) -> Option<f64> {
        let peers = (!self.peers.is_empty() && !self.sliver()).then_some(e.others);
        // Just started and unheard, an engine is empty, not like the rest.
        let empty =
            (self.sliver() && e.report.is_none() && self.warmth(now, e) < 1.0).then_some(0.0);
        let told = self.fresh(now, e).and_then(|r| {
            // The scarcest counts: an engine that pages or waits for its disks has idle cores.
            let scarce = [r.busy, r.memory, r.disk]
                .into_iter()
                .flatten()
                .reduce(f64::max);
            let busy = scarce.map(|b| (b * self.cores(e) - e.threads).max(0.0));
            let active = r.active.map(|a| (a - e.out.len() as f64).max(0.0));
            let running = busy.into_iter().chain(active).reduce(f64::max);
            running.into_iter().chain(r.waiting).reduce(|a, b| a + b)
        });
        Some(peers.into_iter().chain(told.or(empty)).reduce(f64::max)? * self.mean_work() * e.slow)
    }

    /// Algorithm 8: best-balance position for a query in an engine's queue, and its gains.
    fn offer(&self, now: Micros, id: QueryId, engine: EngineId, reported: f64, home: f64) -> Offer {
        let e = &self.engines[&engine];
        let (bound, running, left) = self.load(now, e);
        let needs = self.needs(self.work(id), self.class(id).threads);
        let mut starts = self.starts(now, e, needs);
        let shift = self.work(id) * e.slow / bound;
        let own = self.slot(id);
        let late = |q: &Slot, start: f64| start + q.work / q.threads * e.slow > q.latency_objective;
        let on_time = |q: &Slot, start: f64| {
            if late(q, start) {
                0.0
            } else {
                q.priority_weight
            }
        };
        // loss[j]: worth lost by the queries from j on when they start later by the newcomer's run (Eq. 15).
        let mut loss = vec![0.0; e.queue.len() + 1];
        for (j, q) in e.queue.iter().enumerate().rev() {
            loss[j] = loss[j + 1] + on_time(q, starts[j]) - on_time(q, starts[j] + shift);
        }
        if running + needs <= bound {
            // In front of those that wait for room it has enough.
            starts[0] = now as f64;
        }
        let f = |a: Option<u32>, b: Option<u32>| if a.is_some() && a == b { 1.0 } else { 0.0 };
        let tables = Some(own.tables);
        let mut best = (f64::MIN, 0, 0.0);
        for j in (0..=e.queue.len()).rev() {
            let gain = on_time(&own, starts[j]) - loss[j];
            let before = if j == 0 {
                e.last_group
            } else {
                Some(e.queue[j - 1].tables)
            };
            let after = e.queue.get(j).map(|q| q.tables);
            let interaction = home + f(before, tables) + f(tables, after) - f(before, after);
            let better = gain > best.0 + GAIN_TOLERANCE;
            if better || gain > best.0 - GAIN_TOLERANCE && interaction > best.2 {
                best = (gain.max(best.0), j, interaction);
            }
        }
        let held = if self.sliver() {
            0.0
        } else {
            left / bound.max(running)
        };
        let own_left = (starts[e.queue.len()] - now as f64).max(held);
        let drain =
            own_left + reported / (self.cores(e) * self.bound_threads() * self.warmth(now, e));
        let far = self.cfg.cross_zone_costs && e.zone != self.cfg.zone;
        let (gain, position, interaction) = best;
        Offer {
            engine,
            gain,
            position,
            start: starts[position],
            interaction,
            drain,
            far,
        }
    }

    /// Algorithm 5: top balance gain, then the drain guard, then interaction gain, then a seeded choice.
    fn choose(&mut self, now: Micros, id: QueryId) -> Option<Offer> {
        let mut eligible = self.eligible(now, id);
        let homes = if self.sliver() {
            self.narrow(now, id, &mut eligible)
        } else {
            0
        };
        let heard: Vec<_> = eligible
            .iter()
            .map(|e| self.reported(now, &self.engines[e]))
            .collect();
        let known = heard.iter().flatten().count().max(1) as f64;
        let average = heard.iter().flatten().sum::<f64>() / known;
        let offer = |(n, &e): (usize, _)| {
            let home = f64::from(u8::from(n < homes));
            self.offer(now, id, e, heard[n].unwrap_or(average), home)
        };
        let mut offers: Vec<Offer> = eligible.iter().enumerate().map(offer).collect();
        let top = offers.iter().map(|o| o.gain).fold(f64::MIN, f64::max);
        offers.retain(|o| o.gain >= top - GAIN_TOLERANCE);
        let least = offers
            .iter()
            .map(|o| o.drain)
            .fold(f64::MAX, f64::min)
            .max(DRAIN_FLOOR);
        offers.retain(|o| o.drain <= (1.0 + DRAIN_GUARD) * least);
        let most = offers
            .iter()
            .map(|o| o.interaction)
            .fold(f64::MIN, f64::max);
        offers.retain(|o| o.interaction >= most - GAIN_TOLERANCE);
        // Ours: crossing zones has a price where settings say so; only between full ties.
        if offers.iter().any(|o| !o.far) {
            offers.retain(|o| !o.far);
        }
        let pick = self.random.below(offers.len());
        (!offers.is_empty()).then(|| offers.swap_remove(pick))
    }

    /// A heavy query asks its candidates before it goes, where answers bring no reports; true if it waits.
    fn scout(&mut self, now: Micros, id: QueryId, act: &mut Actions) -> bool {
        let wanted = self.cfg.may_probe && self.cfg.report_on_probe && self.sliver() && self.told();
        if !wanted || self.work(id) < self.mean_work() || self.tally.probes < (HOMES + DRAWN) as f64
        {
            return false;
        }
        let mut asked = self.eligible(now, id);
        self.narrow(now, id, &mut asked);
        let stale = |e: &&EngineId| self.engines[e].report.is_none_or(|r| now > r.at + TICK);
        let due: Vec<EngineId> = asked.iter().filter(stale).copied().collect();
        self.probe(now, &due, act);
        let job = self.jobs.get_mut(&id).expect("arrived");
        (job.asked, job.awaited) = (asked, due);
        !job.awaited.is_empty()
    }

    /// Few engines, where many gateways choose from equally stale views: the homes of the table group, which
    /// all reckon alike, then some at random, against herds.
    fn narrow(&mut self, now: Micros, id: QueryId, eligible: &mut Vec<EngineId>) -> usize {
        // Those asked; else a cold one, here by a chance of its own: a second draw would leave it idle.
        let (asked, warm) = (&self.jobs[&id].asked, |e: &EngineId| {
            self.warmth(now, &self.engines[e]) >= 1.0
        });
        let first = |e: &EngineId| {
            if asked.is_empty() {
                !warm(e)
            } else {
                asked.contains(e)
            }
        };
        if eligible.iter().any(first) {
            eligible.retain(first);
            return 0;
        }
        let tables = u64::from(self.jobs[&id].query.tables);
        let homes = if self.told() {
            HOMES.min(eligible.len())
        } else {
            0
        };
        eligible.sort_by_cached_key(|e| Random(e.0 ^ tables << 48).below(usize::MAX));
        // A home that nobody has heard would take a whole group's queries, however full.
        let heard = |e: &Engine| self.fresh(now, e).is_some();
        eligible[..homes].sort_by_key(|e| !heard(&self.engines[e]));
        let homes = eligible[..homes]
            .iter()
            .filter(|e| heard(&self.engines[e]))
            .count();
        // Each gateway has a circle of its own, the same while its engines are well; large engines take more.
        eligible[homes..].sort_by_cached_key(|e| Random(e.0 ^ self.salt).below(usize::MAX));
        let circle = eligible.len().min(homes + CIRCLE);
        let weights: Vec<_> = eligible[homes..circle]
            .iter()
            .map(|e| self.weight(&self.engines[e]))
            .collect();
        self.random
            .draw_weighted(&mut eligible[homes..circle], &weights, DRAWN);
        eligible.truncate(homes + DRAWN);
        homes
    }

    /// Chance to be drawn: by cores and believed pace, as a mean run fits most aims even on a slow engine.
    pub(crate) fn weight(&self, e: &Engine) -> f64 {
        self.cores(e) / (e.slow / self.tally.pace).max(0.5).powi(2)
    }

    /// Engines that may get a query: allowed by the rules, and healthy if any of those is.
    fn eligible(&self, now: Micros, id: QueryId) -> Vec<EngineId> {
        let job = &self.jobs[&id];
        let c = self.class(id);
        let named = |list: &Option<Vec<u16>>, x: u16| list.as_ref().is_none_or(|l| l.contains(&x));
        let mut allowed: Vec<(EngineId, u8)> = Vec::new();
        for (&eid, e) in &self.engines {
            let placed =
                e.phase == Phase::Ready && named(&c.zones, e.zone) && named(&c.kinds, e.kind);
            let room = !self.brimful(now, e) && self.cold_room(now, id, e);
            let placed = placed && job.query.pin.is_none_or(|p| !p.only || p.engine == eid);
            if !placed || !room || !self.may_send(now, id, e) {
                continue;
            }
            let bad = now < e.shut_until
                || e.on_trial
                    && (!e.out.is_empty() || self.idempotency(id) == Idempotency::NotIdempotent);
            let behind_load =
                (c.load || c.waits_for_loads) && self.holds_group(e, job.query.tables);
            let full = self.sliver() && e.full_at.is_some_and(|t| now < t + FULL_FOR);
            let lost = self
                .tally
                .lost
                .get(&e.zone)
                .is_some_and(|l| l.len() >= LOST);
            let poor = job.avoid.contains(&eid) || behind_load || full || lost;
            allowed.push((eid, u8::from(bad) * 2 + u8::from(poor)));
        }
        // A trouble that shuts every engine must not stop all traffic: then the least bad are eligible.
        let least = allowed.iter().map(|a| a.1).min().unwrap_or(0);
        allowed.retain(|a| a.1 == least);
        // A session's home comes first while it is as well as any.
        if let Some(home) = job
            .query
            .pin
            .filter(|p| allowed.iter().any(|a| a.0 == p.engine))
        {
            allowed.retain(|a| a.0 == home.engine);
        }
        allowed.into_iter().map(|a| a.0).collect()
    }

    /// Rule 2: where a further attempt may go, by effect, what may have run, and what is still out.
    fn may_send(&self, now: Micros, id: QueryId, e: &Engine) -> bool {
        let job = &self.jobs[&id];
        !job.streaming
            && (self.cfg.may_hedge || job.out().next().is_none())
            && self.group_allows(now, id, e)
    }

    fn group_allows(&self, now: Micros, id: QueryId, e: &Engine) -> bool {
        let c = self.class(id);
        let mut ran = self.jobs[&id]
            .tries
            .iter()
            .filter(|t| !t.outcome.is_some_and(Outcome::never_ran));
        let grouped = |t: &Try| match c.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => t.zone == e.zone,
            DeduplicationScope::Cell => t.cell == e.cell,
        };
        let known = |until: Micros| now + 2 * self.cfg.tick < until;
        match self.idempotency(id) {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => ran.next().is_none(),
            Idempotency::WithKey if !self.jobs[&id].query.idempotent_until.is_none_or(known) => {
                false
            }
            Idempotency::WithKey => {
                ran.all(|t| grouped(t) && known(t.sent + c.deduplication_window))
            }
        }
    }

    /// Whether a refusal would be true: nothing may have run, or a repeat does no harm.
    fn may_refuse(&self, id: QueryId) -> bool {
        let clean = self.jobs[&id]
            .tries
            .iter()
            .all(|t| t.outcome.is_some_and(Outcome::never_ran));
        let keyed = self.class(id).deduplication_scope == DeduplicationScope::All
            && self.idempotency(id) == Idempotency::WithKey;
        clean || self.idempotency(id) == Idempotency::Idempotent || keyed
    }

    /// Puts a query on the queue of the engine of Algorithm 5's choice (Algorithm 7), then starts what may.
    fn route(&mut self, now: Micros, id: QueryId, act: &mut Actions) {
        let Some(o) = self.choose(now, id) else {
            return self.place(id, Place::Held);
        };
        let slot = Slot {
            planned: o.start,
            ..self.slot(id)
        };
        let e = self
            .engines
            .get_mut(&o.engine)
            .expect("offers come from known engines");
        e.queue.insert(o.position.min(e.queue.len()), slot);
        self.place(id, Place::Queued(o.engine));
        self.pump(now, o.engine, act);
    }

    /// Starts queries from the front of an engine's queue while the run bound has room.
    fn pump(&mut self, now: Micros, engine: EngineId, act: &mut Actions) {
        while let Some(e) = self.engines.get(&engine) {
            let Some(&Slot {
                id, work, threads, ..
            }) = e.queue.first()
            else {
                return;
            };
            let (bound, running, _) = self.load(now, e);
            let room = running + self.needs(work, threads) <= bound && self.memory_fits(now, id, e);
            if running > 0.0 && !room || e.threads > 0.0 && e.on_trial {
                return;
            }
            self.unqueue(id);
            if !self.eligible(now, id).contains(&engine) {
                // No longer eligible since it was queued: hold; the tick routes it anew.
                self.place(id, Place::Held);
            } else if !self.jobs[&id].tries.is_empty() && !self.budget_left(now) {
                self.give_up(now, id, act);
            } else {
                self.send(now, id, engine, act);
            }
        }
    }

    /// With a sliver room is the fleet's: first to start is what is in time and worth most for its work.
    fn pump_all(&mut self, now: Micros, act: &mut Actions) {
        let late =
            |q: &Slot, e: &Engine| now as f64 + q.work / q.threads * e.slow > q.latency_objective;
        let front = |(&id, e): (&EngineId, &Engine)| {
            e.queue
                .first()
                .map(|q| (late(q, e), q.work / q.priority_weight.max(1e-9), id))
        };
        let mut fronts: Vec<_> = self.engines.iter().filter_map(front).collect();
        fronts.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        fronts.into_iter().for_each(|f| self.pump(now, f.2, act));
    }

    fn send(&mut self, now: Micros, id: QueryId, engine: EngineId, act: &mut Actions) {
        let e = &self.engines[&engine];
        let (expected, weight) = (self.run(id, e), self.cold_weight(id));
        let slow_start = (self.warmth(now, e) < 1.0).then_some(weight);
        let grant = self.memory(id);
        let priority = self.priority(now, id, expected);
        let margin = ANSWER_MARGIN.max(2 * self.cfg.tick);
        if self.cfg.grants || self.cfg.priorities {
            act.push(Action::SetResources(id, self.grant(now, id, e), priority));
        }
        let job = &self.jobs[&id];
        // The time-out is answered before the client gives up.
        act.push(Action::StartAttempt(
            id,
            engine,
            job.deadline.saturating_sub(now + margin / 2).max(1),
        ));
        if !job.tries.is_empty() {
            self.plan_further(now, id, job.tries.len() as u8);
        }
        self.record_send(
            now,
            id,
            Try {
                grant,
                expected,
                ..Try::new(engine, now)
            },
            slow_start,
        );
    }

    /// Grant: the believed need and some to spare, more while there is room; else the engine's own choice.
    fn grant(&self, now: Micros, id: QueryId, e: &Engine) -> f64 {
        // Where memory pages, a grant beyond the need costs nothing: only use counts.
        let pages = self.cfg.out_of_memory == OutOfMemory::Page;
        let need = if self.cfg.grants {
            self.memory(id)
        } else {
            0.0
        };
        let spare = SPARE
            * if pages || !self.pressed(now, e) {
                ROOMY
            } else {
                1.0
            };
        (need * spare).min(self.memory_of(e) * self.cfg.max_grant_share.unwrap_or(1.0))
    }

    /// Priority: short queries first, since they hold an engine least; the lowest for what comes late anyway.
    fn priority(&self, now: Micros, id: QueryId, run: f64) -> u8 {
        let in_time = if self.work(id) < self.mean_work() {
            3
        } else {
            1
        };
        in_time * u8::from(now as f64 + run <= self.latency_objective(id))
    }

    /// Ends a query unserved, at once: a refusal with retry advice where that is true, else a failure.
    fn give_up(&mut self, now: Micros, id: QueryId, act: &mut Actions) {
        if self
            .jobs
            .get(&id)
            .is_none_or(|j| j.streaming || j.place == Place::Done)
        {
            return;
        }
        if self.may_refuse(id) {
            let drain = |e: &Engine| self.starts(now, e, 0.5)[e.queue.len()] - now as f64;
            let least = self.ready().map(drain).fold(f64::MAX, f64::min);
            let advice = self
                .cfg
                .retry_after
                .map_or(0, |most| (least as Micros).max(ADVICE).min(most));
            act.push(Action::Reject(id, advice));
        } else {
            act.push(Action::Fail(id));
        }
        self.conclude(now, id, act);
    }

    /// The query is over: calls off what is out, frees its place, and lets the next of its key go.
    fn conclude(&mut self, now: Micros, id: QueryId, act: &mut Actions) {
        self.unqueue(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.place = Place::Done;
        if self.cfg.may_cancel && !job.streaming {
            act.extend(job.call_off(None));
        }
        if job.out().next().is_none() {
            let key = self.ordered(id);
            self.jobs.remove(&id);
            if let Some(key) = key {
                self.lanes.entry(key).or_default().line.retain(|&q| q != id);
                self.advance(now, key, act);
            }
        }
    }

    /// Rule 5: lets the first of a key go once the one before is over and the key has rested.
    fn advance(&mut self, now: Micros, key: u64, act: &mut Actions) {
        if let Some(id) = self.next_of_key(now, key) {
            self.route(now, id, act);
        }
    }

    /// After an attempt that did not serve: another if rules, budget and hope allow, else the answer at once.
    fn again(&mut self, now: Micros, id: QueryId, act: &mut Actions) {
        let job = &self.jobs[&id];
        if job.place == Place::Done || job.out().next().is_some() {
            return;
        }
        let most = self.cfg.max_attempts.unwrap_or(u32::MAX).min(200) as usize;
        let errors = job
            .tries
            .iter()
            .filter(|t| t.outcome == Some(Outcome::Error))
            .count();
        let spent = job.tries.len() >= most || errors >= ERRORS;
        if spent || self.hopeless(now, id) || !self.budget_left(now) {
            self.give_up(now, id, act);
        } else {
            self.route(now, id, act);
        }
    }

    /// Whether a query earns nothing any more, even if started now and run at the fleet's pace, or the only
    /// engine that holds what it needs takes nothing more, or none may run it again.
    fn hopeless(&self, now: Micros, id: QueryId) -> bool {
        let only = self.jobs[&id]
            .query
            .pin
            .filter(|p| p.only)
            .map(|p| self.engines.get(&p.engine));
        let left = only.is_some_and(|e| e.is_none_or(|e| e.phase != Phase::Ready));
        if left
            || !self.engines.is_empty()
                && !self.engines.values().any(|e| self.group_allows(now, id, e))
        {
            return true;
        }
        let pace = self.ready().map(|e| e.slow).sum::<f64>() / self.ready().count().max(1) as f64;
        let run = self.work(id) / self.class(id).threads * pace;
        self.value(id, now as f64 + run) <= 0.0
    }

    fn ask(&mut self, now: Micros, act: &mut Actions) {
        act.push(Action::WatchEngines);
        // Answered by a list or a failure; should neither come, ask again before it counts as told.
        self.tally.next_ask = self.cfg.poll_timeout.map(|t| now + t / 2);
    }

    fn on_list(&mut self, now: Micros, kind: ListKind, list: &[ListedEngine], act: &mut Actions) {
        if kind != ListKind::Cached {
            (self.tally.next_ask, self.tally.asks_failed) = (None, 0);
        }
        for id in self.record_list(now, kind, list) {
            self.hold_queue(id);
            self.drop_if_gone(id);
        }
        self.route_held(now, act);
    }

    /// Routes anew what no engine holds: none was eligible, or its engine takes nothing now.
    fn route_held(&mut self, now: Micros, act: &mut Actions) {
        for id in self.held() {
            if self.jobs.get(&id).is_none_or(|j| j.place != Place::Held) {
                continue;
            }
            if self.hopeless(now, id) && self.jobs[&id].out().next().is_none() {
                self.give_up(now, id, act);
            } else {
                self.route(now, id, act);
            }
        }
    }

    fn on_arrival(&mut self, now: Micros, query: Query, act: &mut Actions) {
        if usize::from(query.class) >= self.cfg.classes.len() {
            return act.push(Action::Reject(query.id, 0));
        }
        if let Some(budget) = self.cfg.retry_budget {
            self.retries.request_taken(now, &budget);
        }
        let (id, over_quota) = (query.id, self.over_quota(now, query.tenant));
        self.jobs.insert(
            id,
            Job {
                over_quota,
                ..Job::new(query, now)
            },
        );
        self.tally.fresh_work += self.work(id);
        let spend = PROBE_SPEND
            * if self.cfg.report_on_probe && !self.sliver() {
                10.0
            } else {
                1.0
            };
        let probes = (spend / self.cfg.probe_cost.max(1e-9)).min(PROBE_MOST);
        self.tally.probes = (self.tally.probes + probes).min(self.engines.len() as f64);
        self.tally.tells = (self.tally.tells + TELLS).min(f64::from(self.cfg.coordinators));
        let margin = ANSWER_MARGIN.max(2 * self.cfg.tick);
        if query.budget <= margin {
            return self.give_up(now, id, act);
        }
        act.push(Action::SetTimer(query.budget - margin, id.0 + 1));
        if let Some(key) = self.ordered(id) {
            self.place(id, Place::Behind);
            self.lanes.entry(key).or_default().line.push_back(id);
            return self.advance(now, key, act);
        }
        // Work beyond a quota is worth little: under pressure it would only displace what is within.
        if over_quota && self.ready().all(|e| self.pressed(now, e)) {
            return self.give_up(now, id, act);
        }
        if self.scout(now, id, act) {
            return self.place(id, Place::Scouting);
        }
        self.route(now, id, act);
    }

    /// Takes from the tenant's quota at this gateway; true if it was used up.
    fn over_quota(&mut self, now: Micros, tenant: u32) -> bool {
        let Some(t) = self.cfg.tenants.get(tenant as usize) else {
            return !self.cfg.tenants.is_empty();
        };
        let rate = t.quota_per_s * self.tally.share;
        !self.quotas[tenant as usize].take(now, rate, (rate * QUOTA_SPAN).max(QUOTA_LEAST))
    }

    fn on_note(&mut self, now: Micros, id: QueryId, attempt: u8, note: ProgressReport) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(t) = job.tries.get_mut(usize::from(attempt)) else {
            return;
        };
        let engine = t.engine;
        let Some(e) = self.engines.get_mut(&engine) else {
            return;
        };
        match note {
            ProgressReport::Progress(done) => {
                t.blocked = false;
                t.projected = Some(now.saturating_sub(t.sent) as f64 / done.clamp(0.005, 1.0));
            }
            ProgressReport::WaitsForLoad => t.blocked = true,
            ProgressReport::WaitsForMemory | ProgressReport::Spills(_) => e.full_at = Some(now),
        }
        self.hears(now, engine);
    }

    fn on_end(&mut self, now: Micros, end: &AttemptEnded, act: &mut Actions) {
        let (id, outcome) = (end.query, end.outcome);
        let Some(engine) = self.record_end(end) else {
            return;
        };
        let answered = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        self.take_report(now, engine, end.report, answered);
        let (safe, sliver) = (
            self.idempotency(id) == Idempotency::Idempotent,
            self.sliver(),
        );
        let erred = f64::from(u8::from(outcome == Outcome::Error));
        if let Some(e) = self.engines.get_mut(&engine).filter(|_| answered) {
            e.errs += 3.0 * BLEND * (erred - e.errs);
            if sliver && erred > 0.0 {
                (e.slow, e.slow_at) = ((e.slow * ERRING).min(CLIP), now);
            }
        }
        let job = self.jobs.get_mut(&id).expect("an attempt was recorded");
        match outcome {
            Outcome::Ok => {
                // Served here, so where it erred before the fault was the engine's.
                let erred = job
                    .tries
                    .iter()
                    .filter(|t| t.outcome == Some(Outcome::Error));
                for engine in erred.map(|t| t.engine).collect::<Vec<_>>() {
                    self.failed(now, engine, Outcome::Error, act);
                }
                self.learn(now, engine, end);
            }
            Outcome::Rejected | Outcome::Error | Outcome::Unreachable | Outcome::Reset => {
                job.avoid.insert(engine);
                // A query that no engine can use would shut them all: it is blamed until another serves it.
                if outcome != Outcome::Error || !safe {
                    self.failed(now, engine, outcome, act);
                }
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Superseded => {}
        }
        // Rule 5: what may still run holds its key for a while more.
        let doubtful = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let (true, Some(key)) = (doubtful, self.ordered(id)) {
            self.lanes.entry(key).or_default().rest_until = now + self.cfg.settle_time;
        }
        match self.jobs[&id].place {
            Place::Out if !end.last => self.again(now, id, act),
            place if end.last || place == Place::Done => self.conclude(now, id, act),
            _ => {}
        }
        self.drop_if_gone(engine);
        match sliver {
            true => self.pump_all(now, act),
            false => self.pump(now, engine, act),
        }
        // Room here and nobody waiting: those whose start slipped elsewhere need not wait for the tick.
        let idle = self
            .engines
            .get(&engine)
            .filter(|e| e.queue.is_empty())
            .map(|e| self.load(now, e));
        if idle.is_some_and(|(bound, running, _)| running < bound) {
            self.look_again(now, act);
        }
    }

    /// Learns from an answer: the class's work and memory, the estimates' bias, the engine's pace.
    fn learn(&mut self, now: Micros, engine: EngineId, end: &AttemptEnded) {
        let (threads, q) = (self.class(end.query).threads, self.jobs[&end.query].query);
        let (work, memory, spent) = (end.work, end.memory_mb, end.spent as f64);
        let l = &mut self.learned[usize::from(q.class)];
        let (usual, blend) = (l.work, BLEND.max(1.0 / (l.seen + 1.0)));
        if let Some(told) = q.work {
            let ratio = (work.unwrap_or(spent * threads) / told).clamp(0.05, 50.0);
            if work.is_some() || l.seen < 1.0 {
                l.correction += blend * (ratio.min(CLIP * l.correction) - l.correction);
            } else {
                // No told work: the pace of the quicker quarter of answers stands for running alone.
                l.correction *= if ratio > l.correction {
                    1.0 + 0.25 * BLEND
                } else {
                    1.0 - 0.75 * BLEND
                };
            }
        }
        let true_work = work
            .or(q.work.map(|w| w * l.correction))
            .unwrap_or(spent * threads);
        l.work += blend * (true_work.min(CLIP * l.work) - l.work);
        if let Some(m) = memory {
            // A little under-granting spills, a little over-granting is lost: aim at the upper third.
            let step = if m > l.memory { 2.0 * blend } else { blend };
            l.memory += step.min(1.0) * (m - l.memory);
            if let Some(told) = q.memory_mb {
                l.memory_correction += blend * ((m / told).min(CLIP) - l.memory_correction);
            }
        }
        l.seen = (l.seen + 1.0).min(1e6);
        // Without any word of a query's work only its class's mean tells a slow engine from a large query.
        let sliver = self.sliver();
        let alone = if sliver && work.or(q.work).is_none() {
            usual
        } else {
            true_work
        };
        let alone = alone / threads + self.cfg.tick as f64;
        if let Some(e) = self.engines.get_mut(&engine) {
            // The mean of logs: estimates scatter, and a plain mean would see pressure in mere scatter.
            let ratio = (spent / alone).clamp(0.3, CLIP);
            self.tally.pace *= (ratio / self.tally.pace).powf(BLEND);
            // With a sliver answers of one engine are rare: each then says more.
            e.slow *= (ratio / e.slow).powf(if sliver { 3.0 * BLEND } else { BLEND });
            e.slow_at = now;
            if e.on_trial && e.lost {
                // It was gone and answers: it may have restarted without word, so it counts as cold.
                e.started_at = Some(now);
            }
            // The odd answer of one that errs mostly does not make it well.
            e.on_trial &= e.errs > MOSTLY;
            (e.failures, e.lost, e.shut_until) = (e.failures * u32::from(e.on_trial), false, 0);
        }
    }

    /// A failure of the engine itself: leaves it alone for a while, then tries it with one query at a time.
    fn failed(&mut self, now: Micros, engine: EngineId, outcome: Outcome, act: &mut Actions) {
        let Some(e) = self.engines.get_mut(&engine) else {
            return;
        };
        if outcome == Outcome::Rejected {
            e.full_at = Some(now);
            return;
        }
        if matches!(outcome, Outcome::Unreachable | Outcome::TimedOut) {
            self.tally.lost.entry(e.zone).or_default().insert(engine);
        }
        // What else ends while it rests is the same failure, unless it tells more: that it can't be reached.
        e.lost |= outcome == Outcome::Unreachable;
        if now < e.shut_until && (e.on_trial || outcome != Outcome::Unreachable) {
            return;
        }
        // One error may be the query's; two in a row are the engine's.
        e.failures += 1;
        if outcome == Outcome::Error && e.failures < 2 {
            return;
        }
        e.shut_until = now + (SHUT << (e.failures - 1).min(4));
        // A connection may break and its engine be well: a probe tells at once, and until then it rests.
        let doubt = outcome == Outcome::Reset && e.failures == 1 && self.cfg.may_probe;
        e.on_trial = !doubt;
        if doubt {
            self.probe(now, &[engine], act);
        }
        if now >= self.tally.last_log + LOG_EVERY {
            self.tally.last_log = now;
            act.push(Action::Log(format!(
                "engine {:x} shut after {outcome:?}",
                engine.0
            )));
        }
        self.hold_queue(engine);
        self.route_held(now, act);
    }

    fn on_probe(
        &mut self,
        now: Micros,
        id: EngineId,
        outcome: Outcome,
        report: &[f64],
        act: &mut Actions,
    ) {
        self.take_report(now, id, report, outcome == Outcome::Ok);
        match (outcome, self.engines.get_mut(&id)) {
            (Outcome::Ok, Some(e)) if !e.on_trial && now < e.shut_until => {
                // Only a connection had broken.
                e.shut_until = 0;
                self.route_held(now, act);
            }
            (Outcome::Ok | Outcome::Rejected | Outcome::Superseded, _) | (_, None) => {}
            _ => self.failed(now, id, outcome, act),
        }
        for q in self.scouting(Some(id), now) {
            self.route(now, q, act);
        }
    }

    fn on_tick(&mut self, now: Micros, act: &mut Actions) {
        act.push(Action::SetTimer(TICK, TICK_TOKEN));
        let work = std::mem::take(&mut self.tally.fresh_work) / TICK as f64;
        let blend = if self.sliver() {
            DEMAND_BLEND / 4.0
        } else {
            DEMAND_BLEND
        };
        self.tally.demand += blend * (work - self.tally.demand);
        if self.tally.next_ask.is_some_and(|t| now >= t) {
            self.ask(now, act);
        }
        if self.cfg.may_gossip && now >= self.tally.last_tell + TELL_EVERY {
            self.tell(now, act);
        }
        self.tally.probes += self.tally.lost.len() as f64 * TICK as f64 / TELL_EVERY as f64;
        self.tally.share = self.learn_share(now);
        let few = !self.sliver();
        for (id, e) in self.engines.iter_mut().filter(|_| few) {
            let told = |p: &Peer| p.threads.get(id).unwrap_or(&0.0) * freshness(now, p.at);
            e.others = self.peers.values().map(told).sum();
        }
        self.tally.left = self.engines.values().map(|e| self.left(now, e)).sum();
        self.tally.cores = self
            .ready()
            .map(|e| self.cores(e) * self.warmth(now, e))
            .sum();
        self.tally.pace = 1.0 + (self.tally.pace - 1.0) * 0.5f64.powf(TICK as f64 / FORGET);
        let heard: Vec<&Engine> = self
            .ready()
            .filter(|e| self.fresh(now, e).is_some())
            .collect();
        let pressed = heard.iter().filter(|e| self.pressed(now, e)).count();
        let part = CROWD[usize::from(self.stuck())];
        self.tally.crowded =
            !self.told() || self.tally.pace > SLOW || part * pressed > heard.len().max(4);
        for q in self.scouting(None, now.saturating_sub(TICK)) {
            self.route(now, q, act);
        }
        self.watch_engines(now, act);
        self.watch_attempts(now, act);
        self.look_again(now, act);
        for key in self.lanes.keys().copied().collect::<Vec<_>>() {
            self.advance(now, key, act);
        }
        self.pump_all(now, act);
    }

    /// Tells as many peers as own queries pay for: own demand and the newest word of engines, which spreads.
    fn tell(&mut self, now: Micros, act: &mut Actions) {
        self.tally.last_tell = now;
        let mut peers: Vec<u32> = (0..self.cfg.coordinators)
            .filter(|&g| g != self.cfg.number)
            .collect();
        let most = if self.sliver() {
            self.tally.tells as usize
        } else {
            peers.len()
        };
        self.tally.tells = (self.tally.tells - most as f64).max(0.0);
        let mut known: Vec<_> = self.engines.iter().map(|(&id, e)| (id, e)).collect();
        known.sort_by_key(|(_, e)| std::cmp::Reverse(e.report.map_or(0, |r| r.at)));
        let bytes = Peer::write(now, self.tally.demand, &self.cfg.report_fields, &known);
        self.random.draw(&mut peers, most);
        act.extend(
            peers
                .into_iter()
                .take(most)
                .map(|peer| Action::SendGossip(peer, bytes.clone())),
        );
    }

    /// A peer's word of an engine counts where it is newer than our own and own answers are few.
    fn on_message(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let Some((peer, words)) = Peer::read(now, &self.cfg.report_fields, bytes) else {
            return;
        };
        let sliver = self.sliver();
        self.peers.insert(from, peer);
        for (id, slow, report) in words.into_iter().filter(|_| sliver) {
            let Some(e) = self.engines.get_mut(&id) else {
                continue;
            };
            if e.report.is_none_or(|r| r.at < report.at)
                && e.started_at.is_none_or(|b| b < report.at)
            {
                (e.report, e.slow, e.slow_at) = (Some(report), slow.clamp(0.3, CLIP), report.at);
            }
        }
    }

    /// Health from silence and from attempts still out; probes where allowed.
    fn watch_engines(&mut self, now: Micros, act: &mut Actions) {
        let (mut silent, mut talking, mut waiting, mut probes) = (Vec::new(), 0, 0, Vec::new());
        let sliver = self.sliver();
        for id in self.engines.keys().copied().collect::<Vec<_>>() {
            let e = &self.engines[&id];
            let (mut n, mut overdue, mut pace) = (0, 0, CLIP);
            for (_, t) in self.outs(e).filter(|(_, t)| !t.called_off && !t.blocked) {
                let age = now.saturating_sub(t.sent) as f64;
                let patience = self
                    .cfg
                    .progress_interval
                    .map_or(OVERRUN * t.expected, |every| 3.0 * every as f64);
                pace = pace.min(t.projected.unwrap_or(age).max(age) * e.slow / t.expected.max(1.0));
                (n, overdue) = (n + 1, overdue + usize::from(age > patience.max(SILENCE)));
            }
            let e = self.engines.get_mut(&id).expect("listed above");
            // All that is out runs long: the engine is slow, though no answer says so yet.
            if n > usize::from(!sliver) && pace > e.slow {
                (e.slow, e.slow_at) = (pace, now);
            } else if now > e.slow_at + TELL_EVERY {
                let usual = if sliver { self.tally.pace } else { 1.0 };
                e.slow = usual + (e.slow - usual) * 0.5f64.powf(TICK as f64 / FORGET);
            }
            let unheard = now.saturating_sub(e.heard) as f64;
            waiting += usize::from(n > 0);
            talking += usize::from(n > 0 && unheard < SILENCE);
            // Without notes one long query alone says nothing: it may have a bad plan.
            let enough = overdue > usize::from(self.cfg.progress_interval.is_none());
            if enough && unheard > SILENCE && now >= e.shut_until {
                silent.push(id);
            }
            let idle = now > e.heard.max(e.probed) + REPORT_LIFE;
            let due = self.cfg.report_on_probe || e.on_trial && now >= e.shut_until;
            if self.cfg.may_probe
                && e.phase == Phase::Ready
                && (idle || due && now > e.probed + TELL_EVERY)
            {
                probes.push((!e.on_trial, e.heard.max(e.probed), id));
            }
        }
        probes.sort();
        // Queries that ask before they go come first.
        let ask = self.cfg.report_on_probe && self.tally.lost.is_empty();
        let spare = self.tally.probes - if ask { (HOMES + DRAWN) as f64 } else { 0.0 };
        probes.truncate(spare.max(0.0) as usize);
        let due: Vec<EngineId> = probes.into_iter().map(|p| p.2).collect();
        self.probe(now, &due, act);
        // Silence of one engine is its own; silence of nearly all is ours or the fleet's: then wait.
        for id in silent.into_iter().filter(|_| talking * 2 >= waiting) {
            self.failed(now, id, Outcome::TimedOut, act);
            for (q, n) in self.engines[&id].out.clone() {
                self.cut(now, q, n, act);
            }
        }
    }

    /// Attempts that run far too long: bad plans, sick engines. Where another would earn more it is made.
    fn watch_attempts(&mut self, now: Micros, act: &mut Actions) {
        let (mut over, sliver) = (Vec::new(), self.sliver());
        let pace = if sliver { self.tally.pace } else { 0.0 };
        let earned = self.mean(|c| self.cfg.classes[c].priority_weight) / self.mean_work();
        for (&id, job) in self
            .jobs
            .iter()
            .filter(|(_, j)| j.place == Place::Out && !j.streaming)
        {
            for (n, t) in job.out().filter(|(_, t)| !t.called_off && !t.blocked) {
                let age = now.saturating_sub(t.sent) as f64;
                // Without notes, one that has overrun is taken to have as much again and more before it.
                let usual = t
                    .expected
                    .max(self.work(id) / self.class(id).threads * pace);
                let long = if age > OVERRUN * usual {
                    OVERRUN * age
                } else {
                    age
                };
                let total = t.projected.map_or(long, |p| p.max(age));
                let late = sliver && t.sent as f64 + total > self.latency_objective(id);
                if age >= OVERRUN_AFTER && (late || total > OVERRUN * usual) {
                    over.push((id, n as u8, t.sent as f64 + total));
                }
            }
        }
        for (id, n, finish) in over {
            let pace = self.ready().map(|e| e.slow);
            let afresh =
                now as f64 + self.work(id) / self.class(id).threads * pace.fold(CLIP, f64::min);
            let (stay, leave) = (self.value(id, finish), self.value(id, afresh));
            // Late runs in a crowd, bad plans too, keep the room of others; hurts if late worth is high.
            let left = (finish - now as f64).max(1.0) * self.class(id).threads;
            let drag = sliver
                && self.cfg.may_cancel
                && stay < WORTHWHILE * earned * left
                && finish > self.latency_objective(id);
            if self.jobs[&id].cuts == 0 && leave > 0.0 && leave >= stay && afresh < finish {
                self.cut(now, id, n, act);
            } else if self.may_refuse(id)
                && (drag || stay + leave <= 0.0 && self.cfg.progress_interval.is_some())
            {
                self.give_up(now, id, act);
            }
        }
    }

    /// Calls an attempt off for another elsewhere, or adds a copy, if the rules leave room for one.
    fn cut(&mut self, now: Micros, id: QueryId, attempt: u8, act: &mut Actions) {
        let Some(job) = self
            .jobs
            .get(&id)
            .filter(|j| j.place == Place::Out && !j.streaming)
        else {
            return;
        };
        let most = self.cfg.max_attempts.unwrap_or(u32::MAX).min(200) as usize;
        let over = job.tries.len() >= most || job.tries[usize::from(attempt)].called_off;
        let barred = !self.engines.values().any(|e| self.group_allows(now, id, e));
        if over || barred || !self.budget_left(now) {
            return;
        }
        let job = self.jobs.get_mut(&id).expect("looked up above");
        job.cuts += 1;
        let t = &mut job.tries[usize::from(attempt)];
        if self.cfg.may_cancel {
            t.called_off = true;
            act.push(Action::CancelAttempt(id, attempt));
        } else if self.cfg.may_hedge && job.out().count() < 2 {
            job.avoid.insert(job.tries[usize::from(attempt)].engine);
            self.route(now, id, act);
        }
    }

    /// The design's weak spot: starts move only on insertions. What slipped is routed anew or given up.
    fn look_again(&mut self, now: Micros, act: &mut Actions) {
        let mut slipped = Vec::new();
        for e in self.engines.values() {
            let starts = self.starts(now, e, 0.5);
            for (q, &start) in e.queue.iter().zip(&starts) {
                if start > q.planned + SLIP
                    || start + q.work / q.threads * e.slow > q.latency_objective
                {
                    slipped.push(q.id);
                }
            }
        }
        slipped.sort();
        let from = slipped.partition_point(|&s| s <= self.tally.cursor);
        slipped.rotate_left(from);
        for &id in slipped.iter().take(if self.sliver() {
            LOOK_AGAIN / 4
        } else {
            LOOK_AGAIN
        }) {
            self.tally.cursor = id;
            self.unqueue(id);
            self.place(id, Place::Held);
        }
        self.route_held(now, act);
    }
}

/// Weight of a peer's word: full for three periods, then halving with each.
fn freshness(now: Micros, at: Micros) -> f64 {
    let age = now.saturating_sub(at) as f64 / TELL_EVERY as f64;
    0.5f64.powf((age - 3.0).max(0.0))
}
