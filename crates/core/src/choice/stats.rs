use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{Tokens, admission::WorkClass, choice::WorkSpec};

/// Token times that are kept. Their median ignores the pause of a single stream, and five slow
/// tokens change it, well within the 2 s in which a slow endpoint must lose traffic.
const TOKEN_SAMPLES: usize = 9;
/// Token time assumed before any was observed, in seconds.
const TOKEN_TIME: f64 = 0.02;
/// Times the median of its peers from which an endpoint counts as slow. Healthy engines differ by
/// their batch sizes, which stays below this factor.
const SLOW_FACTOR: f64 = 1.6;
/// Traffic share that an endpoint regains in one second.
const REGAIN_PER_SECOND: f64 = 0.1;
/// Smallest traffic share, so that an endpoint can always be observed again.
const WEIGHT_MIN: f64 = 0.01;
/// Times the least first-token time from which an endpoint counts as queueing.
const QUEUE_FACTOR: f64 = 2.5;
/// Factor on the concurrency limit when the endpoint queues.
const LIMIT_BACKOFF: f64 = 0.9;
/// Least time between two reductions; the requests in flight at the first show the old limit.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the limit that long work may use, so that short work finds a slot.
const LONG_SHARE: f64 = 0.75;
/// Slots beyond the limit that short work may use; engines run it first by its priority.
const SHORT_EXTRA: f64 = 1.0;
/// Prompt tokens that take as long as one output token.
const PROMPT_PER_OUTPUT: f64 = 200.0;
/// Time constant with which a late load report loses its value.
const REPORT_DECAY: Duration = Duration::from_secs(5);
/// Prefix hints that are kept for one endpoint.
const HINT_LIMIT: usize = 64;
/// Output assumed for a request that a report counts, in tokens.
const REPORT_WORK: f64 = 200.0;
/// Time for which an endpoint that failed gets no work unless nothing else has room.
const FAIL_PAUSE: Duration = Duration::from_secs(1);

/// Silence of long work from which it counts as held back by the endpoint.
const LONG_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an endpoint is kept free for a suspect. The suspect's router renews it.
const KEEP_FREE: Duration = Duration::from_millis(500);

/// Number of one open request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub(super) u64);

/// Load as an endpoint reports it, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time that the report describes.
    pub at: Instant,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited at the endpoint.
    pub queued: u32,
}

/// First token of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstToken {
    /// Class of the request.
    pub class: WorkClass,
    /// Time since the request was sent.
    pub time: Duration,
    /// Whether it took so long that the request must have waited at the endpoint.
    pub delayed: bool,
}

#[derive(Debug)]
struct OpenWork {
    id: WorkId,
    class: WorkClass,
    prompt: Tokens,
    left: Tokens,
    sent: Instant,
    last: Instant,
    started: bool,
    isolated: bool,
}

/// What one router knows of one endpoint.
#[derive(Debug)]
pub struct EndpointStats {
    slots: u32,
    limit: f64,
    backed_off: Option<Instant>,
    token_times: VecDeque<f64>,
    token_time: Option<f64>,
    first_least: [f64; 16],
    seen: Option<Instant>,
    probed: Option<Instant>,
    failed: Option<Instant>,
    weight: f64,
    weighed: Option<Instant>,
    open: Vec<OpenWork>,
    report: Option<LoadReport>,
    hints: VecDeque<u64>,
    kept_free: Option<Instant>,
}

