//! Transfers of tokens between routers. They work without the platform.

use std::{
    collections::BTreeSet,
    sync::{Arc, PoisonError},
    time::Duration,
};

use {
    jasminewall_core::{
        BudgetId, HolderId, Tokens,
        budget::{HolderKey, holder_key},
        ledger::PendingTransfer,
    },
    jasminewall_wire::{TransferReply, TransferRequest},
};

use super::GRANT_HORIZON;
use crate::{
    peer::{self, PeerView},
    state::RouterState,
};

/// Timeout for one transfer, including the connection.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Total time that a request waits for tokens from all peers.
const SHORTFALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers asked for spare tokens before a refill, which costs a table write.
const SPARE_PEERS: usize = 2;
/// Divisor of the forecast spend over [`GRANT_HORIZON`]; the quotient is requested as spare tokens,
/// so that peers keep enough for themselves.
const SPARE_DIVISOR: u64 = 16;

/// Asks a few peers for tokens that they do not need, those in the same failure domain first.
pub(super) async fn request_spare(state: &RouterState, budget: &BudgetId, amount: Tokens) {
    let minimum = shortfall_of(state, budget, amount);
    let spare = state.spend.ledger().forecast(budget, GRANT_HORIZON) / SPARE_DIVISOR;
    // Asking for more than the minimum tells the giver that it may keep what it needs itself.
    let wanted = spare.max(minimum + 1);
    for peer in sorted_peers(state).into_iter().take(SPARE_PEERS) {
        if let Some(reply) = request_transfer(state, &peer, budget, minimum, wanted).await
            && reply.tokens >= minimum
        {
            return;
        }
    }
}

/// Asks peers for the tokens that a request still lacks, those in `holders` first. Returns the
/// number of tokens received.
pub(super) async fn request_shortfall(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
    holders: &BTreeSet<HolderKey>,
) -> Tokens {
    let before = super::spendable(state, budget);
    let mut peers = sorted_peers(state);
    peers.sort_by_key(|peer| !holders.contains(&holder_key(&peer.holder)));
    let requests = async {
        for peer in peers {
            if !request_from(state, &peer, budget, amount).await {
                break;
            }
        }
    };
    // A request cut off by the timeout is repeated before the next one to the same giver.
    if tokio::time::timeout(SHORTFALL_TIMEOUT, requests)
        .await
        .is_err()
    {
        tracing::warn!(%budget, "timed out before all peers were asked for tokens");
    }
    super::spendable(state, budget).saturating_sub(before)
}

/// Asks one peer for the whole shortfall or, when it has less, for what it has. Returns `false`
/// when there is no shortfall.
async fn request_from(
    state: &RouterState,
    peer: &PeerView,
    budget: &BudgetId,
    amount: Tokens,
) -> bool {
    let shortfall = shortfall_of(state, budget, amount);
    if shortfall == 0 {
        return false;
    }
    if let Some(reply) = request_transfer(state, peer, budget, shortfall, shortfall).await {
        let part = reply.remaining.min(shortfall);
        if reply.tokens == 0 && part > 0 {
            request_transfer(state, peer, budget, part, part).await;
        }
    }
    true
}

/// Tokens that this router lacks to hold `amount`.
fn shortfall_of(state: &RouterState, budget: &BudgetId, amount: Tokens) -> Tokens {
    amount.saturating_sub(super::spendable(state, budget))
}

/// Reachable peers, those in the same failure domain first.
fn sorted_peers(state: &RouterState) -> Vec<PeerView> {
    let mut peers = state.fleet.peers();
    peers.sort_by_key(|peer| !peer.same_domain);
    peers
}

