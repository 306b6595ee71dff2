//! Test implementations of `TokenPeers`.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
};

use {
    jasminewall_core::{CustomerId, Tokens},
    jasminewall_forward::{
        BudgetManager, DepositOutcome, TokenPeers,
        draws::{DrawRecord, DrawSurvey},
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
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        Box::pin(async { 0 })
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
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        Box::pin(self.0.give(customer, wanted))
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
        self.0.receive(customer, tokens);
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
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        let mut calls = self.calls.lock().expect("no holder panicked");
        calls.push((minimum, wanted));
        Box::pin(async { 0 })
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
