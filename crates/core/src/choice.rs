//! Choice of an endpoint for a request.

use rand::Rng;

use crate::{EndpointId, Tokens};

/// What a router knows of one endpoint when it chooses.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Estimated outstanding work in tokens.
    pub outstanding: Tokens,
}

/// Outcome of a choice, with the runner-up for the decision log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChoice {
    /// Endpoint that gets the request.
    pub endpoint: EndpointId,
    /// The other candidate that was compared.
    pub runner_up: Option<EndpointId>,
}

/// Picks the less loaded of two random endpoints; `None` when there is none.
pub fn choose(views: &[EndpointView], rng: &mut impl Rng) -> Option<EndpointChoice> {
    if views.is_empty() {
        return None;
    }
    let first = rng.random_range(0..views.len());
    let second = (first + 1 + rng.random_range(0..views.len().max(2) - 1)) % views.len();
    let (best, other) = if views[second].outstanding < views[first].outstanding {
        (second, first)
    } else {
        (first, second)
    };
    let runner_up = (best != other).then(|| views[other].endpoint.clone());
    Some(EndpointChoice {
        endpoint: views[best].endpoint.clone(),
        runner_up,
    })
}