impl EndpointStats {
    pub(super) fn new(slots: u32, routers: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            // A fair share and half again: routers are never loaded exactly alike.
            limit: (f64::from(slots) * 1.5 / f64::from(routers))
                .ceil()
                .clamp(1.0, f64::from(slots)),
            backed_off: None,
            token_times: VecDeque::with_capacity(TOKEN_SAMPLES),
            token_time: None,
            first_least: [f64::INFINITY; 16],
            seen: None,
            probed: None,
            failed: None,
            weight: 1.0,
            weighed: None,
            open: Vec::new(),
            report: None,
            hints: VecDeque::new(),
            kept_free: None,
        }
    }

    /// Share of its usual traffic that the endpoint gets, in (0, 1].
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Requests that this router may have open at the endpoint.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Requests that this router has open at the endpoint.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Observed time for one token, in seconds.
    pub fn token_time(&self) -> Option<f64> {
        self.token_time
    }

    /// Estimated outstanding work of this router in tokens.
    pub fn outstanding(&self) -> Tokens {
        self.open.iter().map(|work| work.left).sum()
    }

    /// Takes a late load report; an older one than known changes nothing.
    pub fn update_report(&mut self, report: LoadReport) {
        if self.report.is_none_or(|known| known.at < report.at) {
            self.report = Some(report);
        }
    }

    /// Notes that the endpoint's prompt cache probably holds a prefix.
    pub fn add_hint(&mut self, prefix: u64) {
        self.hints.retain(|known| *known != prefix);
        if self.hints.len() == HINT_LIMIT {
            self.hints.pop_front();
        }
        self.hints.push_back(prefix);
    }

    /// Forgets a prefix that the endpoint reports as evicted.
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
            .filter(|work| work.class == WorkClass::Long);
        long.count()
    }

    pub(super) fn is_unseen(&self, interval: Duration, now: Instant) -> bool {
        let latest = self.seen.max(self.probed);
        latest.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    pub(super) fn note_probe(&mut self, now: Instant) {
        self.probed = Some(now);
    }

    pub(super) fn begin(&mut self, id: WorkId, need: &WorkSpec<'_>, now: Instant) {
        self.open.push(OpenWork {
            id,
            class: need.class,
            prompt: need.prompt,
            left: need.work,
            sent: now,
            last: now,
            started: false,
            isolated: need.isolate,
        });
        if let Some(prefix) = need.prefix {
            self.add_hint(prefix);
        }
    }

    /// Takes generated tokens; describes the first one of a request.
    pub(super) fn progress(
        &mut self,
        id: WorkId,
        tokens: Tokens,
        now: Instant,
    ) -> Option<FirstToken> {
        let work = self.open.iter_mut().find(|work| work.id == id)?;
        self.seen = Some(now);
        self.failed = None;
        work.left = work.left.saturating_sub(tokens).max(1);
        let since = now.saturating_duration_since(work.last).as_secs_f64();
        work.last = now;
        if work.started {
            self.observe(since / tokens.max(1) as f64);
            return None;
        }
        work.started = true;
        let first = now.saturating_duration_since(work.sent);
        let (prompt, class) = (work.prompt, work.class);
        let delayed = self.adapt_limit(class, prompt, first.as_secs_f64(), now);
        Some(FirstToken {
            class,
            time: first,
            delayed,
        })
    }

    pub(super) fn finish(&mut self, id: WorkId, output: Option<Tokens>, now: Instant) {
        let Some(index) = self.open.iter().position(|work| work.id == id) else {
            return;
        };
        let work = self.open.swap_remove(index);
        let Some(output) = output else { return };
        self.failed = None;
        // An answer that came as a whole shows its token time only here.
        if !work.started && output > 0 {
            let elapsed = now.saturating_duration_since(work.sent).as_secs_f64();
            self.seen = Some(now);
            self.observe(elapsed / output as f64);
        }
    }

    pub(super) fn fail(&mut self, id: WorkId, now: Instant) {
        self.open.retain(|work| work.id != id);
        self.failed = Some(now);
        self.weight = self.weight.min(0.5);
        self.weighed = Some(now);
    }

    /// Lowers the share of a slow endpoint at once and raises it gradually.
    pub(super) fn update_weight(&mut self, peers: f64, now: Instant) {
        let target = self.target_weight(peers, now);
        let elapsed = self
            .weighed
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.weighed = Some(now);
        let regained = self.weight + REGAIN_PER_SECOND * elapsed.as_secs_f64();
        self.weight = target.min(regained).max(WEIGHT_MIN);
    }

    fn target_weight(&self, peers: f64, now: Instant) -> f64 {
        if self
            .failed
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

    /// Observed token time; the silence of all open streams counts as soon as it is longer.
    ///
    /// Long work is left out, as engines pause it for more urgent work.
    fn current_token_time(&self, now: Instant) -> Option<f64> {
        let observed = self.token_time?;
        let streams = self.open.iter();
        let silences = streams
            .filter(|work| work.started && work.class != WorkClass::Long)
            .map(|work| now.saturating_duration_since(work.last).as_secs_f64());
        Some(
            silences
                .reduce(f64::min)
                .map_or(observed, |silence| silence.max(observed)),
        )
    }

    pub(super) fn has_room(&self, need: &WorkSpec<'_>, now: Instant) -> bool {
        if need.isolate {
            return self.open.is_empty();
        }
        if self.is_kept_free(now) || self.open.iter().any(|work| work.isolated) {
            return false;
        }
        let open = self.open.len() as f64;
        match need.class {
            WorkClass::Short => open < (self.limit + SHORT_EXTRA).min(f64::from(self.slots)),
            WorkClass::Normal => open < self.limit,
            WorkClass::Long => {
                open < self.limit
                    && (self.long_open() as f64) < (self.limit * LONG_SHARE).max(1.0)
                    && !self.holds_back_long(now)
            }
        }
    }

    /// Keeps new work away for a moment, so that a suspect can run alone once the open work ends.
    pub(super) fn keep_free(&mut self, now: Instant) {
        self.kept_free = Some(now + KEEP_FREE);
    }

    pub(super) fn is_kept_free(&self, now: Instant) -> bool {
        self.kept_free.is_some_and(|until| until > now)
    }

    /// Whether long work of this router waits or is paused at the endpoint. More of it would wait
    /// there unseen, where its deadline cannot be judged.
    fn holds_back_long(&self, now: Instant) -> bool {
        let mut long = self
            .open
            .iter()
            .filter(|work| work.class == WorkClass::Long);
        long.any(|work| now.saturating_duration_since(work.last) > LONG_PAUSE)
    }

    /// Expected seconds until a request would be answered.
    pub(super) fn expected_time(&self, need: &WorkSpec<'_>, peers: f64, now: Instant) -> f64 {
        let token_time = self.current_token_time(now).unwrap_or(peers);
        let ahead = self.outstanding() as f64 + self.foreign_work(now);
        let prompt = need.prompt as f64 / PROMPT_PER_OUTPUT;
        token_time * (need.work as f64 + prompt + ahead / f64::from(self.slots))
    }

    /// Seconds that the prompt takes when it is not cached.
    pub(super) fn prompt_time(&self, need: &WorkSpec<'_>) -> f64 {
        self.token_time.unwrap_or(TOKEN_TIME) * need.prompt as f64 / PROMPT_PER_OUTPUT
    }

    /// Work of other routers, as far as a report is newer than the own observations.
    fn foreign_work(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        if self.seen.is_some_and(|seen| seen > report.at) {
            return 0.0;
        }
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let others = f64::from(report.running + report.queued) - self.open.len() as f64;
        others.max(0.0) * REPORT_WORK * (-age / REPORT_DECAY.as_secs_f64()).exp()
    }

    fn observe(&mut self, token_time: f64) {
        if self.token_times.len() == TOKEN_SAMPLES {
            self.token_times.pop_front();
        }
        self.token_times.push_back(token_time);
        let mut sorted: Vec<f64> = self.token_times.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.token_time = Some(sorted[sorted.len() / 2]);
    }

    /// Lowers the concurrency limit when the endpoint queues and returns `true`, or raises it while it does not.
    fn adapt_limit(&mut self, class: WorkClass, prompt: Tokens, first: f64, now: Instant) -> bool {
        let bucket = prompt.max(1).ilog2().min(15) as usize;
        let least = &mut self.first_least[bucket];
        // The least value rises slowly, so that a changed endpoint gets a new baseline.
        *least = (*least * 1.01).min(first);
        let delayed = first > *least * QUEUE_FACTOR + queue_allowance(class);
        if delayed {
            let rests = self
                .backed_off
                .is_none_or(|at| now.saturating_duration_since(at) >= BACKOFF_INTERVAL);
            if rests {
                self.limit = (self.limit * LIMIT_BACKOFF).max(1.0);
                self.backed_off = Some(now);
            }
        } else if self.open.len() as f64 + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
        delayed
    }
}

/// Wait at the endpoint, in seconds, that is no reason to lower its limit. Some waiting long work
/// keeps the slots of an endpoint in use; urgent work should not wait at all.
fn queue_allowance(class: WorkClass) -> f64 {
    match class {
        WorkClass::Short => 0.1,
        WorkClass::Normal => 0.3,
        WorkClass::Long => 3.0,
    }
}
