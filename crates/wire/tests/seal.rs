//! Guards against accepting frames that an attacker without the fleet secret modified, repeated,
//! dropped or replayed.
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
/// Size of a hello in these tests, in bytes: nonce, boot id, length and VM name.
const HELLO_SIZE: usize = 16 + 8 + 2 + 4;

async fn socket_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.unwrap(), accepted.unwrap().0)
}

/// Sends two texts through a relay that applies `tamper` to the bytes after the client's hello.
/// Returns what the server reads, up to the first error.
async fn relay(secret: &str, tamper: impl Fn(&mut Vec<u8>)) -> Vec<io::Result<String>> {
    let (client, relay_in) = socket_pair().await;
    let (relay_out, server) = socket_pair().await;
    let relay = async {
        let (mut from_client, mut to_client) = relay_in.into_split();
        let (mut from_server, mut to_server) = relay_out.into_split();
        let mut hello = vec![0; HELLO_SIZE];
        from_client.read_exact(&mut hello).await.unwrap();
        to_server.write_all(&hello).await.unwrap();
        from_server.read_exact(&mut hello).await.unwrap();
        to_client.write_all(&hello).await.unwrap();
        let mut frames = Vec::new();
        from_client.read_to_end(&mut frames).await.unwrap();
        tamper(&mut frames);
        to_server.write_all(&frames).await.unwrap();
        drop(to_server);
        // Keeps the client's socket open until the server has read everything.
        (to_client, from_server)
    };
    let send = async {
        let own = HolderId::new("vm-1", 1);
        let (peer, mut transport) = connect::<String, String>(client, secret, &own)
            .await
            .unwrap();
        assert_eq!(peer, HolderId::new("vm-2", 2));
        transport.send("one".into()).await.unwrap();
        transport.send("two".into()).await.unwrap();
    };
    let receive = async {
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
    let (_, (), items) = tokio::join!(relay, send, receive);
    items
}

fn outcomes(items: &[io::Result<String>]) -> Vec<&str> {
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
    // Both frames have the same size. The first letter follows the frame length (four bytes) and
    // the text length (one byte).
    let changed = relay(SECRET, |frames| frames[5] ^= 1).await;
    assert_eq!(outcomes(&changed), ["refused"]);
    let repeated = relay(SECRET, |frames| {
        let half = frames.len() / 2;
        frames.copy_within(..half, half);
    });
    assert_eq!(outcomes(&repeated.await), ["read", "refused"]);
    let missing = relay(SECRET, |frames| {
        frames.drain(..frames.len() / 2);
    });
    assert_eq!(outcomes(&missing.await), ["refused"]);
}

/// Guards against replaying a recorded connection to a router.
#[tokio::test]
async fn frames_of_another_connection_are_refused() {
    let recorded = std::sync::Mutex::new(Vec::new());
    relay(SECRET, |frames| recorded.lock().unwrap().clone_from(frames)).await;
    let replayed = relay(SECRET, |frames| {
        frames.clone_from(&recorded.lock().unwrap());
    });
    assert_eq!(outcomes(&replayed.await), ["refused"]);
}
