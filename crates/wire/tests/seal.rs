//! Guards against frames that somebody without the fleet secret changes, repeats or replays.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use {
    futures_util::{SinkExt, StreamExt},
    jasminewall_core::HolderId,
    jasminewall_wire::{accept, connect},
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const SECRET: &str = "fleet-test-secret";
/// Bytes of a hello with the VM name of these tests: nonce, boot, length and name.
const HELLO: usize = 16 + 8 + 2 + 4;

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.unwrap(), accepted.unwrap().0)
}

/// Sends two texts through a relay that may change the bytes after the client's hello, and returns
/// what the other end reads, up to its first error.
async fn relay(secret: &str, change: impl Fn(&mut Vec<u8>)) -> Vec<io::Result<String>> {
    let (client, relay_in) = pair().await;
    let (relay_out, server) = pair().await;
    let relayed = async {
        let (mut from_client, mut to_client) = relay_in.into_split();
        let (mut from_server, mut to_server) = relay_out.into_split();
        let mut hello = vec![0; HELLO];
        from_client.read_exact(&mut hello).await.unwrap();
        to_server.write_all(&hello).await.unwrap();
        from_server.read_exact(&mut hello).await.unwrap();
        to_client.write_all(&hello).await.unwrap();
        let mut frames = Vec::new();
        from_client.read_to_end(&mut frames).await.unwrap();
        change(&mut frames);
        to_server.write_all(&frames).await.unwrap();
        drop(to_server);
        // The client's socket stays open until the server has read everything.
        (to_client, from_server)
    };
    let sent = async {
        let own = HolderId::new("vm-1", 1);
        let (peer, mut transport) = connect::<String, String>(client, secret, &own)
            .await
            .unwrap();
        assert_eq!(peer, HolderId::new("vm-2", 2));
        transport.send("one".into()).await.unwrap();
        transport.send("two".into()).await.unwrap();
    };
    let read = async {
        let own = HolderId::new("vm-2", 2);
        let (peer, mut transport) = accept::<String, String>(server, SECRET, &own)
            .await
            .unwrap();
        assert_eq!(peer, HolderId::new("vm-1", 1));
        let mut items = Vec::new();
        while let Some(item) = transport.next().await {
            let failed = item.is_err();
            items.push(item);
            if failed {
                break;
            }
        }
        items
    };
    let (_, (), items) = tokio::join!(relayed, sent, read);
    items
}

fn outcome(items: &[io::Result<String>]) -> Vec<&str> {
    let text = |item: &'_ io::Result<String>| item.as_ref().map_or("refused", |_| "read");
    items.iter().map(text).collect()
}

#[tokio::test]
async fn frames_arrive_as_sent() {
    let items = relay(SECRET, |_| {}).await;
    let items: Vec<String> = items.into_iter().map(Result::unwrap).collect();
    assert_eq!(items, ["one", "two"]);
}

#[tokio::test]
async fn frames_with_another_secret_are_refused() {
    let items = relay("another secret", |_| {}).await;
    let error = items[0].as_ref().unwrap_err();
    assert!(error.to_string().contains("[fleet] secret"), "{error}");
}

#[tokio::test]
async fn changed_repeated_and_missing_frames_are_refused() {
    // Both frames have the same size.
    // Four bytes of frame length and one of text length come before the first letter.
    let changed = relay(SECRET, |frames| frames[5] ^= 1).await;
    assert_eq!(outcome(&changed), ["refused"]);
    let repeated = relay(SECRET, |frames| {
        let half = frames.len() / 2;
        frames.copy_within(..half, half);
    });
    assert_eq!(outcome(&repeated.await), ["read", "refused"]);
    let missing = relay(SECRET, |frames| {
        frames.drain(..frames.len() / 2);
    });
    assert_eq!(outcome(&missing.await), ["refused"]);
}

/// Guards against a recorded connection that is played to a router again.
#[tokio::test]
async fn frames_of_another_connection_are_refused() {
    let recorded = std::sync::Mutex::new(Vec::new());
    relay(SECRET, |frames| recorded.lock().unwrap().clone_from(frames)).await;
    let replayed = relay(SECRET, |frames| {
        frames.clone_from(&recorded.lock().unwrap());
    });
    assert_eq!(outcome(&replayed.await), ["refused"]);
}
