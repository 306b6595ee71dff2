//! Which routers own the grants of a customer in a large fleet.
//!
//! Handles the load of routers that ask owners: in a large fleet each request of a customer may send
//! a message to the owner of its failure domain, which a router with a slow link and a small share
//! of a core cannot answer in time.

use std::ops::Range;

/// Number of routers of a failure domain that may own grants in a large fleet. Only these need
/// frequent heartbeats and the takeover of accounts after a crash.
pub const DOMAIN_OWNERS: usize = 3;
/// Share of the fastest link of a failure domain, as a divisor, that a router's link must have for
/// the router to own grants while a faster one responds. Owners share the customers evenly, so an
/// owner with a slower link would be full long before the others.
const SLOWEST_DIVISOR: u32 = 4;

/// Routers of a failure domain that may own grants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerPool<T> {
    /// At most [`DOMAIN_OWNERS`] routers, those with the fastest links first.
    members: Vec<T>,
    /// Number of members with fast links. The others own grants only while none of these responds.
    fast: usize,
}

/// Rank of a router within its failure domain: the speed of its link in Mbit/s, 0 if unknown, and
/// the hash of its name, which orders equal ones.
pub type OwnerRank = (u32, u64);

impl<T> OwnerPool<T> {
    /// Chooses the routers with the fastest links.
    pub fn choose(mut candidates: Vec<(OwnerRank, T)>) -> Self {
        candidates.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
        candidates.truncate(DOMAIN_OWNERS);
        let speeds = || candidates.iter().map(|((link_mbps, _), _)| *link_mbps);
        let fastest = speeds().next().unwrap_or(0);
        let is_fast = |speed: &u32| speed.saturating_mul(SLOWEST_DIVISOR) >= fastest;
        Self {
            fast: speeds().take_while(is_fast).count(),
            members: candidates.into_iter().map(|(_, member)| member).collect(),
        }
    }

    /// All routers that may own grants. They remember draws and send frequent heartbeats.
    pub fn members(&self) -> &[T] {
        &self.members
    }

    /// Owner of the grant of one customer: the responsive router with the highest `score` of those
    /// with fast links, or of the others while none of these responds.
    pub fn owner(
        &self,
        is_responsive: impl Fn(&T) -> bool,
        score: impl Fn(&T) -> u64,
    ) -> Option<&T> {
        let best = |range: Range<usize>| {
            let responsive = self.members[range]
                .iter()
                .filter(|member| is_responsive(member));
            responsive.max_by_key(|member| score(member))
        };
        best(0..self.fast).or_else(|| best(self.fast..self.members.len()))
    }
}
