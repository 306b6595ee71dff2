//! Test implementations of `TokenPeers`.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use {
    jasminewall_core::{CustomerId, Tokens},
    jasminewall_forward::{
        BudgetManager, DepositOutcome, TokenPeers,
        draws::{DrawRecord, DrawSurvey},
        supply::SupplyOutcome,
    },
    jasminewall_ports::StoreEra,
};

/// Answers of a router that has no peers.
const ALONE: DrawSurvey = DrawSurvey {
    keepers: 1,
    reports: Vec::new(),
};

/// Peers that never give tokens.
pub(crate) struct NoPeers;

impl TokenPeers for NoPeers {
    fn is_owner(&self, _: &CustomerId) -> bool {
        true
    }

    fn ask<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>> {
        Box::pin(async { SupplyOutcome::default() })
    }

    fn keeps_draws(&self) -> Option<bool> {
        Some(true)
    }

    fn record_draw<'a>(
        &'a self,
        _: &'a CustomerId,
        _: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async { true })
    }

    fn survey_draws<'a>(
        &'a self,
        _: &'a CustomerId,
        _: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>> {
        Box::pin(async { Some(ALONE) })
    }

    fn deposit<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>> {
        Box::pin(async { DepositOutcome::NotSent })
    }
}

/// Single peer that owns a grant, for a router that does not.
#[allow(
    dead_code,
    reason = "not every test file that shares this module needs it"
)]
pub(crate) struct OwnerPeer {
    owner: Arc<BudgetManager>,
    /// Time that an answer takes.
    delay: Duration,
    /// Number of calls for tokens.
    pub(crate) asked: AtomicU32,
}

#[allow(
    dead_code,
    reason = "not every test file that shares this module needs it"
)]
impl OwnerPeer {
    pub(crate) fn new(owner: Arc<BudgetManager>) -> Self {
        Self::slow(owner, Duration::ZERO)
    }

    pub(crate) fn slow(owner: Arc<BudgetManager>, delay: Duration) -> Self {
        Self {
            owner,
            delay,
            asked: AtomicU32::new(0),
        }
    }
}

impl TokenPeers for OwnerPeer {
    fn is_owner(&self, _: &CustomerId) -> bool {
        false
    }

    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        _: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            if !self.delay.is_zero() {
                tokio::time::sleep(self.delay).await;
            }
            let mut outcome = SupplyOutcome::default();
            outcome.add(self.owner.give_or_hint(customer, wanted, true).await);
            outcome
        })
    }

    fn keeps_draws(&self) -> Option<bool> {
        Some(true)
    }

    fn record_draw<'a>(
        &'a self,
        _: &'a CustomerId,
        _: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async { true })
    }

    fn survey_draws<'a>(
        &'a self,
        _: &'a CustomerId,
        _: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>> {
        Box::pin(async { Some(ALONE) })
    }

    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>> {
        self.owner.take_back(customer, tokens);
        Box::pin(async { DepositOutcome::Accepted })
    }
}

/// Peers without tokens that record what they were asked for.
#[allow(
    dead_code,
    reason = "not every test file that shares this module needs it"
)]
pub(crate) struct RecordingPeers {
    pub(crate) is_owner: bool,
    /// `minimum` and `wanted` of each call.
    pub(crate) calls: Mutex<Vec<(Tokens, Tokens)>>,
}

impl TokenPeers for RecordingPeers {
    fn is_owner(&self, _: &CustomerId) -> bool {
        self.is_owner
    }

    fn ask<'a>(
        &'a self,
        _: &'a CustomerId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>> {
        let mut calls = self.calls.lock().expect("no holder panicked");
        calls.push((minimum, wanted));
        Box::pin(async { SupplyOutcome::default() })
    }

    fn keeps_draws(&self) -> Option<bool> {
        Some(true)
    }

    fn record_draw<'a>(
        &'a self,
        _: &'a CustomerId,
        _: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async { true })
    }

    fn survey_draws<'a>(
        &'a self,
        _: &'a CustomerId,
        _: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>> {
        Box::pin(async { Some(ALONE) })
    }

    fn deposit<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>> {
        Box::pin(async { DepositOutcome::NotSent })
    }
}
