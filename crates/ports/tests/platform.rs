//! Guards against a stand-in platform that does not reproduce the platform's faults and limits.

use std::{collections::BTreeMap, time::Duration};

use {
    jasminewall_ports::{
        Category, FaultPlan, HttpPlatform, MemoryPlatform, ObjectPort, RowWrite, TablePort,
        TransactOutcome, VmListPort, VmState, WeightPort,
    },
    quickcheck::quickcheck,
    tokio::net::TcpListener,
};

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts")
        .block_on(future)
}

quickcheck! {
    /// Guards against transactions that apply only some writes, or commit despite an outdated
    /// version.
    fn transaction_is_all_or_nothing(batches: Vec<Vec<(u8, u8, bool)>>) -> bool {
        block_on(async {
            let platform = MemoryPlatform::new();
            let mut model = BTreeMap::<String, (u64, String)>::new();
            for (number, batch) in batches.into_iter().enumerate() {
                let batch: BTreeMap<_, _> = batch.into_iter().map(|(key, offset, put)| (format!("k/{}", key % 4), (offset % 3, put))).collect();
                let before = model.clone();
                let writes: Vec<RowWrite> = batch.iter().map(|(key, (offset, put))| {
                    // An offset of 0 yields the stored version, any other offset a version that
                    // does not match.
                    let stored = before.get(key).map_or(0, |row| row.0);
                    let expected = if *offset == 0 { stored } else { stored + u64::from(*offset) };
                    RowWrite { key: key.clone(), expected, value: put.then(|| number.to_string()) }
                }).collect();
                let versions_match = batch.values().all(|(offset, _)| *offset == 0);
                let outcome = platform.transact(writes).await.unwrap();
                if (outcome == TransactOutcome::Committed) != versions_match {
                    return false;
                }
                if versions_match {
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
                    // The versions of a key never decrease; otherwise an outdated write could succeed.
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

/// Guards against a lost response that reverts the write or is not reported as `Unknown`.
#[tokio::test]
async fn writes_with_lost_responses_take_effect() {
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

/// Guards against a partition or an outage that affects the wrong client or service.
#[tokio::test]
async fn faults_affect_only_their_client_or_service() {
    let platform = MemoryPlatform::new();
    let (vm_1, vm_2) = (platform.client("vm-1"), platform.client("vm-2"));
    let faults = FaultPlan {
        partitioned: ["vm-1".to_owned()].into(),
        object_down: true,
        ..FaultPlan::default()
    };
    platform.set_faults(faults);
    let lost = vm_1.transact(vec![RowWrite::create("a", "1")]).await;
    assert_eq!(lost.unwrap_err().category(), Category::Unavailable);
    assert_eq!(vm_2.read("a").await.unwrap(), None);
    assert!(vm_2.get("o").await.is_err());
    assert!(VmListPort::list(&vm_2).await.is_ok());
}

/// Guards against a VM list without a lag, and against a weight store without a rate limit.
#[tokio::test(start_paused = true)]
async fn the_vm_list_lags_and_weight_permits_are_limited() {
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

/// Guards against configuration writes without the operator's credential, and against requiring the
/// credential for other rows.
#[tokio::test]
async fn configuration_writes_require_the_credential() {
    let platform = MemoryPlatform::new();
    platform.require_credential("secret");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(jasminewall_ports::serve(platform.clone(), listener));
    let write = || vec![RowWrite::create("config/head", "{}")];
    let anonymous = HttpPlatform::new(&address).unwrap();
    let wrong = anonymous.clone().with_credential("guess").unwrap();
    let right = anonymous.clone().with_credential("secret").unwrap();
    for client in [&anonymous, &wrong] {
        let refused = client.transact(write()).await.unwrap_err();
        assert_eq!(refused.category(), Category::Invalid);
    }
    assert_eq!(platform.counts().row_writes, 0);
    let outcome = right.transact(write()).await;
    assert_eq!(outcome, Ok(TransactOutcome::Committed));
    let outcome = anonymous
        .transact(vec![RowWrite::create("vm/a", "{}")])
        .await;
    assert_eq!(outcome, Ok(TransactOutcome::Committed));
    server.abort();
}

/// Guards against reporting a lost response as "no effect", or a refused connection as "unknown".
#[tokio::test]
async fn http_failures_have_the_right_category() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let closing = tokio::spawn(async move {
        // Closes each of three connections, then the listener.
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

/// Guards against a call that waits forever for a server that does not respond.
#[tokio::test]
async fn a_timeout_is_reported_as_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpPlatform::new(&listener.local_addr().unwrap().to_string()).unwrap();
    let timed_out = client.transact(vec![RowWrite::create("a", "1")]).await;
    assert_eq!(timed_out.unwrap_err().category(), Category::Unknown);
}
