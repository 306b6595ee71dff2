//! Validation of declared records against each other and against the active records.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use smol_str::SmolStr;

use super::{
    ConfigRecord, DeclaredRecord, DeclaredSet, EndpointRecord, RecordKind, RouteRecord, StopRecord,
    parse,
};
use crate::{Category, ConfigState, Error};

/// Number of hex digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// Checks values, references and capacities of declared records and returns all mistakes.
///
/// `base` contains the active records; declared records of the same kind and name replace them.
pub fn check(set: &DeclaredSet, base: &ConfigState) -> Vec<Error> {
    let declared = set.records.as_slice();
    let mut checker = RecordChecker {
        view: MergedView::new(declared, base),
        unparsed: &set.unparsed,
        errors: Vec::new(),
    };
    let mut seen = BTreeMap::new();
    for record in declared {
        let key = (record.record.kind(), record.record.name().clone());
        if let Some(first) = seen.insert(key, record) {
            let message = format!(
                "the name is taken by {}; use another name or remove one of them",
                first.describe_location(None)
            );
            checker.add_error(record, "name", message);
        }
        checker.check_record(record, base);
    }
    checker.check_keys(declared);
    checker.errors
}

/// Returns an error for each record that refers to a removed one.
pub fn check_removal(kind: RecordKind, name: &str, after: &ConfigState) -> Vec<Error> {
    let refers = |record: &ConfigRecord| match (kind, record) {
        (RecordKind::Customer, ConfigRecord::Budget(budget)) => budget.customer == name,
        (RecordKind::Budget, ConfigRecord::TopUp(top_up)) => top_up.budget == name,
        (RecordKind::Endpoint, ConfigRecord::Route(route)) => route.endpoints.contains(name),
        (RecordKind::Endpoint, ConfigRecord::Stop(stop)) => stop.endpoint.as_deref() == Some(name),
        _ => false,
    };
    let referring = after.records().filter(|record| refers(record));
    let describe = |record: &ConfigRecord| {
        let message = format!(
            "{} '{}' refers to it; change or remove that first",
            record.kind().as_str(),
            record.name()
        );
        Error::new(Category::Data, message).at(format!("{} '{name}'", kind.as_str()))
    };
    referring.map(describe).collect()
}

/// Active records overlaid with the declared ones.
struct MergedView<'a> {
    records: BTreeMap<(RecordKind, SmolStr), &'a ConfigRecord>,
}

impl<'a> MergedView<'a> {
    fn new(declared: &'a [DeclaredRecord], base: &'a ConfigState) -> Self {
        let declared = declared.iter().map(|declared| &declared.record);
        let records = base.records().chain(declared);
        Self {
            records: records
                .map(|record| ((record.kind(), record.name().clone()), record))
                .collect(),
        }
    }

    fn names(&self, kind: RecordKind) -> Vec<&str> {
        let keys = self.records.keys().filter(|key| key.0 == kind);
        keys.map(|key| key.1.as_str()).collect()
    }

    fn endpoint(&self, name: &str) -> Option<&'a EndpointRecord> {
        match self.records.get(&(RecordKind::Endpoint, name.into())) {
            Some(ConfigRecord::Endpoint(endpoint)) => Some(endpoint),
            _ => None,
        }
    }

    fn routes(&self) -> impl Iterator<Item = &'a RouteRecord> {
        self.records.values().filter_map(|record| match record {
            ConfigRecord::Route(route) => Some(route),
            _ => None,
        })
    }

    fn stops(&self) -> impl Iterator<Item = &'a StopRecord> {
        self.records.values().filter_map(|record| match record {
            ConfigRecord::Stop(stop) => Some(stop),
            _ => None,
        })
    }
}

struct RecordChecker<'a> {
    view: MergedView<'a>,
    unparsed: &'a [(RecordKind, SmolStr)],
    errors: Vec<Error>,
}

