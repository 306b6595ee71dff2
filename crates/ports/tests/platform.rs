//! Guards against a stand-in platform that hides the faults that the routers must survive.

use std::{collections::BTreeMap, time::Duration};

use {
    jasminewall_ports::{
        Category, FaultPlan, HttpPlatform, MemoryPlatform, ObjectPort, RowWrite, TablePort,
        TransactOutcome, VmListPort, VmState, WeightPort,
    },
    quickcheck::quickcheck,
    tokio::net::TcpListener,
};

fn run<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime needs no resources here")
        .block_on(work)
}

quickcheck! {
    /// Guards against a transaction that applies some of its writes, or applies on an outdated version.
    fn transaction_is_all_or_nothing(batches: Vec<Vec<(u8, u8, bool)>>) -> bool {
        run(async {
            let platform = MemoryPlatform::new();
            let mut model = BTreeMap::<String, (u64, String)>::new();
            for (number, batch) in batches.into_iter().enumerate() {
                let batch: BTreeMap<_, _> = batch.into_iter().map(|(key, age, put)| (format!("k/{}", key % 4), (age % 3, put))).collect();
                let before = model.clone();
                let writes: Vec<RowWrite> = batch.iter().map(|(key, (age, put))| {
                    // An age of 0 names the stored version, any other age an outdated one.
                    let stored = before.get(key).map_or(0, |row| row.0);
                    let expected = if *age == 0 { stored } else { stored + u64::from(*age) };
                    RowWrite { key: key.clone(), expected, value: put.then(|| number.to_string()) }
                }).collect();
                let current = batch.values().all(|(age, _)| *age == 0);
                let outcome = platform.transact(writes).await.unwrap();
                if (outcome == TransactOutcome::Committed) != current {
                    return false;
                }
                if current {
                    for (key, (_, put)) in &batch {
                        if *put { model.insert(key.clone(), (0, number.to_string())); } else { model.remove(key); }
                    }
                }
                let rows = platform.scan("k/").await.unwrap();
                if rows.len() != model.len() {
                    return false;
                }
                for row in rows {
                    let Some(known) = model.get_mut(&row.key) else { return false };
                    // Versions of a key only grow, so that an outdated write never passes.
                    if known.1 != row.value || row.version < known.0 {
                        return false;
                    }
                    known.0 = row.version;
                }
            }
            true
        })
    }
}

/// Guards against a lost answer that undoes the write, or that is reported as surely without effect.
#[tokio::test]
async fn lost_answers_take_effect() {
    let platform = MemoryPlatform::new();
    platform.set_faults(FaultPlan {
        lose_answers: 1,
        lose_read_answers: 1,
        lose_object_answers: 1,
        lose_permit_answers: 1,
        ..FaultPlan::default()
    });
    let write = platform.transact(vec![RowWrite::create("a", "1")]).await;
    assert_eq!(write.unwrap_err().category(), Category::Unknown);
    let read = platform.read("a").await;
    assert_eq!(read.unwrap_err().category(), Category::Unknown);
    assert_eq!(platform.read("a").await.unwrap().unwrap().value, "1");
    let put = platform.put_new("o", vec![1]).await;
    assert_eq!(put.unwrap_err().category(), Category::Unknown);
    assert_eq!(platform.get("o").await.unwrap(), Some(vec![1]));
    assert!(platform.permit("m").await.is_err());
    assert_eq!(platform.counts().permits, 1);
}

/// Guards against a partition or an outage that reaches the wrong client or service.
#[tokio::test]
async fn partition_and_outage_are_separate() {
    let platform = MemoryPlatform::new();
    let (one, two) = (platform.client("vm-1"), platform.client("vm-2"));
    let faults = FaultPlan {
        partitioned: ["vm-1".to_owned()].into(),
        object_down: true,
        ..FaultPlan::default()
    };
    platform.set_faults(faults);
    let lost = one.transact(vec![RowWrite::create("a", "1")]).await;
    assert_eq!(lost.unwrap_err().category(), Category::Unavailable);
    assert_eq!(two.read("a").await.unwrap(), None);
    assert!(two.get("o").await.is_err());
    assert!(VmListPort::list(&two).await.is_ok());
}

/// Guards against a VM list that is never late, and against a weight store without a limit.
#[tokio::test(start_paused = true)]
async fn list_lags_and_weights_are_limited() {
    let platform = MemoryPlatform::new();
    platform.set_vms_lag(Duration::from_secs(60));
    platform.set_vm("vm-1", Some(VmState::Live));
    tokio::time::advance(Duration::from_secs(59)).await;
    assert!(VmListPort::list(&platform).await.unwrap().is_empty());
    tokio::time::advance(Duration::from_secs(1)).await;
    platform.set_vm("vm-1", None);
    assert_eq!(VmListPort::list(&platform).await.unwrap().len(), 1);
    platform.set_weight_limit(2, Duration::from_secs(10));
    let mut permits = Vec::new();
    for _ in 0..3 {
        permits.push(platform.permit("m").await.unwrap());
    }
    tokio::time::advance(Duration::from_secs(10)).await;
    permits.push(platform.permit("m").await.unwrap());
    assert_eq!(permits, [true, true, false, true]);
}

/// Guards against configuration written without the operator's credential, and against callers' rows being refused.
#[tokio::test]
async fn configuration_needs_the_credential() {
    let platform = MemoryPlatform::new();
    platform.require_operator("secret");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(jasminewall_ports::serve(platform.clone(), listener));
    let write = || vec![RowWrite::create("config/head", "{}")];
    let plain = HttpPlatform::new(&address).unwrap();
    let wrong = plain.clone().with_credential("guess").unwrap();
    let right = plain.clone().with_credential("secret").unwrap();
    for client in [&plain, &wrong] {
        let refused = client.transact(write()).await.unwrap_err();
        assert_eq!(refused.category(), Category::Invalid);
    }
    assert_eq!(platform.counts().row_writes, 0);
    let outcome = right.transact(write()).await;
    assert_eq!(outcome, Ok(TransactOutcome::Committed));
    let outcome = plain.transact(vec![RowWrite::create("vm/a", "{}")]).await;
    assert_eq!(outcome, Ok(TransactOutcome::Committed));
    server.abort();
}

/// Guards against a lost answer that is taken for "no effect", and against a refused connection taken for "unknown".
#[tokio::test]
async fn http_failures_are_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let closing = tokio::spawn(async move {
        // Keeps the listener until the client has seen three connections close.
        for _ in 0..3 {
            drop(listener.accept().await.unwrap());
        }
    });
    let client = HttpPlatform::new(&address).unwrap();
    for _ in 0..3 {
        let lost = client.transact(vec![RowWrite::create("a", "1")]).await;
        assert_eq!(lost.unwrap_err().category(), Category::Unknown);
    }
    closing.await.unwrap();
    let refused = client.transact(vec![RowWrite::create("a", "1")]).await;
    assert_eq!(refused.unwrap_err().category(), Category::Unavailable);
}

/// Guards against a call that waits forever on a connection that has gone silent.
#[tokio::test]
async fn silent_connection_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpPlatform::new(&listener.local_addr().unwrap().to_string()).unwrap();
    let silent = client.transact(vec![RowWrite::create("a", "1")]).await;
    assert_eq!(silent.unwrap_err().category(), Category::Unknown);
}
