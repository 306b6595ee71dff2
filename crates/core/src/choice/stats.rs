use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{Tokens, admission::WorkClass, choice::RequestSpec};

/// Number of token times kept. Their median ignores a pause of a single stream but changes after five
/// slow tokens, well within the 2 s in which a slow endpoint must lose traffic.
const TOKEN_SAMPLES: usize = 9;
/// Token time assumed before the first observation, in seconds.
const DEFAULT_TOKEN_TIME: f64 = 0.02;
/// Multiple of the peers' median token time from which an endpoint is slow. Differences between
/// healthy engines due to batch sizes stay below this factor.
const SLOW_FACTOR: f64 = 1.6;
/// Traffic weight that an endpoint regains per second.
const REGAIN_PER_SECOND: f64 = 0.1;
/// Minimum traffic weight, so that an endpoint can always be observed again.
const WEIGHT_MIN: f64 = 0.01;
/// Multiple of the minimum first-token time from which an endpoint is queueing.
const QUEUE_FACTOR: f64 = 2.5;
/// Factor on the concurrency limit when the endpoint is queueing.
const LIMIT_BACKOFF: f64 = 0.9;
/// Minimum time between two reductions of the limit; requests in flight at the first one still
/// reflect the old limit.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum share of the limit for long work, so that short work finds a slot.
const LONG_SHARE: f64 = 0.75;
/// Slots above the limit that short work may use; engines prioritize it.
const SHORT_EXTRA: f64 = 1.0;
/// Number of prompt tokens that take as long as one output token.
const PROMPT_PER_OUTPUT: f64 = 200.0;
/// Time constant with which the influence of a load report decays.
const REPORT_DECAY: Duration = Duration::from_secs(5);
/// Maximum number of prefix hints per endpoint.
const HINT_LIMIT: usize = 64;
/// Output assumed per request in a load report, in tokens.
const REPORT_WORK: f64 = 200.0;
/// Time for which a failed endpoint gets no work unless no other one has capacity.
const FAIL_PAUSE: Duration = Duration::from_secs(1);

/// Time without progress from which long work counts as paused by the endpoint.
const LONG_PAUSE: Duration = Duration::from_secs(1);

/// Time for which new work is blocked for an isolated request. Renewed while that request waits.
const BLOCK_TIME: Duration = Duration::from_millis(500);

/// Id of one attempt to run a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub(super) u64);

/// Load reported by an endpoint, with a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time to which the report applies.
    pub at: Instant,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the endpoint.
    pub queued: u32,
}

/// First token of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstToken {
    /// Class of the request.
    pub class: WorkClass,
    /// Time since the request was sent.
    pub time: Duration,
    /// Whether it took so long that the request must have been queued at the endpoint.
    pub delayed: bool,
}

#[derive(Debug)]
struct OpenAttempt {
    id: AttemptId,
    class: WorkClass,
    prompt: Tokens,
    remaining: Tokens,
    sent: Instant,
    last: Instant,
    started: bool,
    isolated: bool,
}

/// Statistics of one router about one endpoint.
#[derive(Debug)]
pub struct EndpointStats {
    slots: u32,
    limit: f64,
    last_backoff: Option<Instant>,
    token_times: VecDeque<f64>,
    token_time: Option<f64>,
    min_first_token: [f64; 16],
    last_progress: Option<Instant>,
    last_probe: Option<Instant>,
    last_failure: Option<Instant>,
    weight: f64,
    weight_updated: Option<Instant>,
    open: Vec<OpenAttempt>,
    report: Option<LoadReport>,
    hints: VecDeque<u64>,
    blocked_until: Option<Instant>,
}

