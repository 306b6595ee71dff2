use {
    jasminewall_core::{Tokens, admission::WorkClass},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use super::{Micros, SECOND};

/// Length of one half of a load swing. The rate changes eightfold at its edges.
const SWING_HALF: Micros = 3 * SECOND;
/// Ratio of the rates in the two halves of a swing.
const SWING_RATIO: f64 = 8.0;

/// One request of the simulated load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Time at which it reaches a router.
    pub at: Micros,
    /// Router that receives it.
    pub router: usize,
    /// Customer that sends it.
    pub customer: usize,
    /// Class of work.
    pub class: WorkClass,
    /// Prompt in tokens.
    pub prompt: Tokens,
    /// Output in tokens, unknown to the router.
    pub output: Tokens,
    /// Time by which the answer must be whole.
    pub deadline: Micros,
}

/// Work of one class.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    /// Class of work.
    pub class: WorkClass,
    /// Share of all output tokens.
    pub share: f64,
    /// Smallest output in tokens.
    pub least: f64,
    /// Largest output in tokens.
    pub most: f64,
    /// Exponent of the Pareto distribution of the output between the two.
    pub tail: f64,
    /// Largest prompt in tokens.
    pub prompt: Tokens,
    /// Time limit of a request.
    pub limit: Micros,
}

impl ClassLoad {
    /// Mean output of the bounded Pareto distribution.
    fn mean(&self) -> f64 {
        let (low, high, tail) = (self.least, self.most, self.tail);
        let norm = low.powf(tail) / (1.0 - (low / high).powf(tail));
        norm * tail / (tail - 1.0) * (low.powf(1.0 - tail) - high.powf(1.0 - tail))
    }

    fn output(&self, rng: &mut impl Rng) -> Tokens {
        let ratio = (self.least / self.most).powf(self.tail);
        let place: f64 = rng.random();
        (self.least / (1.0 - place * (1.0 - ratio)).powf(1.0 / self.tail)) as Tokens
    }
}

/// Draws the load of one class. The draws of a class do not depend on the other classes, so that
/// a run without one of them sees the same requests of the rest.
pub(super) fn draw(
    mix: &ClassLoad,
    seed: u64,
    tokens_per_second: f64,
    until: Micros,
    routers: usize,
    customers: &[f64],
) -> Vec<LoadRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((mix.class as u64 + 1) << 32));
    let mean_rate = tokens_per_second * mix.share / mix.mean();
    let peak_rate = mean_rate * 2.0 * SWING_RATIO / (1.0 + SWING_RATIO);
    let total: f64 = customers.iter().sum();
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / peak_rate * SECOND as f64;
        let now = at as Micros;
        let keep: f64 = rng.random();
        let router = rng.random_range(0..routers);
        let mut place = rng.random::<f64>() * total;
        let output = mix.output(&mut rng);
        let prompt = rng.random_range(20..=mix.prompt);
        if now >= until {
            return requests;
        }
        let is_peak = (now / SWING_HALF) % 2 == 1;
        if !is_peak && keep > 1.0 / SWING_RATIO {
            continue;
        }
        let customer = customers.iter().position(|share| {
            place -= share;
            place < 0.0
        });
        requests.push(LoadRequest {
            at: now,
            router,
            customer: customer.unwrap_or(0),
            class: mix.class,
            prompt,
            output,
            deadline: now + mix.limit,
        });
    }
}
