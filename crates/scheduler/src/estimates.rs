//! Estimates: how much work and memory queries of a class need.
//!
//! Input: what clients say of a query, and what its answer tells. Output: believed work (µs over all threads) and memory (MB) of a
//! query, and means over the classes. Bound: one record for each class of the settings.

use crate::settings::QueryClass;
use crate::types::Query;

/// Weight of a new sample: some ten answers form an estimate.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// A sample counts at most this many times the estimate: outliers must not set it.
pub(crate) const MAX_SAMPLE_RATIO: f64 = 6.0;
/// Work of a class before its first answer: this share of the latency objective, on all its threads.
const INITIAL_WORK_SHARE: f64 = 0.25;
/// Told work over true work is believed within these bounds.
const CORRECTION_RANGE: (f64, f64) = (0.05, 50.0);
/// More answers than this don't count: the figure is a weight.
const MAX_ANSWERS: f64 = 1e6;
/// A class that was not seen counts in means as if it had been this often.
const MIN_CLASS_WEIGHT: f64 = 0.1;
/// So many answers make a class's work known.
const KNOWN_ANSWERS: f64 = 5.0;

/// What was learned of a class.
#[derive(Clone, Copy)]
struct ClassEstimate {
    /// Answers seen.
    answers: f64,
    /// Mean work, µs over all threads.
    work: f64,
    /// True over told work.
    work_correction: f64,
    /// Memory need on the high side, MB.
    memory_mb: f64,
    /// True over told memory.
    memory_correction: f64,
    /// Threads that a query runs on, by the settings.
    threads: f64,
    /// Its latency objective in µs, by the settings.
    latency_objective: f64,
}

/// How a query ran, as its answer tells.
#[derive(Clone, Copy)]
pub(crate) struct Sample {
    /// Its work, µs over all threads, if told.
    pub work: Option<f64>,
    /// Its memory need in MB, if told.
    pub memory_mb: Option<f64>,
    /// Time from its sending to its answer, µs.
    pub spent: f64,
}

/// A query's work as its answer and its estimate show it, µs over all threads.
pub(crate) struct LearnedWork {
    /// The class's mean before this answer.
    pub usual: f64,
    /// What this query is believed to have needed.
    pub of_this_query: f64,
}

impl ClassEstimate {
    fn new(class: &QueryClass) -> ClassEstimate {
        ClassEstimate {
            answers: 0.0,
            work: INITIAL_WORK_SHARE * class.latency_objective as f64 * class.threads,
            work_correction: 1.0,
            memory_mb: 0.0,
            memory_correction: 1.0,
            threads: class.threads,
            latency_objective: class.latency_objective as f64,
        }
    }

    /// Learns from an answer: mean work and memory, and the bias of what clients say.
    fn learn(&mut self, query: &Query, sample: &Sample) -> LearnedWork {
        let usual = self.work;
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.answers + 1.0));
        if let Some(provided) = query.work {
            self.learn_work_correction(provided, sample, weight);
        }
        let of_this_query = sample
            .work
            .or(query.work.map(|w| w * self.work_correction))
            .unwrap_or(sample.spent * self.threads);
        self.work += weight * (of_this_query.min(MAX_SAMPLE_RATIO * self.work) - self.work);
        if let Some(memory_mb) = sample.memory_mb {
            self.learn_memory(query.memory_mb, memory_mb, weight);
        }
        self.answers = (self.answers + 1.0).min(MAX_ANSWERS);
        LearnedWork {
            usual,
            of_this_query,
        }
    }

    fn learn_work_correction(&mut self, provided: f64, sample: &Sample, weight: f64) {
        let (min, max) = CORRECTION_RANGE;
        let seen = sample.work.unwrap_or(sample.spent * self.threads);
        let ratio = (seen / provided).clamp(min, max);
        if sample.work.is_some() || self.answers < 1.0 {
            let ratio = ratio.min(MAX_SAMPLE_RATIO * self.work_correction);
            self.work_correction += weight * (ratio - self.work_correction);
        } else {
            // No told work: the run times of the quicker quarter of answers stand for running alone.
            self.work_correction *= if ratio > self.work_correction {
                1.0 + 0.25 * SAMPLE_WEIGHT
            } else {
                1.0 - 0.75 * SAMPLE_WEIGHT
            };
        }
    }

    fn learn_memory(&mut self, provided: Option<f64>, memory_mb: f64, weight: f64) {
        // A little under-granting spills, a little over-granting is lost: the upper third is aimed at.
        let step = if memory_mb > self.memory_mb {
            2.0 * weight
        } else {
            weight
        };
        self.memory_mb += step.min(1.0) * (memory_mb - self.memory_mb);
        if let Some(provided) = provided {
            let ratio = (memory_mb / provided).min(MAX_SAMPLE_RATIO);
            self.memory_correction += weight * (ratio - self.memory_correction);
        }
    }
}

/// What was learned of all classes.
pub(crate) struct Estimates {
    classes: Vec<ClassEstimate>,
}

impl Estimates {
    /// Before any answer.
    pub(crate) fn new(classes: &[QueryClass]) -> Estimates {
        Estimates {
            classes: classes.iter().map(ClassEstimate::new).collect(),
        }
    }

    fn of(&self, query: &Query) -> &ClassEstimate {
        &self.classes[usize::from(query.class)]
    }

    /// Learns from a query's answer.
    pub(crate) fn learn(&mut self, query: &Query, sample: &Sample) -> LearnedWork {
        self.classes[usize::from(query.class)].learn(query, sample)
    }

    /// Work of a query, µs over all threads: what its client said, corrected by outcomes, else the class's mean.
    pub(crate) fn work(&self, query: &Query) -> f64 {
        let class = self.of(query);
        let provided = query.work.map(|w| w * class.work_correction);
        provided.unwrap_or(class.work).max(1.0)
    }

    /// Memory need of a query in MB: told and corrected, else learned; 0 if unknown.
    pub(crate) fn memory_mb(&self, query: &Query) -> f64 {
        let class = self.of(query);
        let provided = query.memory_mb.map(|m| m * class.memory_correction);
        provided.unwrap_or(class.memory_mb)
    }

    /// Usual work of a query's class; before enough answers were seen, at least what takes all of its latency objective.
    pub(crate) fn cautious_class_work(&self, query: &Query) -> f64 {
        let class = self.of(query);
        class.work.max(if class.answers >= KNOWN_ANSWERS {
            0.0
        } else {
            class.latency_objective * class.threads
        })
    }

    /// Mean of a figure over the classes, by how often they were seen. The figure gets the class's place and its mean work.
    pub(crate) fn mean(&self, figure: impl Fn(usize, f64) -> f64) -> f64 {
        let weight = |c: &ClassEstimate| c.answers.max(MIN_CLASS_WEIGHT);
        let classes = self.classes.iter().enumerate();
        let sum: f64 = classes.map(|(n, c)| weight(c) * figure(n, c.work)).sum();
        sum / self.classes.iter().map(weight).sum::<f64>()
    }

    /// Mean work of a query, µs over all threads.
    pub(crate) fn mean_work(&self) -> f64 {
        self.mean(|_, work| work)
    }

    /// Mean run time of a query alone, µs.
    pub(crate) fn mean_run(&self) -> f64 {
        self.mean(|n, work| work / self.classes[n].threads)
    }
}
