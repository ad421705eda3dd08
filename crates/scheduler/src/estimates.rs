//! Estimates of the work and memory that queries of a class need.
//!
//! Input: clients' estimates, and measurements in answers. Output: estimated work (µs over all
//! threads) and memory (MB) of a query, and means over the classes. Bound: one record per class in
//! the settings.

use crate::settings::QueryClass;
use crate::types::Query;

/// Weight of a new sample: about ten answers form an estimate.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// A sample counts for at most this multiple of the estimate, which limits outliers.
pub(crate) const MAX_SAMPLE_RATIO: f64 = 6.0;
/// Work of a class before its first answer, as a fraction of the latency objective on all its
/// threads.
const INITIAL_WORK_SHARE: f64 = 0.25;
/// Bounds on a sample of the ratio of measured work to a client's estimate.
const CORRECTION_RANGE: (f64, f64) = (0.05, 50.0);
/// Upper bound on the number of answers, which serves as a weight.
const MAX_ANSWERS: f64 = 1e6;
/// Weight in means of a class without answers, as a number of answers.
const MIN_CLASS_WEIGHT: f64 = 0.1;
/// Number of answers after which a class's work is considered known.
const KNOWN_ANSWERS: f64 = 5.0;

/// What was learned about a class.
#[derive(Clone, Copy)]
struct ClassEstimate {
    /// Number of answers.
    answers: f64,
    /// Mean work, µs over all threads.
    work: f64,
    /// Ratio of measured work to clients' estimates.
    work_correction: f64,
    /// Memory need in MB, biased upwards.
    memory_mb: f64,
    /// Ratio of measured memory to clients' estimates.
    memory_correction: f64,
    /// Threads per query, from the settings.
    threads: f64,
    /// Latency objective in µs, from the settings.
    latency_objective: f64,
}

/// Measurements of a served query.
#[derive(Clone, Copy)]
pub(crate) struct Sample {
    /// Its work in µs over all threads, if reported.
    pub work: Option<f64>,
    /// Its memory need in MB, if reported.
    pub memory_mb: Option<f64>,
    /// Time from sending the attempt to its answer, µs.
    pub elapsed: f64,
}

/// Work of a served query, µs over all threads.
pub(crate) struct LearnedWork {
    /// The class's mean before this answer.
    pub class_mean: f64,
    /// Estimate for this query.
    pub this_query: f64,
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

    /// Learns from an answer: mean work and memory, and the bias of clients' estimates.
    fn learn(&mut self, query: &Query, sample: &Sample) -> LearnedWork {
        let class_mean = self.work;
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.answers + 1.0));
        if let Some(client_estimate) = query.work {
            self.learn_work_correction(client_estimate, sample, weight);
        }
        let this_query = sample
            .work
            .or(query.work.map(|w| w * self.work_correction))
            .unwrap_or(sample.elapsed * self.threads);
        self.work += weight * (this_query.min(MAX_SAMPLE_RATIO * self.work) - self.work);
        if let Some(memory_mb) = sample.memory_mb {
            self.learn_memory(query.memory_mb, memory_mb, weight);
        }
        self.answers = (self.answers + 1.0).min(MAX_ANSWERS);
        LearnedWork {
            class_mean,
            this_query,
        }
    }

    fn learn_work_correction(&mut self, client_estimate: f64, sample: &Sample, weight: f64) {
        let (min, max) = CORRECTION_RANGE;
        let seen = sample.work.unwrap_or(sample.elapsed * self.threads);
        let ratio = (seen / client_estimate).clamp(min, max);
        if sample.work.is_some() || self.answers < 1.0 {
            let ratio = ratio.min(MAX_SAMPLE_RATIO * self.work_correction);
            self.work_correction += weight * (ratio - self.work_correction);
        } else {
            // Without reported work, the run times of the faster quarter of answers approximate
            // running alone.
            self.work_correction *= if ratio > self.work_correction {
                1.0 + 0.25 * SAMPLE_WEIGHT
            } else {
                1.0 - 0.75 * SAMPLE_WEIGHT
            };
        }
    }

    fn learn_memory(&mut self, client_estimate: Option<f64>, memory_mb: f64, weight: f64) {
        // With too small a grant the query spills, while too large a grant wastes a little memory,
        // so the estimate aims at the upper third.
        let step = if memory_mb > self.memory_mb {
            2.0 * weight
        } else {
            weight
        };
        self.memory_mb += step.min(1.0) * (memory_mb - self.memory_mb);
        if let Some(client_estimate) = client_estimate {
            let ratio = (memory_mb / client_estimate).min(MAX_SAMPLE_RATIO);
            self.memory_correction += weight * (ratio - self.memory_correction);
        }
    }
}

/// What was learned about all classes.
pub(crate) struct Estimates {
    classes: Vec<ClassEstimate>,
}

impl Estimates {
    /// Estimates before any answer.
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

    /// Estimated work of a query, µs over all threads: the client's estimate with the learned
    /// correction, otherwise the class's mean.
    pub(crate) fn work(&self, query: &Query) -> f64 {
        let class = self.of(query);
        let client_estimate = query.work.map(|w| w * class.work_correction);
        client_estimate.unwrap_or(class.work).max(1.0)
    }

    /// Estimated memory need of a query in MB: the client's estimate with the learned correction,
    /// otherwise the class's learned value; 0 if unknown.
    pub(crate) fn memory_mb(&self, query: &Query) -> f64 {
        let class = self.of(query);
        let client_estimate = query.memory_mb.map(|m| m * class.memory_correction);
        client_estimate.unwrap_or(class.memory_mb)
    }

    /// Usual work of a query's class. Before enough answers, at least the work that takes the
    /// whole latency objective.
    pub(crate) fn cautious_class_work(&self, query: &Query) -> f64 {
        let class = self.of(query);
        class.work.max(if class.answers >= KNOWN_ANSWERS {
            0.0
        } else {
            class.latency_objective * class.threads
        })
    }

    /// Mean of a figure over the classes, weighted by their number of answers. The figure is a
    /// function of the class index and its mean work.
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

    /// Mean run time of a query that runs alone, µs.
    pub(crate) fn mean_run(&self) -> f64 {
        self.mean(|n, work| work / self.classes[n].threads)
    }
}