impl EndpointStats {
    pub(super) fn new(slots: u32, routers: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            // 1.5 times a fair share, since routers are never loaded equally.
            limit: (f64::from(slots) * 1.5 / f64::from(routers))
                .ceil()
                .clamp(1.0, f64::from(slots)),
            last_backoff: None,
            token_times: VecDeque::with_capacity(TOKEN_SAMPLES),
            token_time: None,
            min_first_token: [f64::INFINITY; 16],
            last_progress: None,
            last_probe: None,
            last_failure: None,
            weight: 1.0,
            weight_updated: None,
            open: Vec::new(),
            report: None,
            hints: VecDeque::new(),
            blocked_until: None,
        }
    }

    /// Traffic weight of the endpoint as a share of its normal traffic, in (0, 1].
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Concurrency limit of this router at the endpoint.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Number of requests that this router has open at the endpoint.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Observed time per token, in seconds.
    pub fn token_time(&self) -> Option<f64> {
        self.token_time
    }

    /// Estimated outstanding work of this router in tokens.
    pub fn outstanding(&self) -> Tokens {
        self.open.iter().map(|attempt| attempt.remaining).sum()
    }

    /// Stores a load report unless it is older than the current one.
    pub fn update_report(&mut self, report: LoadReport) {
        if self.report.is_none_or(|known| known.at < report.at) {
            self.report = Some(report);
        }
    }

    /// Records that the endpoint's prompt cache probably contains a prefix.
    pub fn add_hint(&mut self, prefix: u64) {
        self.hints.retain(|known| *known != prefix);
        if self.hints.len() == HINT_LIMIT {
            self.hints.pop_front();
        }
        self.hints.push_back(prefix);
    }

    /// Removes a prefix that the endpoint reported as evicted.
    pub fn remove_hint(&mut self, prefix: u64) {
        self.hints.retain(|known| *known != prefix);
    }

    pub(super) fn has_prefix(&self, prefix: u64) -> bool {
        self.hints.contains(&prefix)
    }

    pub(super) fn long_open(&self) -> usize {
        let long = self
            .open
            .iter()
            .filter(|attempt| attempt.class == WorkClass::Long);
        long.count()
    }

    pub(super) fn is_probe_due(&self, interval: Duration, now: Instant) -> bool {
        let latest = self.last_progress.max(self.last_probe);
        latest.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    pub(super) fn record_probe(&mut self, now: Instant) {
        self.last_probe = Some(now);
    }

    pub(super) fn begin(&mut self, id: AttemptId, spec: &RequestSpec<'_>, now: Instant) {
        self.open.push(OpenAttempt {
            id,
            class: spec.class,
            prompt: spec.prompt,
            remaining: spec.expected_output,
            sent: now,
            last: now,
            started: false,
            isolated: spec.isolate,
        });
        if let Some(prefix) = spec.prefix {
            self.add_hint(prefix);
        }
    }

    /// Records generated tokens; returns the first token of a request.
    pub(super) fn progress(
        &mut self,
        id: AttemptId,
        tokens: Tokens,
        now: Instant,
    ) -> Option<FirstToken> {
        let attempt = self.open.iter_mut().find(|attempt| attempt.id == id)?;
        self.last_progress = Some(now);
        self.last_failure = None;
        attempt.remaining = attempt.remaining.saturating_sub(tokens).max(1);
        let since = now.saturating_duration_since(attempt.last).as_secs_f64();
        attempt.last = now;
        if attempt.started {
            self.record_token_time(since / tokens.max(1) as f64);
            return None;
        }
        attempt.started = true;
        let first = now.saturating_duration_since(attempt.sent);
        let (prompt, class) = (attempt.prompt, attempt.class);
        let delayed = self.adapt_limit(class, prompt, first.as_secs_f64(), now);
        Some(FirstToken {
            class,
            time: first,
            delayed,
        })
    }

    pub(super) fn finish(&mut self, id: AttemptId, output: Option<Tokens>, now: Instant) {
        let Some(index) = self.open.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = self.open.swap_remove(index);
        let Some(output) = output else { return };
        self.last_failure = None;
        // A response that was not streamed shows its token time only at the end.
        if !attempt.started && output > 0 {
            let elapsed = now.saturating_duration_since(attempt.sent).as_secs_f64();
            self.last_progress = Some(now);
            self.record_token_time(elapsed / output as f64);
        }
    }

    pub(super) fn fail(&mut self, id: AttemptId, now: Instant) {
        self.open.retain(|attempt| attempt.id != id);
        self.last_failure = Some(now);
        self.weight = self.weight.min(0.5);
        self.weight_updated = Some(now);
    }

    /// Lowers the weight of a slow endpoint immediately and raises it gradually.
    pub(super) fn update_weight(&mut self, peers: f64, now: Instant) {
        let target = self.target_weight(peers, now);
        let elapsed = self
            .weight_updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.weight_updated = Some(now);
        let regained = self.weight + REGAIN_PER_SECOND * elapsed.as_secs_f64();
        self.weight = target.min(regained).max(WEIGHT_MIN);
    }

    fn target_weight(&self, peers: f64, now: Instant) -> f64 {
        if self
            .last_failure
            .is_some_and(|at| now.saturating_duration_since(at) < FAIL_PAUSE)
        {
            return WEIGHT_MIN;
        }
        let own = self.current_token_time(now).unwrap_or(peers);
        let ratio = own / peers.max(1e-6);
        if ratio < SLOW_FACTOR {
            return 1.0;
        }
        // The square keeps the traffic of a slow endpoint below its remaining capacity.
        1.0 / (ratio * ratio)
    }

    /// Observed token time, or the time in which no open stream made progress if that is longer.
    ///
    /// Ignores long work, which engines pause for more urgent work.
    fn current_token_time(&self, now: Instant) -> Option<f64> {
        let observed = self.token_time?;
        let streams = self.open.iter();
        let stalls = streams
            .filter(|attempt| attempt.started && attempt.class != WorkClass::Long)
            .map(|attempt| now.saturating_duration_since(attempt.last).as_secs_f64());
        Some(
            stalls
                .reduce(f64::min)
                .map_or(observed, |stall| stall.max(observed)),
        )
    }

    pub(super) fn has_capacity(&self, spec: &RequestSpec<'_>, now: Instant) -> bool {
        if spec.isolate {
            return self.open.is_empty();
        }
        if self.is_blocked(now) || self.open.iter().any(|attempt| attempt.isolated) {
            return false;
        }
        let open = self.open.len() as f64;
        match spec.class {
            WorkClass::Short => open < (self.limit + SHORT_EXTRA).min(f64::from(self.slots)),
            WorkClass::Normal => open < self.limit,
            WorkClass::Long => {
                open < self.limit
                    && (self.long_open() as f64) < (self.limit * LONG_SHARE).max(1.0)
                    && !self.has_paused_long_work(now)
            }
        }
    }

    /// Blocks new work for a short time, so that an isolated request can run once the open work ends.
    pub(super) fn block_new_work(&mut self, now: Instant) {
        self.blocked_until = Some(now + BLOCK_TIME);
    }

    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Whether long work of this router is queued or paused at the endpoint. More of it would wait at
    /// the endpoint, where its deadline cannot be checked.
    fn has_paused_long_work(&self, now: Instant) -> bool {
        let mut long = self
            .open
            .iter()
            .filter(|attempt| attempt.class == WorkClass::Long);
        long.any(|attempt| now.saturating_duration_since(attempt.last) > LONG_PAUSE)
    }

    /// Expected time until a request is answered, in seconds.
    pub(super) fn expected_time(&self, spec: &RequestSpec<'_>, peers: f64, now: Instant) -> f64 {
        let token_time = self.current_token_time(now).unwrap_or(peers);
        let ahead = self.outstanding() as f64 + self.other_routers_work(now);
        let prompt = spec.prompt as f64 / PROMPT_PER_OUTPUT;
        token_time * (spec.expected_output as f64 + prompt + ahead / f64::from(self.slots))
    }

    /// Time to process the prompt if it is not cached, in seconds.
    pub(super) fn prompt_time(&self, spec: &RequestSpec<'_>) -> f64 {
        self.token_time.unwrap_or(DEFAULT_TOKEN_TIME) * spec.prompt as f64 / PROMPT_PER_OUTPUT
    }

    /// Work of other routers in tokens, if a load report is newer than this router's observations.
    fn other_routers_work(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        if self
            .last_progress
            .is_some_and(|last_progress| last_progress > report.at)
        {
            return 0.0;
        }
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let others = f64::from(report.running + report.queued) - self.open.len() as f64;
        others.max(0.0) * REPORT_WORK * (-age / REPORT_DECAY.as_secs_f64()).exp()
    }

    fn record_token_time(&mut self, token_time: f64) {
        if self.token_times.len() == TOKEN_SAMPLES {
            self.token_times.pop_front();
        }
        self.token_times.push_back(token_time);
        let mut sorted: Vec<f64> = self.token_times.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.token_time = Some(sorted[sorted.len() / 2]);
    }

    /// Lowers the concurrency limit and returns `true` if the endpoint is queueing; raises it otherwise.
    fn adapt_limit(&mut self, class: WorkClass, prompt: Tokens, first: f64, now: Instant) -> bool {
        let bucket = prompt.max(1).ilog2().min(15) as usize;
        let minimum = &mut self.min_first_token[bucket];
        // The minimum rises slowly, so that a changed endpoint gets a new baseline.
        *minimum = (*minimum * 1.01).min(first);
        let delayed = first > *minimum * QUEUE_FACTOR + queue_allowance(class);
        if delayed {
            let may_back_off = self
                .last_backoff
                .is_none_or(|at| now.saturating_duration_since(at) >= BACKOFF_INTERVAL);
            if may_back_off {
                self.limit = (self.limit * LIMIT_BACKOFF).max(1.0);
                self.last_backoff = Some(now);
            }
        } else if self.open.len() as f64 + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
        delayed
    }
}

/// Queueing time at the endpoint, in seconds, that does not lower its limit. Some queued long work
/// keeps the slots of an endpoint in use; urgent work should not queue at all.
fn queue_allowance(class: WorkClass) -> f64 {
    match class {
        WorkClass::Short => 0.1,
        WorkClass::Normal => 0.3,
        WorkClass::Long => 3.0,
    }
}
