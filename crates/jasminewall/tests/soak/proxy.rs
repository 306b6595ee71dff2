//! Loopback proxy that harms the connections through it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// What happens to the bytes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Bytes pass.
    None,
    /// Bytes pass later.
    Delayed(Duration),
    /// Bytes towards the server pass, answers are lost.
    AnswersLost,
    /// All bytes are lost, and connections stay open.
    Silent,
}

/// Link between a router and one server.
#[derive(Clone)]
pub(crate) struct FaultyLink {
    pub(crate) address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    reset: Arc<Notify>,
}

impl FaultyLink {
    /// Starts a link to a server.
    pub(crate) async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("a bound address"),
            fault: Arc::new(Mutex::new(LinkFault::None)),
            reset: Arc::default(),
        };
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().pass(near, server));
            }
        });
        link
    }

    pub(crate) fn set(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Resets all open connections.
    pub(crate) fn reset(&self) {
        self.reset.notify_waiters();
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn pass(self, near: TcpStream, server: SocketAddr) {
        let Ok(far) = TcpStream::connect(server).await else {
            return;
        };
        // A closed socket with a linger of zero sends a reset.
        let _ = near.set_zero_linger();
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let reset = self.reset.clone();
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let both = async {
            tokio::select! {
                () = self.copy(near_in, far_out, false) => {}
                () = self.copy(far_in, near_out, true) => {}
            }
        };
        tokio::select! {
            () = both => {}
            () = reset.notified() => {}
        }
    }

    async fn copy(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        is_answer: bool,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        // A connection that lost bytes delivers nothing further.
        let mut lost = false;
        while let Ok(size @ 1..) = from.read(&mut buffer).await {
            match self.fault() {
                LinkFault::Delayed(time) => tokio::time::sleep(time).await,
                LinkFault::AnswersLost => lost |= is_answer,
                LinkFault::Silent => lost = true,
                LinkFault::None => {}
            }
            if !lost && to.write_all(&buffer[..size]).await.is_err() {
                return;
            }
        }
        if lost {
            std::future::pending::<()>().await;
        }
        // Lets the other end read what was sent before the close.
        let _ = to.shutdown().await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
