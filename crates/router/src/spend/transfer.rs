//! Transfers of tokens between routers, which need no platform.

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

use super::GRANT_COVER;
use crate::{
    peer::{self, PeerView},
    state::RouterState,
};

/// Longest time for one transfer, connection included.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time in which a request waits for tokens of all peers together.
const REST_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers asked for spare tokens before the platform is asked, which costs one table write.
const SPARE_PEERS: usize = 2;
/// Part of a grant's time that is asked for at once, as a divisor; peers keep enough to go on.
const SPARE_PART: u64 = 16;

/// Asks a few peers, those of the failure domain first, for tokens that they do not need.
pub(super) async fn ask_spare(state: &RouterState, budget: &BudgetId, amount: Tokens) {
    let least = missing(state, budget, amount);
    let ahead = state.spend.ledger().forecast(budget, GRANT_COVER) / SPARE_PART;
    // More than the least tells the giver that it may keep what it needs itself.
    let wanted = ahead.max(least + 1);
    for peer in sorted_peers(state).into_iter().take(SPARE_PEERS) {
        if let Some(reply) = ask(state, &peer, budget, least, wanted).await
            && reply.tokens >= least
        {
            return;
        }
    }
}

/// Asks peers for what a request still lacks, those first that have tokens by their rows; says how
/// many tokens came.
pub(super) async fn ask_rest(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
    holders: &BTreeSet<HolderKey>,
) -> Tokens {
    let before = super::spendable(state, budget);
    let mut peers = sorted_peers(state);
    peers.sort_by_key(|peer| !holders.contains(&holder_key(&peer.holder)));
    let asks = async {
        for peer in peers {
            if !ask_one(state, &peer, budget, amount).await {
                break;
            }
        }
    };
    // An ask that the timeout cuts off is repeated by the next one to the same giver.
    if tokio::time::timeout(REST_TIMEOUT, asks).await.is_err() {
        tracing::warn!(%budget, "not all peers were asked for tokens in time");
    }
    super::spendable(state, budget).saturating_sub(before)
}

/// Asks one peer for all or, when it has less, for what it has; `false` when nothing lacks.
async fn ask_one(state: &RouterState, peer: &PeerView, budget: &BudgetId, amount: Tokens) -> bool {
    let lacks = missing(state, budget, amount);
    if lacks == 0 {
        return false;
    }
    if let Some(reply) = ask(state, peer, budget, lacks, lacks).await {
        let part = reply.remaining.min(lacks);
        if reply.tokens == 0 && part > 0 {
            ask(state, peer, budget, part, part).await;
        }
    }
    true
}

fn missing(state: &RouterState, budget: &BudgetId, amount: Tokens) -> Tokens {
    amount.saturating_sub(super::spendable(state, budget))
}

fn sorted_peers(state: &RouterState) -> Vec<PeerView> {
    let mut peers = state.fleet.peers();
    peers.sort_by_key(|peer| !peer.same_domain);
    peers
}

/// Sends one numbered request; an unanswered earlier request to the peer is repeated first.
async fn ask(
    state: &RouterState,
    peer: &PeerView,
    budget: &BudgetId,
    least: Tokens,
    wanted: Tokens,
) -> Option<TransferReply> {
    let turn = {
        let mut givers = state
            .spend
            .givers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(givers.entry(peer.holder.clone()).or_default())
    };
    let _turn = turn.lock().await;
    loop {
        let next = {
            let mut ledger = state.spend.ledger();
            // The reclaimer of a giver finds the receivers by their rows in the table.
            if !ledger.with_row.contains(&state.shard_of(budget)) {
                return None;
            }
            ledger
                .ledger
                .request_transfer(&peer.holder, budget, least, wanted)?
        };
        let is_new = next.budget == *budget && next.minimum == least && next.wanted == wanted;
        let reply = send(state, peer, &next).await?;
        let mut ledger = state.spend.ledger();
        ledger
            .ledger
            .receive(&state.holder, &peer.holder, next.number, reply.tokens);
        drop(ledger);
        if reply.tokens > 0 {
            tracing::info!(
                budget = %next.budget, giver = %peer.holder, number = next.number,
                tokens = reply.tokens, "tokens received from a peer"
            );
        }
        if is_new {
            return Some(reply);
        }
    }
}

async fn send(
    state: &RouterState,
    peer: &PeerView,
    ask: &PendingTransfer,
) -> Option<TransferReply> {
    let request = TransferRequest {
        receiver: state.holder.clone(),
        giver: peer.holder.clone(),
        number: ask.number,
        budget: ask.budget.clone(),
        minimum: ask.minimum,
        wanted: ask.wanted,
    };
    let call = async {
        let client = peer::connect(state, peer.address).await?;
        anyhow::Ok(client.transfer(tarpc::context::current(), request).await?)
    };
    match tokio::time::timeout(TRANSFER_TIMEOUT, call).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(error)) => {
            tracing::warn!(%error, giver = %peer.holder, "transfer failed; it will be repeated");
            peer::disconnect(state, peer.address);
            None
        }
        Err(_) => {
            tracing::warn!(giver = %peer.holder, "transfer timed out; it will be repeated");
            peer::disconnect(state, peer.address);
            None
        }
    }
}

/// Tells a peer to exchange no more tokens with a holder that is gone.
pub(super) async fn close_at(
    state: &RouterState,
    peer: &PeerView,
    gone: &HolderId,
) -> anyhow::Result<()> {
    let call = async {
        let client = peer::connect(state, peer.address).await?;
        client
            .close_peer(tarpc::context::current(), gone.clone())
            .await?;
        anyhow::Ok(())
    };
    let closed = tokio::time::timeout(TRANSFER_TIMEOUT, call).await;
    if !matches!(closed, Ok(Ok(()))) {
        peer::disconnect(state, peer.address);
    }
    closed?
}

/// Gives tokens to a peer; repeats of a transfer get the first result.
pub(super) fn give(state: &RouterState, request: &TransferRequest) -> TransferReply {
    let budget = &request.budget;
    let mut ledger = state.spend.ledger();
    // A receiver that wants exactly the least has a request that waits and no other source.
    let keep = if request.wanted > request.minimum {
        ledger.forecast(budget, GRANT_COVER)
    } else {
        0
    };
    let ask = PendingTransfer {
        number: request.number,
        budget: budget.clone(),
        minimum: request.minimum,
        wanted: request.wanted,
        replied: false,
    };
    let tokens = ledger
        .ledger
        .give(&request.giver, &request.receiver, &ask, keep);
    let left = ledger.ledger.givable(budget);
    drop(ledger);
    if tokens > 0 {
        tracing::info!(%budget, receiver = %request.receiver, tokens, "tokens given to a peer");
    }
    TransferReply {
        tokens,
        remaining: left,
    }
}
