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
pub(crate) struct OwnerPeer(pub(crate) Arc<BudgetManager>);

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
        Box::pin(async move {
            let mut outcome = SupplyOutcome::default();
            outcome.add(self.0.give_or_hint(customer, wanted, true).await);
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
        self.0.take_back(customer, tokens);
        Box::pin(async { DepositOutcome::Accepted })
    }
}

/// Like [`OwnerPeer`], over a slow link.
#[allow(
    dead_code,
    reason = "not every test file that shares this module needs it"
)]
pub(crate) struct SlowOwnerPeer {
    pub(crate) owner: OwnerPeer,
    /// Time that an answer takes.
    pub(crate) delay: Duration,
    /// Number of calls.
    pub(crate) asked: AtomicU32,
}

impl TokenPeers for SlowOwnerPeer {
    fn is_owner(&self, _: &CustomerId) -> bool {
        false
    }

    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            tokio::time::sleep(self.delay).await;
            self.owner.ask(customer, minimum, wanted).await
        })
    }

    fn keeps_draws(&self) -> Option<bool> {
        self.owner.keeps_draws()
    }

    fn record_draw<'a>(
        &'a self,
        customer: &'a CustomerId,
        record: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        self.owner.record_draw(customer, record)
    }

    fn survey_draws<'a>(
        &'a self,
        customer: &'a CustomerId,
        era: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>> {
        self.owner.survey_draws(customer, era)
    }

    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>> {
        self.owner.deposit(customer, tokens)
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
