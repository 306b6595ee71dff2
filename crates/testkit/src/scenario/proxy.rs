//! TCP proxy that simulates failures of the endpoint behind it: a closed port, a crash caused by a
//! request, and open connections that stall.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use {
    anyhow::Result,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::watch,
    },
};

/// Prompt word that makes the endpoint crash.
pub(super) const CRASH_WORD: &str = "crash-the-engine";
/// Time after which a crashed endpoint serves again.
const RESTART_TIME: Duration = Duration::from_millis(200);
/// Size of the copy buffer. A whole request of a scenario fits in one read, so that `CRASH_WORD` is
/// never split.
const BUFFER_BYTES: usize = 64 << 10;

/// Proxy in front of one endpoint; clones share its state.
#[derive(Clone)]
pub(super) struct EndpointProxy {
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
    crashes: Arc<AtomicU32>,
}

#[derive(Clone, Copy, Default)]
struct ProxyState {
    closed: bool,
    /// Number of stalls; each one stalls the connections that are open at that time.
    stalls: u32,
}

impl EndpointProxy {
    /// Starts a proxy on a free port.
    pub(super) async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            target,
            state: Arc::new(watch::Sender::new(ProxyState::default())),
            crashes: Arc::default(),
        };
        tokio::spawn(proxy.clone().run(listener));
        Ok(proxy)
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of crashes.
    pub(super) fn crash_count(&self) -> u32 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Closes the port and all connections, or opens the port again.
    pub(super) fn set_closed(&self, closed: bool) {
        self.state.send_modify(|state| state.closed = closed);
    }

    /// Stalls the open connections for good: they stay open but pass no more bytes. New connections
    /// work.
    pub(super) fn stall(&self) {
        self.state.send_modify(|state| state.stalls += 1);
    }

    async fn run(self, mut listener: TcpListener) {
        let mut state = self.state.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => Some(accepted),
                _ = state.wait_for(|state| state.closed) => None,
            };
            match accepted {
                Some(Ok((stream, _))) => {
                    tokio::spawn(self.clone().relay(stream));
                }
                Some(Err(_)) => {}
                None => {
                    drop(listener);
                    let _ = state.wait_for(|state| !state.closed).await;
                    let Ok(reopened) = TcpListener::bind(self.address).await else {
                        return;
                    };
                    listener = reopened;
                }
            }
        }
    }

    async fn relay(self, stream: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let mut state = self.state.subscribe();
        let stalls = state.borrow().stalls;
        let (from_caller, to_caller) = stream.into_split();
        let (from_endpoint, to_endpoint) = target.into_split();
        let upstream = self.clone().copy(from_caller, to_endpoint);
        let downstream = self.clone().copy(from_endpoint, to_caller);
        let mut closed = self.state.subscribe();
        let copies = async { tokio::join!(upstream, downstream) };
        tokio::pin!(copies);
        let is_stalled = tokio::select! {
            _ = &mut copies => false,
            _ = closed.wait_for(|state| state.closed) => false,
            _ = state.wait_for(|state| state.stalls != stalls) => true,
        };
        if is_stalled {
            // Keeps the sockets open without copying.
            std::future::pending::<()>().await;
        }
    }

    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            let text = String::from_utf8_lossy(&buffer[..count]);
            if text.contains(CRASH_WORD) {
                self.crash();
                return;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.set_closed(true);
        let proxy = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            proxy.set_closed(false);
        });
    }
}
