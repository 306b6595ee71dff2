use {
    jasminewall_core::{Tokens, admission::WorkClass},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use super::{Micros, SECOND};

/// Length of a phase of low or high load.
const PHASE_LENGTH: Micros = 3 * SECOND;
/// Ratio of the request rates in phases of high and low load.
const PEAK_RATIO: f64 = 8.0;

/// One request of the simulated load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Arrival time at the router.
    pub arrival: Micros,
    /// Index of the router that receives the request.
    pub router: usize,
    /// Index of the customer that sends the request.
    pub customer: usize,
    /// Class of work.
    pub class: WorkClass,
    /// Length of the prompt in tokens.
    pub prompt: Tokens,
    /// Length of the output in tokens, unknown to the router.
    pub output: Tokens,
    /// Time by which the response must be complete.
    pub deadline: Micros,
}

/// Load of one class of work.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    /// Class of work.
    pub class: WorkClass,
    /// Share of all output tokens.
    pub share: f64,
    /// Minimum output in tokens.
    pub min_output: f64,
    /// Maximum output in tokens.
    pub max_output: f64,
    /// Shape parameter of the bounded Pareto distribution of the output.
    pub shape: f64,
    /// Maximum prompt in tokens; prompts are distributed uniformly.
    pub max_prompt: Tokens,
    /// Time limit of a request.
    pub time_limit: Micros,
}

impl ClassLoad {
    /// Returns the mean of the output distribution.
    fn mean_output(&self) -> f64 {
        let (min, max, shape) = (self.min_output, self.max_output, self.shape);
        let norm = min.powf(shape) / (1.0 - (min / max).powf(shape));
        norm * shape / (shape - 1.0) * (min.powf(1.0 - shape) - max.powf(1.0 - shape))
    }

    fn sample_output(&self, rng: &mut impl Rng) -> Tokens {
        let ratio = (self.min_output / self.max_output).powf(self.shape);
        let quantile: f64 = rng.random();
        (self.min_output / (1.0 - quantile * (1.0 - ratio)).powf(1.0 / self.shape)) as Tokens
    }
}

/// Generates the requests of one class, independently of the other classes: a run without one class
/// has the same requests of the remaining classes.
pub(super) fn generate(
    load: &ClassLoad,
    seed: u64,
    tokens_per_second: f64,
    until: Micros,
    routers: usize,
    customers: &[f64],
) -> Vec<LoadRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((load.class as u64 + 1) << 32));
    let mean_rate = tokens_per_second * load.share / load.mean_output();
    let peak_rate = mean_rate * 2.0 * PEAK_RATIO / (1.0 + PEAK_RATIO);
    let total_share: f64 = customers.iter().sum();
    let mut requests = Vec::new();
    let mut time = 0.0;
    loop {
        time += -(1.0 - rng.random::<f64>()).ln() / peak_rate * SECOND as f64;
        let now = time as Micros;
        let keep: f64 = rng.random();
        let router = rng.random_range(0..routers);
        let mut remaining = rng.random::<f64>() * total_share;
        let output = load.sample_output(&mut rng);
        let prompt = rng.random_range(20..=load.max_prompt);
        if now >= until {
            return requests;
        }
        // Requests are drawn at the peak rate; phases of low load drop most of them.
        let is_peak = (now / PHASE_LENGTH) % 2 == 1;
        if !is_peak && keep > 1.0 / PEAK_RATIO {
            continue;
        }
        let customer = customers.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        requests.push(LoadRequest {
            arrival: now,
            router,
            customer: customer.unwrap_or(0),
            class: load.class,
            prompt,
            output,
            deadline: now + load.time_limit,
        });
    }
}
