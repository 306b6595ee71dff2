//! Tokens that other routers can supply, for routers of a large fleet.
//!
//! Handles the load of a customer whose tokens run short: without a memory of the answers, each of
//! its requests asks all owners of grants and waits for their answers before it is refused.

use std::time::{Duration, Instant};

use {
    jasminewall_core::Tokens,
    serde::{Deserialize, Serialize},
};

/// Longest wait for tokens before a request is refused; a late refusal is worth less to the caller.
pub const SUPPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for tokens in a large fleet, as a part of the route's target latency. The endpoint
/// needs most of the rest, so tokens that come later serve no caller in time.
const TARGET_DIVISOR: u32 = 4;
/// Longest time for which owners are not asked again. Left-over tokens return to owners within
/// 100 ms, and open tokens grow, so a longer memory would refuse requests that could be served.
const MEMORY_TIME_MAX: Duration = Duration::from_millis(250);
/// The same for answers that name no time; left-over tokens are handed over after it.
const MEMORY_TIME: Duration = Duration::from_millis(100);
/// Time within which an owner in contact with the store writes its account; a few transactions.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Time that an owner names while the store is away and its grant does not cover the request. The end
/// of an outage is unknown; callers that return each second find it soon and cost little.
const STORE_RETURN_TIME: Duration = Duration::from_millis(1_000);
/// Shortest interval over which the returns of refused callers are spread: several times the
/// difference between the refusals of one shortage.
const SPREAD_MIN: Duration = Duration::from_millis(200);
/// Tokens given to peers count as possibly returned for this time to twice this time. What a router
/// took ahead of its demand and did not use comes back within it. Of what requests use, only the
/// surplus of their largest output returns later; counting all of it would keep callers of a spent
/// budget returning for seconds.
const LENT_WINDOW: Duration = Duration::from_millis(500);

/// Longest wait of a request for tokens.
pub fn longest_wait(target_latency: Duration, is_large: bool) -> Duration {
    if is_large {
        SUPPLY_TIMEOUT.min(target_latency / TARGET_DIVISOR)
    } else {
        SUPPLY_TIMEOUT
    }
}

/// Time until a refused caller returns: `delay` and up to half of it. `share` is a random number from
/// 0 to 1.
pub fn spread_delay(delay: Duration, share: f64) -> Duration {
    delay + (delay / 2).max(SPREAD_MIN).mul_f64(share.clamp(0.0, 1.0))
}

/// Why a router gives fewer tokens than it was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SupplyOutlook {
    /// It owns no grant, or is of an earlier version.
    #[default]
    Unknown,
    /// The pool has too few tokens.
    PoolShort,
    /// The store is away; more of its grant opens with time.
    StoreAway,
    /// It is in contact with the store and writes its account.
    Writing,
}

/// Answer of one router that was asked for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupplyAnswer {
    /// Tokens that it gives.
    pub given: Tokens,
    /// Tokens that it recently gave to peers and that may come back.
    pub lent: Tokens,
    /// Why it gives no more.
    pub outlook: SupplyOutlook,
    /// Time in ms after which it expects to give the rest; `None` if it expects nothing.
    pub more_in_ms: Option<u32>,
}

/// Answers of all routers that were asked for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SupplyOutcome {
    /// Number of answers.
    pub answers: u32,
    /// Tokens that they gave.
    pub given: Tokens,
    /// Tokens that they lent to others.
    pub lent: Tokens,
    /// Best outlook.
    pub outlook: SupplyOutlook,
    /// Shortest time after which one expects more.
    pub more_in: Option<Duration>,
}

impl SupplyOutcome {
    /// Adds an answer.
    pub fn add(&mut self, answer: SupplyAnswer) {
        let more_in = answer
            .more_in_ms
            .map(|ms| Duration::from_millis(u64::from(ms)));
        self.answers += 1;
        self.given += answer.given;
        self.lent += answer.lent;
        self.outlook = self.outlook.max(answer.outlook);
        self.more_in = self.more_in.into_iter().chain(more_in).min();
    }
}

/// State of an owner that cannot give all tokens it was asked for.
#[derive(Clone, Copy, Debug)]
pub struct OwnerState {
    /// Tokens that it did not give.
    pub missing: Tokens,
    /// Tokens of its grant, open or not.
    pub spendable: Tokens,
    /// Growth of its open tokens while the store is away, in tokens per second.
    pub late_rate: Tokens,
    /// Whether the store is away.
    pub is_store_away: bool,
    /// Time until it reads a pool again that had too few tokens.
    pub pool_read_in: Option<Duration>,
}