impl RecordChecker<'_> {
    fn add_error(&mut self, record: &DeclaredRecord, field: &str, message: impl Into<String>) {
        let error = Error::new(Category::Data, message);
        self.errors
            .push(error.at(record.describe_location(Some(field))));
    }

    /// Reports a number that is less than 1.
    fn check_positive(&mut self, declared: &DeclaredRecord, field: &str, number: u64) {
        if number == 0 {
            self.add_error(declared, field, "the number is 0; write 1 or more");
        }
    }

    /// Reports a reference to a record that does not exist.
    fn check_reference(
        &mut self,
        declared: &DeclaredRecord,
        field: &str,
        kind: RecordKind,
        name: &str,
    ) {
        let names = self.view.names(kind);
        let mut unparsed = self.unparsed.iter();
        if names.contains(&name) || unparsed.any(|(other, label)| *other == kind && label == name) {
            return;
        }
        let kind = kind.as_str();
        let hint = match names.is_empty() {
            true => format!("declare a [[{kind}]] of that name"),
            false => parse::suggest_name(name, names.into_iter()),
        };
        let message = format!("no {kind} is named '{name}'; {hint}");
        self.add_error(declared, field, message);
    }

    fn check_record(&mut self, declared: &DeclaredRecord, base: &ConfigState) {
        let name = declared.record.name();
        let forbidden =
            |letter: char| letter == '/' || letter.is_whitespace() || letter.is_control();
        if name.is_empty() || name.contains(forbidden) {
            let message =
                "the name is empty or has spaces or '/'; use letters, digits, '-' and '.'";
            self.add_error(declared, "name", message);
        }
        match &declared.record {
            ConfigRecord::Customer(customer) => {
                self.check_positive(declared, "weight", customer.weight.into());
                for hash in &customer.key_sha256 {
                    let digits =
                        |digit: char| digit.is_ascii_digit() || ('a'..='f').contains(&digit);
                    if hash.len() != HASH_DIGITS || !hash.chars().all(digits) {
                        let message = "a key hash is not 64 lower-case hex digits; write the output of 'jasminectl hash-key'";
                        self.add_error(declared, "key_sha256", message);
                    }
                }
            }
            ConfigRecord::Budget(budget) => {
                self.check_reference(declared, "customer", RecordKind::Customer, &budget.customer);
            }
            ConfigRecord::TopUp(top_up) => {
                self.check_reference(declared, "budget", RecordKind::Budget, &top_up.budget);
                if top_up.amount == 0 {
                    self.add_error(
                        declared,
                        "amount",
                        "the amount is 0; write the tokens paid in",
                    );
                }
                let in_force = base.get(RecordKind::TopUp, &top_up.name);
                if in_force.is_some_and(|record| *record != declared.record) {
                    let message = "a top-up takes effect once and cannot be changed; use another name for another payment";
                    self.add_error(declared, "name", message);
                }
            }
            ConfigRecord::Endpoint(endpoint) => {
                self.check_positive(declared, "slots", endpoint.slots.into());
                if endpoint.address.parse::<SocketAddr>().is_err() {
                    let message = format!(
                        "'{}' is not an address; write ip:port, such as 10.0.0.7:8000",
                        endpoint.address
                    );
                    self.add_error(declared, "address", message);
                }
                if endpoint.failure_domain.is_empty() {
                    self.add_error(declared, "failure_domain", "name the failure domain");
                }
            }
            ConfigRecord::Route(route) => self.check_route(declared, route),
            ConfigRecord::Stop(stop) => self.check_stop(declared, stop),
            ConfigRecord::Model(model) => {
                self.check_positive(declared, "replicas", model.replicas.into());
            }
        }
    }

    fn check_route(&mut self, declared: &DeclaredRecord, route: &RouteRecord) {
        self.check_positive(declared, "max_output", route.max_output);
        self.check_positive(declared, "time_limit_ms", route.time_limit_ms);
        self.check_positive(
            declared,
            "answer_limit_bytes",
            route.answer_limit_bytes as u64,
        );
        if route.endpoints.is_empty() {
            self.add_error(declared, "endpoints", "the list is empty; name an endpoint");
        }
        for endpoint in &route.endpoints {
            self.check_reference(declared, "endpoints", RecordKind::Endpoint, endpoint);
        }
        let endpoints = route.endpoints.iter();
        let mut runs = endpoints.filter_map(|name| Some(self.view.endpoint(name)?.runs));
        let first = runs.next();
        if runs.any(|kind| Some(kind) != first) {
            let message = "the list mixes model engines and plain services; make a route for each";
            self.add_error(declared, "endpoints", message);
        }
    }

    fn check_stop(&mut self, declared: &DeclaredRecord, stop: &StopRecord) {
        match (&stop.endpoint, &stop.failure_domain) {
            (Some(endpoint), None) => {
                self.check_reference(declared, "endpoint", RecordKind::Endpoint, endpoint);
            }
            (None, Some(_)) => {}
            _ => self.add_error(
                declared,
                "endpoint",
                "name either 'endpoint' or 'failure_domain'",
            ),
        }
        if stop.from >= stop.until {
            let message = "the window is empty; write an 'until' after 'from'";
            self.add_error(declared, "until", message);
            return;
        }
        if stop.remaining_percent > 100 {
            self.add_error(
                declared,
                "remaining_percent",
                "write a percentage from 0 to 100",
            );
            return;
        }
        let shortages: Vec<String> = self
            .view
            .routes()
            .filter_map(|route| self.shortage(stop, route))
            .collect();
        for shortage in shortages {
            self.add_error(declared, "remaining_percent", shortage);
        }
    }

    /// Describes the shortage of slots on a route during a stop, if any.
    fn shortage(&self, stop: &StopRecord, route: &RouteRecord) -> Option<String> {
        let overlapping: Vec<&StopRecord> = self
            .view
            .stops()
            .filter(|other| other.from < stop.until && stop.from < other.until)
            .collect();
        let (mut total, mut remaining, mut affected) = (0, 0, false);
        for endpoint in route
            .endpoints
            .iter()
            .filter_map(|name| self.view.endpoint(name))
        {
            let slots = u64::from(endpoint.slots);
            let covers = |stop: &StopRecord| {
                stop.endpoint.as_ref() == Some(&endpoint.name)
                    || stop.failure_domain.as_ref() == Some(&endpoint.failure_domain)
            };
            total += slots;
            affected |= covers(stop);
            if !endpoint.leaving && !overlapping.iter().any(|other| covers(other)) {
                remaining += slots;
            }
        }
        let minimum = u64::from(stop.remaining_percent);
        if !affected || remaining * 100 >= total * minimum {
            return None;
        }
        Some(format!(
            "route '{}' would keep {remaining} of {total} slots, under the minimum of {minimum}%; \
             choose another window, stop fewer endpoints or lower 'remaining_percent'",
            route.name
        ))
    }

    /// Reports key hashes shared by two customers, which could not be told apart.
    fn check_keys(&mut self, declared: &[DeclaredRecord]) {
        let mut owners = BTreeMap::<&SmolStr, BTreeSet<&SmolStr>>::new();
        for record in self.view.records.values() {
            if let ConfigRecord::Customer(customer) = record {
                for hash in &customer.key_sha256 {
                    owners.entry(hash).or_default().insert(&customer.name);
                }
            }
        }
        for record in declared {
            let ConfigRecord::Customer(customer) = &record.record else {
                continue;
            };
            let shared = customer
                .key_sha256
                .iter()
                .find(|hash| owners[*hash].len() > 1);
            if shared.is_some() {
                let message = "a key belongs to two customers; give each customer its own key";
                self.add_error(record, "key_sha256", message);
            }
        }
    }
}
