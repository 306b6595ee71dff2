//! Peers without tokens.

use std::pin::Pin;

use {
    jasminewall_core::{CustomerId, Tokens},
    jasminewall_forward::TokenPeers,
};

/// No peer ever gives tokens.
pub(crate) struct NoPeers;

impl TokenPeers for NoPeers {
    fn ask<'a>(
        &'a self,
        _: &'a CustomerId,
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