/// Sends a numbered transfer request, after repeating an earlier one that the peer has not
/// answered and, if needed, asking whether the peer has tokens.
async fn request_transfer(
    state: &RouterState,
    peer: &PeerView,
    budget: &BudgetId,
    minimum: Tokens,
    wanted: Tokens,
) -> Option<TransferReply> {
    let lock = {
        let mut locks = state
            .spend
            .giver_locks
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(locks.entry(peer.holder.clone()).or_default())
    };
    let _guard = lock.lock().await;
    let shard = state.shard_of(budget);
    loop {
        let next = {
            let mut ledger = state.spend.ledger();
            // The router that reclaims a dead giver finds the receivers by their grant rows, so a
            // receiver without a row in the shard must not take tokens.
            if !ledger.shards_with_row.contains(&shard) {
                return None;
            }
            ledger
                .grants
                .request_transfer(&peer.holder, shard, budget, minimum, wanted)?
        };
        let is_current = next.budget == *budget && next.minimum == minimum && next.wanted == wanted;
        let reply = send_request(state, peer, &next).await?;
        state.spend.ledger().grants.receive(
            &state.holder,
            &peer.holder,
            next.number,
            reply.tokens,
            reply.remaining,
        );
        if reply.tokens > 0 {
            tracing::info!(
                budget = %next.budget, giver = %peer.holder, number = next.number,
                tokens = reply.tokens, "tokens received from a peer"
            );
        }
        let has_nothing = next.is_inquiry() && next.budget == *budget && reply.remaining == 0;
        if is_current || has_nothing {
            return Some(reply);
        }
    }
}

async fn send_request(
    state: &RouterState,
    peer: &PeerView,
    transfer: &PendingTransfer,
) -> Option<TransferReply> {
    let request = TransferRequest {
        receiver: state.holder.clone(),
        giver: peer.holder.clone(),
        number: transfer.number,
        budget: transfer.budget.clone(),
        minimum: transfer.minimum,
        wanted: transfer.wanted,
    };
    let call = async {
        let client = peer::connect(state, peer.address).await?;
        anyhow::Ok(client.transfer(tarpc::context::current(), request).await?)
    };
    match tokio::time::timeout(TRANSFER_TIMEOUT, call).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(error)) => {
            tracing::warn!(%error, giver = %peer.holder, "transfer request failed; it will be repeated");
            peer::disconnect(state, peer.address);
            None
        }
        Err(_) => {
            tracing::warn!(giver = %peer.holder, "transfer request timed out; it will be repeated");
            peer::disconnect(state, peer.address);
            None
        }
    }
}

/// Tells a peer to exchange no more tokens with a dead holder.
pub(super) async fn request_close(
    state: &RouterState,
    peer: &PeerView,
    dead: &HolderId,
) -> anyhow::Result<()> {
    let call = async {
        let client = peer::connect(state, peer.address).await?;
        client
            .close_peer(tarpc::context::current(), dead.clone())
            .await?;
        anyhow::Ok(())
    };
    let closed = tokio::time::timeout(TRANSFER_TIMEOUT, call).await;
    if !matches!(closed, Ok(Ok(()))) {
        peer::disconnect(state, peer.address);
    }
    closed?
}

/// Gives tokens to a peer. A repeated request gets the reply to the first.
pub(super) fn give(state: &RouterState, request: &TransferRequest) -> TransferReply {
    let budget = &request.budget;
    let mut ledger = state.spend.ledger();
    // A receiver that wants exactly the minimum has a waiting request and no other source of
    // tokens.
    let reserve = if request.wanted > request.minimum {
        ledger.forecast(budget, GRANT_HORIZON)
    } else {
        0
    };
    let transfer = PendingTransfer {
        number: request.number,
        budget: budget.clone(),
        shard: state.shard_of(budget),
        minimum: request.minimum,
        wanted: request.wanted,
        replied: false,
    };
    let tokens = ledger
        .grants
        .give(&request.giver, &request.receiver, &transfer, reserve);
    let left = ledger.grants.transfer_limit(budget);
    drop(ledger);
    if tokens > 0 {
        tracing::info!(%budget, receiver = %request.receiver, tokens, "tokens given to a peer");
    }
    TransferReply {
        tokens,
        remaining: left,
    }
}
