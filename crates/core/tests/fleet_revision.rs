//! Guards against a configuration that reverts, skips a revision or differs between routers, and
//! against records of an unknown schema that are applied.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use {
    jasminewall_core::{
        Category, ConfigRecord, ConfigState, RecordKind, record,
        revision::{ConfigChange, ConfigDelta, ConfigFollower, DeltaOutcome, from_str_as},
    },
    quickcheck::QuickCheck,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 80;

fn delta(revision: u64, schema: u32, amount: u64) -> ConfigDelta {
    let text = format!(
        "schema = {schema}\n[[budget]]\nname = \"b{}\"\ncustomer = \"c{amount}\"\n",
        amount % 3
    );
    let mut changes: Vec<_> = record::from_str(&text)
        .unwrap()
        .into_iter()
        .map(ConfigChange::Put)
        .collect();
    if amount.is_multiple_of(5) {
        changes.push(ConfigChange::Remove {
            record: RecordKind::Budget,
            name: "b1".into(),
        });
    }
    ConfigDelta {
        revision,
        schema,
        changes,
    }
}

/// Follower that keeps few deltas and one record per snapshot part, so that snapshots are common.
fn follower() -> ConfigFollower {
    ConfigFollower::default().with_limits(4, 1)
}

struct Message {
    to: usize,
    run: u64,
    text: String,
}

/// Simulated routers and table with restarts, partitions, table outages, and messages that are lost,
/// late, reordered or repeated: the faults that design.md section 3 names for them.
struct RevisionFleet {
    rng: ChaCha8Rng,
    log: Vec<String>,
    states: Vec<ConfigState>,
    table_up: bool,
    nodes: Vec<ConfigFollower>,
    runs: Vec<u64>,
    reachable: Vec<Vec<bool>>,
    in_flight: Vec<Message>,
}

impl RevisionFleet {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..=7);
        Self {
            rng,
            log: Vec::new(),
            states: vec![ConfigState::default()],
            table_up: true,
            nodes: vec![follower(); count],
            runs: vec![0; count],
            reachable: vec![vec![true; count]; count],
            in_flight: Vec::new(),
        }
    }

    fn step(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let other = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..12) {
            0 | 1 => self.publish(),
            2 | 3 => self.poll(node),
            4 => self.push(node, other),
            5 | 6 => self.deliver(),
            7 => self.pull(node, other),
            8 => self.reachable[node][other] = self.rng.random(),
            9 => self.table_up = self.rng.random(),
            10 => self.restart(node),
            _ => self.start(node),
        }
    }

    fn publish(&mut self) {
        if !self.table_up {
            return;
        }
        let amount = self.rng.random_range(0..50);
        let schema = self.rng.random_range(1..=2);
        let next = delta(self.log.len() as u64 + 1, schema, amount);
        let mut state = self.states[self.log.len()].clone();
        state.apply(&next).unwrap();
        self.states.push(state);
        self.log.push(serde_json::to_string(&next).unwrap());
    }

    fn poll(&mut self, node: usize) {
        if !self.table_up {
            return;
        }
        let follower = &mut self.nodes[node];
        follower.observe_revision(self.log.len() as u64);
        // A read may stop at any revision.
        let from = usize::try_from(follower.config().revision()).unwrap();
        let until = self.rng.random_range(from..=self.log.len());
        for text in &self.log[from..until] {
            follower.offer(text).unwrap();
        }
    }

    fn push(&mut self, from: usize, to: usize) {
        let after = self.rng.random_range(0..=self.log.len() as u64);
        let mut texts = self.nodes[from].deltas_after(after, 300);
        let part = self.rng.random_range(0..3);
        texts.extend(self.nodes[from].snapshot_part(part).map(Into::into));
        for text in texts {
            if self.reachable[from][to] && self.rng.random_ratio(4, 5) {
                self.in_flight.push(Message {
                    to,
                    run: self.runs[to],
                    text: text.to_string(),
                });
            }
        }
    }

    /// Delivers a message late, in any order and possibly repeatedly.
    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let keep = self.rng.random_ratio(1, 4);
        let Message { to, run, text } = &self.in_flight[index];
        // Messages to an older run also reach a newer run on the same address.
        let _ = run;
        self.nodes[*to].offer(text).unwrap();
        if !keep {
            self.in_flight.swap_remove(index);
        }
    }

    fn pull(&mut self, node: usize, from: usize) {
        if !(self.reachable[node][from] && self.reachable[from][node]) {
            return;
        }
        let revision = self.nodes[from].config().revision();
        self.nodes[node].observe_revision(revision);
        let after = self.nodes[node].config().revision();
        for text in self.nodes[from].deltas_after(after, 300) {
            let mut outcome = self.nodes[node].offer(&text).unwrap();
            // The connection may break between two parts of a snapshot.
            while let DeltaOutcome::NextPart(part) = outcome {
                if self.rng.random_ratio(1, 10) {
                    break;
                }
                let text = self.nodes[from].snapshot_part(part).unwrap();
                outcome = self.nodes[node].offer(&text).unwrap();
            }
        }
    }

    fn restart(&mut self, node: usize) {
        self.runs[node] += 1;
        self.nodes[node] = follower();
    }

    /// Asks the table and all reachable peers, as a router does when it starts.
    fn start(&mut self, node: usize) {
        if self.nodes[node].is_ready() {
            return;
        }
        self.nodes[node].begin_sync();
        let mut best = 0;
        if self.table_up {
            best = self.log.len() as u64;
            self.poll(node);
        }
        for other in 0..self.nodes.len() {
            if other != node && self.reachable[node][other] && self.reachable[other][node] {
                best = best.max(self.nodes[other].config().revision());
                self.pull(node, other);
            }
        }
        self.nodes[node].finish_sync();
        let follower = &self.nodes[node];
        assert!(
            !follower.is_ready() || follower.config().revision() >= best,
            "ready with an older revision than a reachable source"
        );
    }

    fn check(&self, before: &[(u64, u64, bool)]) {
        for (node, (run, revision, ready)) in before.iter().enumerate() {
            let follower = &self.nodes[node];
            let now = follower.config().revision();
            if self.runs[node] == *run {
                assert!(now >= *revision, "the active revision decreased");
                assert!(follower.is_ready() || !ready, "readiness was lost");
            }
            let expected = &self.states[usize::try_from(now).unwrap()];
            assert_eq!(**follower.config(), *expected, "records differ at {now}");
        }
    }

    fn finish(&mut self) {
        self.table_up = true;
        for node in 0..self.nodes.len() {
            while self.nodes[node].config().revision() < self.log.len() as u64 {
                self.poll(node);
            }
        }
    }
}

