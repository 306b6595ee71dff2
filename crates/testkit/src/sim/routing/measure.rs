use {
    hdrhistogram::Histogram,
    jasminewall_core::{Tokens, admission::WorkClass},
};

use super::{Micros, SECOND};

/// What a run measured.
#[derive(Debug)]
pub struct RoutingResult {
    latency: Vec<Histogram<u64>>,
    first: Vec<Histogram<u64>>,
    gap: Histogram<u64>,
    /// Requests that ended whole and in time, per class.
    pub served: [u64; 3],
    /// Requests refused before they were dispatched, per class.
    pub refused: [u64; 3],
    /// Refusals later than one tenth of the time limit after the arrival.
    pub refused_late: u64,
    /// Refusals of requests of which an engine had generated a token.
    pub refused_started: u64,
    /// Requests that missed their deadline after the dispatch, per class.
    pub late: [u64; 3],
    /// Output tokens generated in the measured time for requests that ended in time.
    pub goodput: Tokens,
    /// Output tokens that the engines could have generated.
    pub capacity: f64,
    /// Output tokens per customer that an idle fleet would generate in the measured time.
    pub offered: Vec<Tokens>,
    /// Part of the goodput per customer.
    pub customer_goodput: Vec<Tokens>,
    /// Dispatched requests per engine and second.
    pub dispatched: Vec<Vec<u32>>,
    /// Largest number of endpoints that one decision looked at.
    pub examined: usize,
    /// Hedges and probes beyond the first attempts.
    pub extra_attempts: u64,
    /// First attempts.
    pub first_attempts: u64,
}

impl RoutingResult {
    pub(super) fn new(engines: usize, customers: usize, seconds: usize) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, 4_000 * SECOND, 3).expect("the bounds of times are valid")
        };
        Self {
            latency: (0..4).map(|_| histogram()).collect(),
            first: (0..4).map(|_| histogram()).collect(),
            gap: histogram(),
            served: [0; 3],
            refused: [0; 3],
            refused_late: 0,
            refused_started: 0,
            late: [0; 3],
            goodput: 0,
            capacity: 0.0,
            offered: vec![0; customers],
            customer_goodput: vec![0; customers],
            dispatched: vec![vec![0; seconds + 1]; engines],
            examined: 0,
            extra_attempts: 0,
            first_attempts: 0,
        }
    }

    pub(super) fn note_end(&mut self, class: WorkClass, latency: Micros) {
        self.latency[class as usize].saturating_record(latency.max(1));
        self.latency[3].saturating_record(latency.max(1));
        self.served[class as usize] += 1;
    }

    pub(super) fn note_first(&mut self, class: WorkClass, time: Micros) {
        self.first[class as usize].saturating_record(time.max(1));
        self.first[3].saturating_record(time.max(1));
    }

    pub(super) fn note_gap(&mut self, time: Micros) {
        self.gap.saturating_record(time.max(1));
    }

    /// Latency of a class (`None` for all) at a percentile, in seconds.
    pub fn latency(&self, class: Option<WorkClass>, percentile: f64) -> f64 {
        let index = class.map_or(3, |class| class as usize);
        seconds(self.latency[index].value_at_percentile(percentile))
    }

    /// Time to the first token of a class (`None` for all) at a percentile, in seconds.
    pub fn first_token(&self, class: Option<WorkClass>, percentile: f64) -> f64 {
        let index = class.map_or(3, |class| class as usize);
        seconds(self.first[index].value_at_percentile(percentile))
    }

    /// Time between two tokens at a percentile, in seconds.
    pub fn token_gap(&self, percentile: f64) -> f64 {
        seconds(self.gap.value_at_percentile(percentile))
    }

    /// Share of the capacity that became answers in time.
    pub fn goodput_share(&self) -> f64 {
        self.goodput as f64 / self.capacity
    }

    /// Smallest ratio of what a customer was served to its fair share.
    ///
    /// The fair share is the customer's part of the goodput when no customer gets more than it
    /// asked for and the rest is divided equally (water filling).
    pub fn min_fair_ratio(&self) -> f64 {
        let fair = water_fill(&self.offered, self.goodput);
        let ratios = self.customer_goodput.iter().zip(fair);
        ratios
            .map(|(served, fair)| *served as f64 / fair.max(1.0))
            .fold(f64::INFINITY, f64::min)
    }

    /// Requests dispatched to an engine in a range of seconds, as a share of all.
    pub fn traffic_share(&self, engine: usize, from: usize, until: usize) -> f64 {
        let sum = |counts: &[u32]| -> u32 { counts[from..until].iter().sum() };
        let all: u32 = self.dispatched.iter().map(|counts| sum(counts)).sum();
        f64::from(sum(&self.dispatched[engine])) / f64::from(all.max(1))
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

fn water_fill(wanted: &[Tokens], total: Tokens) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|index| wanted[*index]);
    let mut left = total as f64;
    let mut shares = vec![0.0; wanted.len()];
    for (place, index) in order.iter().enumerate() {
        let equal = left / (wanted.len() - place) as f64;
        shares[*index] = equal.min(wanted[*index] as f64);
        left -= shares[*index];
    }
    shares
}
