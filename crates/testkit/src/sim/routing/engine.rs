use std::collections::{BTreeMap, BTreeSet};

use jasminewall_core::Tokens;

use super::{JobId, Micros, SECOND};

/// Time for one token of a request that runs alone.
pub(super) const TOKEN_TIME: Micros = 20_000;
/// Slowdown of all requests by each further request in the batch, in percent.
const BATCH_PERCENT: u64 = 1;
/// Prompt tokens that take as long as one output token.
const PROMPT_PER_OUTPUT: u64 = 200;
/// Length of the slowdowns in which noise is drawn anew.
const NOISE_SPELL: Micros = SECOND / 2;
/// Every engine is slower in one spell out of this many.
const NOISE_ONE_IN: u64 = 20;
/// Slowdown in a noisy spell, in percent.
const NOISE_PERCENT: u64 = 40;

/// Time in which one engine is slowed by something that the routers cannot see.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Index of the engine.
    pub engine: usize,
    /// Start of the spell.
    pub from: Micros,
    /// End of the spell.
    pub until: Micros,
    /// Factor on all times.
    pub factor: u64,
}

/// Simulated engine: a batch of slots and a queue in order of priority.
#[derive(Debug)]
pub(super) struct SimEngine {
    pub(super) index: usize,
    pub(super) slots: usize,
    pub(super) preempts: bool,
    /// Priority and job of each slot in use.
    pub(super) running: BTreeSet<(u8, JobId)>,
    /// Tokens to read before the first or next token, by priority and job.
    pub(super) waiting: BTreeMap<(u8, JobId), Tokens>,
    pub(super) slowdowns: Vec<Slowdown>,
}

/// What an engine does next.
#[derive(Clone, Copy, Debug)]
pub(super) enum EngineStep {
    /// Takes a job into the batch and reads this many tokens.
    Start(JobId, Tokens),
    /// Pauses a job; it waits until it is put back into the queue.
    Pause(u8, JobId),
}

impl SimEngine {
    pub(super) fn new(index: usize, slots: usize, preempts: bool, slowdowns: &[Slowdown]) -> Self {
        let slowdowns = slowdowns.iter().filter(|spell| spell.engine == index);
        Self {
            index,
            slots,
            preempts,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            slowdowns: slowdowns.copied().collect(),
        }
    }

    /// Takes the next waiting request into the batch, or pauses a less urgent one for it.
    pub(super) fn step(&mut self) -> Option<EngineStep> {
        let (&(priority, job), &tokens) = self.waiting.first_key_value()?;
        if self.running.len() < self.slots {
            self.waiting.pop_first();
            self.running.insert((priority, job));
            return Some(EngineStep::Start(job, tokens));
        }
        let &(least, paused) = self.running.last()?;
        if !self.preempts || least <= priority {
            return None;
        }
        self.running.pop_last();
        Some(EngineStep::Pause(least, paused))
    }

    pub(super) fn remove(&mut self, job: JobId) {
        self.running.retain(|(_, running)| *running != job);
        self.waiting.retain(|(_, waiting), _| *waiting != job);
    }

    /// Time until the next token of a request that has to read tokens first.
    pub(super) fn first_time(&self, tokens: Tokens, now: Micros) -> Micros {
        self.token_time(now) * (tokens + PROMPT_PER_OUTPUT) / PROMPT_PER_OUTPUT
    }

    /// Time until the next token.
    pub(super) fn token_time(&self, now: Micros) -> Micros {
        let others = self.running.len().saturating_sub(1) as u64;
        let time = TOKEN_TIME * (100 + others * BATCH_PERCENT) / 100;
        let spell = self
            .slowdowns
            .iter()
            .find(|spell| (spell.from..spell.until).contains(&now));
        time * spell.map_or(1, |spell| spell.factor) * self.noise(now) / 100
    }

    fn noise(&self, now: Micros) -> u64 {
        // A multiplicative hash of engine and spell; the noise is the same in every run.
        let spell = now / NOISE_SPELL * 1_000 + self.index as u64;
        let drawn = spell.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        if drawn.is_multiple_of(NOISE_ONE_IN) {
            100 + NOISE_PERCENT
        } else {
            100
        }
    }
}
