use std::collections::{BTreeMap, BTreeSet};

use jasminewall_core::Tokens;

use super::{JobId, Micros, SECOND};

/// Time per output token of a request that runs alone.
pub(super) const TOKEN_TIME: Micros = 20_000;
/// Slowdown of all requests for each additional request in the batch, in percent.
const BATCH_SLOWDOWN_PERCENT: u64 = 1;
/// Number of prompt tokens that take as long to process as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 200;
/// Length of an interval with constant noise.
const NOISE_INTERVAL: Micros = SECOND / 2;
/// Mean number of noise intervals per interval in which an engine is slower.
const INTERVALS_PER_NOISE: u64 = 20;
/// Slowdown in an interval with noise, in percent.
const NOISE_PERCENT: u64 = 40;

/// Period in which one engine is slower for a reason that is not visible to the routers.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Index of the slowed engine.
    pub engine: usize,
    /// Start of the period.
    pub from: Micros,
    /// End of the period.
    pub until: Micros,
    /// Factor by which all times are multiplied.
    pub factor: u64,
}

/// Simulated engine with a batch of slots and a priority queue.
#[derive(Debug)]
pub(super) struct SimEngine {
    pub(super) index: usize,
    pub(super) slots: usize,
    /// Whether the engine pauses less urgent jobs for more urgent ones.
    pub(super) preempts: bool,
    /// Priority and job of each slot in use.
    pub(super) running: BTreeSet<(u8, JobId)>,
    /// Tokens to process before the next output token, by priority and job.
    pub(super) waiting: BTreeMap<(u8, JobId), Tokens>,
    pub(super) slowdowns: Vec<Slowdown>,
}

/// Next scheduling decision of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) enum EngineStep {
    /// Takes a job into the batch; the job first processes this many tokens.
    Start(JobId, Tokens),
    /// Removes a job with this priority from the batch; the caller puts it back into the queue.
    Pause(u8, JobId),
}

impl SimEngine {
    pub(super) fn new(index: usize, slots: usize, preempts: bool, slowdowns: &[Slowdown]) -> Self {
        let slowdowns = slowdowns.iter().filter(|slowdown| slowdown.engine == index);
        Self {
            index,
            slots,
            preempts,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            slowdowns: slowdowns.copied().collect(),
        }
    }

    /// Takes the next waiting job into the batch, or pauses a less urgent job for it.
    pub(super) fn step(&mut self) -> Option<EngineStep> {
        let (&(priority, job), &tokens) = self.waiting.first_key_value()?;
        if self.running.len() < self.slots {
            self.waiting.pop_first();
            self.running.insert((priority, job));
            return Some(EngineStep::Start(job, tokens));
        }
        let &(lowest, paused) = self.running.last()?;
        if !self.preempts || lowest <= priority {
            return None;
        }
        self.running.pop_last();
        Some(EngineStep::Pause(lowest, paused))
    }

    pub(super) fn remove(&mut self, job: JobId) {
        self.running.retain(|(_, running)| *running != job);
        self.waiting.retain(|(_, waiting), _| *waiting != job);
    }

    /// Returns the time until the next output token of a job that has to process tokens first.
    pub(super) fn prefill_time(&self, tokens: Tokens, now: Micros) -> Micros {
        self.token_time(now) * (tokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN)
            / PROMPT_TOKENS_PER_OUTPUT_TOKEN
    }

    /// Returns the time until the next output token of a running job.
    pub(super) fn token_time(&self, now: Micros) -> Micros {
        let others = self.running.len().saturating_sub(1) as u64;
        let time = TOKEN_TIME * (100 + others * BATCH_SLOWDOWN_PERCENT) / 100;
        let slowdown = self
            .slowdowns
            .iter()
            .find(|slowdown| (slowdown.from..slowdown.until).contains(&now));
        time * slowdown.map_or(1, |slowdown| slowdown.factor) * self.noise_percent(now) / 100
    }

    /// Returns the time per token as a percentage of the time without noise.
    fn noise_percent(&self, now: Micros) -> u64 {
        // A multiplicative hash of the engine and the interval: the noise is the same in every run.
        let seed = now / NOISE_INTERVAL * 1_000 + self.index as u64;
        let hash = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        if hash.is_multiple_of(INTERVALS_PER_NOISE) {
            100 + NOISE_PERCENT
        } else {
            100
        }
    }
}