impl OwnerState {
    /// Why the owner gives no more, and when it expects to.
    pub fn outlook(&self) -> (SupplyOutlook, Duration) {
        if self.is_store_away {
            let opens = self.missing <= self.spendable && self.late_rate > 0;
            let growth = self.missing.saturating_mul(1_000) / self.late_rate.max(1);
            let growth = Duration::from_millis(growth);
            let wait = if opens { growth } else { STORE_RETURN_TIME };
            return (SupplyOutlook::StoreAway, wait.min(STORE_RETURN_TIME));
        }
        match self.pool_read_in {
            Some(wait) => (SupplyOutlook::PoolShort, wait),
            None => (SupplyOutlook::Writing, WRITE_TIME),
        }
    }

    /// Answer of an owner that gave `given` tokens and lent `lent` to peers recently.
    pub fn answer(&self, given: Tokens, lent: Tokens) -> SupplyAnswer {
        let (outlook, wait) = self.outlook();
        SupplyAnswer {
            given,
            lent,
            outlook,
            more_in_ms: Some(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
        }
    }
}

/// What a router remembers of the last answers for one customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SupplyMemory {
    last: Option<KnownShortage>,
}

#[derive(Clone, Copy, Debug)]
struct KnownShortage {
    /// Tokens that were missing and that nobody gave.
    missing: Tokens,
    outcome: SupplyOutcome,
    /// Until when nobody is asked for as many tokens or more.
    until: Instant,
    /// When an owner expects more.
    more_at: Option<Instant>,
}

impl SupplyMemory {
    /// Records the answers to a router that lacked `missing` tokens. Without any answer there is
    /// nothing to remember: routers that do not answer are left out for a while anyway.
    pub fn record(&mut self, missing: Tokens, outcome: SupplyOutcome, now: Instant) {
        let missing = missing.saturating_sub(outcome.given);
        if outcome.answers == 0 || missing == 0 {
            self.last = None;
            return;
        }
        let time = outcome
            .more_in
            .map_or(MEMORY_TIME, |wait| wait.min(MEMORY_TIME_MAX));
        self.last = Some(KnownShortage {
            missing,
            outcome,
            until: now + time,
            more_at: outcome.more_in.map(|wait| now + wait),
        });
    }

    /// Recent answers, if they were too few for `missing` tokens.
    pub fn shortage(&self, missing: Tokens, now: Instant) -> Option<SupplyOutcome> {
        let last = self.last.filter(|last| now < last.until);
        last.filter(|last| missing >= last.missing)
            .map(|last| last.outcome)
    }

    /// When an owner expects more tokens, if it said so and the time has not passed.
    pub fn more_at(&self, now: Instant) -> Option<Instant> {
        self.last?.more_at.filter(|at| *at > now)
    }
}

/// Tokens that were given to peers and may come back.
#[derive(Clone, Copy, Debug, Default)]
pub struct LentTokens {
    /// Tokens given within the current window and the one before, less those handed back.
    current: Tokens,
    previous: Tokens,
    /// End of the current window.
    ends_at: Option<Instant>,
}

impl LentTokens {
    /// Tokens that may still come back.
    pub fn recent(mut self, now: Instant) -> Tokens {
        self.advance(now);
        self.current + self.previous
    }

    /// Adds tokens given to a peer.
    pub fn lend(&mut self, tokens: Tokens, now: Instant) {
        self.advance(now);
        self.current += tokens;
    }

    /// Subtracts tokens that a peer handed back.
    pub fn take_back(&mut self, tokens: Tokens, now: Instant) {
        self.advance(now);
        let rest = tokens.saturating_sub(self.previous);
        self.previous = self.previous.saturating_sub(tokens);
        self.current = self.current.saturating_sub(rest);
    }

    fn advance(&mut self, now: Instant) {
        let ends_at = self.ends_at.unwrap_or(now + LENT_WINDOW);
        if now < ends_at {
            self.ends_at = Some(ends_at);
            return;
        }
        let is_next = now < ends_at + LENT_WINDOW;
        self.previous = if is_next { self.current } else { 0 };
        self.current = 0;
        self.ends_at = Some(now + LENT_WINDOW);
    }
}
