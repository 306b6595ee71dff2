//! Tests that the admission queue bounds the waiting time of requests.

use std::time::{Duration, Instant};

use jasminewall_core::admission::{
    AdmissionQueue, CapacityView, QueueRelease, QueuedRequest, WorkClass, refuse_at,
};

/// Guards against a refusal later than a tenth of the time limit while no endpoint has capacity.
#[test]
fn waiting_work_is_refused_within_a_tenth_of_its_limit() {
    let start = Instant::now();
    let limit = Duration::from_secs(10);
    let view = CapacityView {
        slots: 4.0,
        share: 4.0,
        token_time: Duration::from_millis(20),
    };
    for class in WorkClass::ALL {
        let mut queue = AdmissionQueue::default();
        for customer in ["parish", "atelier"] {
            let work = QueuedRequest {
                customer: customer.into(),
                weight: 1,
                class,
                work: 10,
                min_work: 10,
                deadline: start + limit,
                refuse_at: refuse_at(start + limit, start),
                item: customer,
            };
            assert!(queue.offer(work, view, start).is_empty());
        }
        let mut refused = Vec::new();
        let mut now = start;
        while now < start + limit / 10 {
            let release = queue.next(view, now, |_| None::<()>);
            if let Some(QueueRelease::Refuse(work)) = release {
                refused.push(work.item);
            }
            now += Duration::from_millis(20);
        }
        refused.sort_unstable();
        assert_eq!(refused, ["atelier", "parish"], "{class:?}");
        assert_eq!(queue.waiting(), 0);
    }
}
