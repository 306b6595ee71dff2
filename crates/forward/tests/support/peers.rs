//! Peers without tokens, and one that keeps a grant.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
};

use {
    jasminewall_core::{CustomerId, Tokens},
    jasminewall_forward::{BudgetManager, TokenPeers},
};

/// No peer ever gives tokens.
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

    fn deposit<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async { false })
    }
}

/// One peer that keeps grants, for a router that does not.
#[allow(
    dead_code,
    reason = "not every test file that shares this module needs it"
)]
pub(crate) struct KeeperPeer(pub(crate) Arc<BudgetManager>);

impl TokenPeers for KeeperPeer {
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

    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        self.0.receive(customer, tokens);
        Box::pin(async { true })
    }
}

/// Peers without tokens that note what they were asked for.
#[allow(
    dead_code,
    reason = "not every test file that shares this module needs it"
)]
pub(crate) struct AskedPeers {
    pub(crate) is_owner: bool,
    /// Least and wanted tokens of each question.
    pub(crate) asked: Mutex<Vec<(Tokens, Tokens)>>,
}

impl TokenPeers for AskedPeers {
    fn is_owner(&self, _: &CustomerId) -> bool {
        self.is_owner
    }

    fn ask<'a>(
        &'a self,
        _: &'a CustomerId,
        least: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        let mut asked = self.asked.lock().expect("no holder panicked");
        asked.push((least, wanted));
        Box::pin(async { 0 })
    }

    fn deposit<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async { false })
    }
}
