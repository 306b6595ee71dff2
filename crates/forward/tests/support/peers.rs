//! Peers without tokens, and one that keeps a grant.

use std::{pin::Pin, sync::Arc};

use {
    jasminewall_core::{CustomerId, Tokens},
    jasminewall_forward::{SpendBook, TokenPeers},
};

/// No peer ever gives tokens.
pub(crate) struct NoPeers;

impl TokenPeers for NoPeers {
    fn is_keeper(&self, _: &CustomerId) -> bool {
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
pub(crate) struct KeeperPeer(pub(crate) Arc<SpendBook>);

impl TokenPeers for KeeperPeer {
    fn is_keeper(&self, _: &CustomerId) -> bool {
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
