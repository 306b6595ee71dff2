use {
    hdrhistogram::Histogram,
    jasminewall_core::{Tokens, admission::WorkClass},
};

use super::{Micros, SECOND};

/// Measurements of one run.
#[derive(Debug)]
pub struct RoutingResult {
    /// Latency of each class, and of all classes together in the last histogram.
    latency: Vec<Histogram<u64>>,
    /// Time to the first token, in the same order.
    first_token: Vec<Histogram<u64>>,
    token_gap: Histogram<u64>,
    /// Requests completed in time, per class.
    pub served: [u64; 3],
    /// Requests refused before they were dispatched, per class.
    pub refused: [u64; 3],
    /// Requests refused after more than one tenth of their time limit.
    pub refused_late: u64,
    /// Requests refused although an engine had generated a token for them.
    pub refused_started: u64,
    /// Requests that missed their deadline after they were dispatched, per class.
    pub late: [u64; 3],
    /// Output tokens generated during the measured time for requests completed in time.
    pub goodput: Tokens,
    /// Output tokens that all engines can generate during the measured time.
    pub capacity: f64,
    /// Output tokens per customer that an idle fleet would generate during the measured time.
    pub offered: Vec<Tokens>,
    /// Goodput per customer.
    pub customer_goodput: Vec<Tokens>,
    /// Dispatches per engine and second, without probes.
    pub dispatched: Vec<Vec<u32>>,
    /// Maximum number of endpoints examined for one decision.
    pub examined: usize,
    /// Hedges and probes, which come in addition to the first attempts.
    pub extra_attempts: u64,
    /// First attempts of requests.
    pub first_attempts: u64,
}

impl RoutingResult {
    pub(super) fn new(engines: usize, customers: usize, seconds: usize) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, 4_000 * SECOND, 3).expect("the bounds of times are valid")
        };
        Self {
            latency: (0..4).map(|_| histogram()).collect(),
            first_token: (0..4).map(|_| histogram()).collect(),
            token_gap: histogram(),
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

    pub(super) fn record_completion(&mut self, class: WorkClass, latency: Micros) {
        self.latency[class as usize].saturating_record(latency.max(1));
        self.latency[3].saturating_record(latency.max(1));
        self.served[class as usize] += 1;
    }

    pub(super) fn record_first_token(&mut self, class: WorkClass, time: Micros) {
        self.first_token[class as usize].saturating_record(time.max(1));
        self.first_token[3].saturating_record(time.max(1));
    }

    pub(super) fn record_token_gap(&mut self, time: Micros) {
        self.token_gap.saturating_record(time.max(1));
    }

    /// Returns a percentile of the latency of a class (`None` for all classes), in seconds.
    pub fn latency(&self, class: Option<WorkClass>, percentile: f64) -> f64 {
        let index = class.map_or(3, |class| class as usize);
        seconds(self.latency[index].value_at_percentile(percentile))
    }

    /// Returns a percentile of the time to the first token of a class (`None` for all classes), in
    /// seconds.
    pub fn first_token(&self, class: Option<WorkClass>, percentile: f64) -> f64 {
        let index = class.map_or(3, |class| class as usize);
        seconds(self.first_token[index].value_at_percentile(percentile))
    }

    /// Returns a percentile of the time between two tokens, in seconds.
    pub fn token_gap(&self, percentile: f64) -> f64 {
        seconds(self.token_gap.value_at_percentile(percentile))
    }

    /// Returns the goodput as a share of the capacity.
    pub fn goodput_share(&self) -> f64 {
        self.goodput as f64 / self.capacity
    }

    /// Returns the minimum over all customers of the ratio of their goodput to their fair share.
    ///
    /// Fair shares divide the total goodput equally, except that no customer gets more than it
    /// offered (max-min fairness).
    pub fn min_fair_ratio(&self) -> f64 {
        let fair_shares = max_min_shares(&self.offered, self.goodput);
        let ratios = self.customer_goodput.iter().zip(fair_shares);
        ratios
            .map(|(served, fair)| *served as f64 / fair.max(1.0))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the share of all dispatches that went to an engine within a range of seconds.
    pub fn traffic_share(&self, engine: usize, from: usize, until: usize) -> f64 {
        let sum = |counts: &[u32]| -> u32 { counts[from..until].iter().sum() };
        let total: u32 = self.dispatched.iter().map(|counts| sum(counts)).sum();
        f64::from(sum(&self.dispatched[engine])) / f64::from(total.max(1))
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Divides `total` equally, except that no share exceeds the offered amount.
fn max_min_shares(offered: &[Tokens], total: Tokens) -> Vec<f64> {
    let mut order: Vec<usize> = (0..offered.len()).collect();
    order.sort_by_key(|index| offered[*index]);
    let mut remaining = total as f64;
    let mut shares = vec![0.0; offered.len()];
    for (rank, index) in order.iter().enumerate() {
        let equal = remaining / (offered.len() - rank) as f64;
        shares[*index] = equal.min(offered[*index] as f64);
        remaining -= shares[*index];
    }
    shares
}
