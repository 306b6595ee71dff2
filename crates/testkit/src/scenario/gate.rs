//! Gate in front of an endpoint: it can close the port, crash on a word, and silence connections.

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

/// Word in a request that makes its endpoint crash.
pub(super) const CRASH_WORD: &str = "crash-the-engine";
/// Time until an endpoint that crashed serves again.
const RESTART_TIME: Duration = Duration::from_millis(200);
/// Size of the copy buffer; a whole request of a scenario fits in.
const BUFFER_BYTES: usize = 64 << 10;

/// Gate in front of one endpoint.
#[derive(Clone)]
pub(super) struct EndpointGate {
    address: SocketAddr,
    target: SocketAddr,
    control: Arc<watch::Sender<GateState>>,
    crashes: Arc<AtomicU32>,
}

#[derive(Clone, Copy, Default)]
struct GateState {
    closed: bool,
    /// Grows when the open connections are to be silenced.
    silenced: u32,
}

impl EndpointGate {
    /// Opens a gate on a free port.
    pub(super) async fn open(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let gate = Self {
            address: listener.local_addr()?,
            target,
            control: Arc::new(watch::Sender::new(GateState::default())),
            crashes: Arc::default(),
        };
        tokio::spawn(gate.clone().run(listener));
        Ok(gate)
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of crashes.
    pub(super) fn crashes(&self) -> u32 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Closes the port and all connections, or opens the port again.
    pub(super) fn set_closed(&self, closed: bool) {
        self.control.send_modify(|state| state.closed = closed);
    }

    /// Silences the open connections for good; new ones work.
    pub(super) fn silence(&self) {
        self.control.send_modify(|state| state.silenced += 1);
    }

    async fn run(self, mut listener: TcpListener) {
        let mut state = self.control.subscribe();
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
                    let Ok(again) = TcpListener::bind(self.address).await else {
                        return;
                    };
                    listener = again;
                }
            }
        }
    }

    async fn relay(self, stream: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let mut state = self.control.subscribe();
        let silenced = state.borrow().silenced;
        let (from_caller, to_caller) = stream.into_split();
        let (from_endpoint, to_endpoint) = target.into_split();
        let forth = self.clone().copy(from_caller, to_endpoint);
        let back = self.clone().copy(from_endpoint, to_caller);
        let mut closing = self.control.subscribe();
        let both = async { tokio::join!(forth, back) };
        tokio::pin!(both);
        let is_silenced = tokio::select! {
            _ = &mut both => false,
            _ = closing.wait_for(|state| state.closed) => false,
            _ = state.wait_for(|state| state.silenced != silenced) => true,
        };
        if is_silenced {
            // The sockets stay open and nothing passes any more.
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
        let gate = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            gate.set_closed(false);
        });
    }
}
