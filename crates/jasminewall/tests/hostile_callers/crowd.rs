//! Callers that write exact bytes and keep their connections open.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use {
    axum::body::Bytes,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::timeout,
    },
};

/// Longest wait for a response.
const RESPONSE_TIME: Duration = Duration::from_secs(30);
/// Pause of a restless caller before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that a caller writes: pieces, each a number of times.
#[derive(Clone, Default)]
pub(crate) struct SendPlan(Vec<(Bytes, usize)>);

impl SendPlan {
    pub(crate) fn new(head: &str) -> Self {
        Self(vec![(Bytes::copy_from_slice(head.as_bytes()), 1)])
    }

    pub(crate) fn repeat(mut self, piece: &[u8], times: usize) -> Self {
        self.0.push((Bytes::copy_from_slice(piece), times));
        self
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        for (piece, times) in &self.0 {
            for _ in 0..*times {
                stream.write_all(piece).await?;
            }
        }
        Ok(())
    }

    /// Writes everything, then reads the status of the response. The error says what went wrong.
    pub(crate) async fn send_and_read(&self, address: SocketAddr) -> Result<u16, String> {
        let exchange = async {
            let mut stream = TcpStream::connect(address).await?;
            self.send(&mut stream).await?;
            let mut head = [0; 1_024];
            let mut size = 0;
            while size < "HTTP/1.1 200".len() {
                match stream.read(&mut head[size..]).await? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    read => size += read,
                }
            }
            let status = String::from_utf8_lossy(&head[9..12]).parse();
            status.map_err(std::io::Error::other)
        };
        match timeout(RESPONSE_TIME, exchange).await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(_) => Err("no response in time".to_owned()),
        }
    }
}

async fn wait_closed(stream: &mut TcpStream) {
    let mut discarded = [0; 1_024];
    while stream.read(&mut discarded).await.is_ok_and(|size| size > 0) {}
}

/// Callers that stay connected until the value is dropped.
#[derive(Default)]
pub(crate) struct Crowd {
    callers: JoinSet<()>,
    sent: Arc<AtomicUsize>,
}

impl Crowd {
    pub(crate) fn add(&mut self, address: SocketAddr, plan: SendPlan) {
        let sent = self.sent.clone();
        self.callers.spawn(async move {
            let stream = TcpStream::connect(address).await;
            if let Ok(mut stream) = stream {
                // A caller that was refused keeps what is left of its connection.
                let _ = plan.send(&mut stream).await;
                sent.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
            }
            sent.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Adds a caller that sends its request again on a new connection whenever the router closes its
    /// connection.
    pub(crate) fn add_restless(&mut self, address: SocketAddr, plan: SendPlan) {
        let sent = self.sent.clone();
        self.callers.spawn(async move {
            loop {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    // A failed write means that the router has closed the connection.
                    let is_open = plan.send(&mut stream).await.is_ok();
                    sent.fetch_add(1, Ordering::Relaxed);
                    if is_open {
                        wait_closed(&mut stream).await;
                    }
                }
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        });
    }

    /// Number of requests that were sent or broken off.
    pub(crate) fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Waits until all callers have sent what they want, or for the given time if the router does
    /// not read it.
    pub(crate) async fn wait_sent(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.sent.load(Ordering::Relaxed) < self.callers.len() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