fn schedule(seed: u64) -> bool {
    let mut fleet = RevisionFleet::new(seed);
    for _ in 0..STEPS {
        let before: Vec<_> = (0..fleet.nodes.len())
            .map(|node| {
                let follower = &fleet.nodes[node];
                let revision = follower.config().revision();
                (fleet.runs[node], revision, follower.is_ready())
            })
            .collect();
        fleet.step();
        fleet.check(&before);
    }
    fleet.finish();
    let head = fleet.log.len() as u64;
    fleet
        .nodes
        .iter()
        .all(|node| node.config().revision() == head)
}

#[test]
fn configuration_never_reverts() {
    QuickCheck::new()
        .tests(SCHEDULES)
        .quickcheck(schedule as fn(u64) -> bool);
}

#[test]
fn gap_names_the_revision_to_read() {
    let mut follower = ConfigFollower::default();
    let text = serde_json::to_string(&delta(3, 2, 1)).unwrap();
    assert_eq!(follower.offer(&text), Ok(DeltaOutcome::Gap(1)));
    assert_eq!(follower.config().revision(), 0);
}

#[test]
fn versions_1_and_2_are_in_force_side_by_side() {
    let mut follower = ConfigFollower::default();
    for (revision, schema) in [(1, 1), (2, 2), (3, 1)] {
        let text = serde_json::to_string(&delta(revision, schema, revision)).unwrap();
        assert!(matches!(
            follower.offer(&text),
            Ok(DeltaOutcome::Applied(_))
        ));
    }
    let record = follower.config().get(RecordKind::Budget, "b1");
    assert!(matches!(record, Some(ConfigRecord::Budget(budget)) if budget.customer == "c1"));
}

/// Guards against an old router that drops its records during a rollout or reports no remedy.
#[test]
fn unknown_versions_and_fields_are_refused_with_the_remedy() {
    let mut old = ConfigFollower::new(1);
    let first = serde_json::to_string(&delta(1, 1, 1)).unwrap();
    old.offer(&first).unwrap();
    let second = serde_json::to_string(&delta(2, 2, 2)).unwrap();
    let error = old.offer(&second).unwrap_err();
    assert_eq!(error.category(), Category::Schema);
    assert_eq!(
        error.to_string(),
        "revision 2: schema version 2 is not known here (known: 1 to 1); update the router, or \
         apply the change again with 'schema = 1'"
    );
    assert_eq!(old.config().revision(), 1);
    assert_eq!(old.last_error(), Some(&error));

    let field = second.replace("\"customer\"", "\"colour\":1,\"customer\"");
    let error = from_str_as(&field, 2).unwrap_err();
    assert_eq!(error.category(), Category::Schema);
    assert!(
        error.to_string().contains("unknown field `colour`"),
        "{error}"
    );
    assert!(error.to_string().contains("update the router"), "{error}");

    let model = r#"{"revision":1,"schema":1,"changes":[{"put":{"kind":"model","name":"m","version":"1"}}]}"#;
    let error = from_str_as(model, 2).unwrap_err();
    assert_eq!(
        error.to_string(),
        "revision 1: 'model' records need 'schema = 2'"
    );
}

/// Guards against a state that applies an older revision or skips one.
#[test]
fn state_takes_only_the_next_revision() {
    let mut state = ConfigState::default();
    assert!(state.apply(&delta(1, 2, 1)).unwrap());
    assert!(state.apply(&delta(2, 2, 4)).unwrap());
    let known = state.clone();
    assert!(!state.apply(&delta(1, 2, 7)).unwrap());
    let gap = state.apply(&delta(4, 2, 7)).unwrap_err();
    assert_eq!(gap.category(), Category::Conflict);
    assert_eq!(state, known);
}
