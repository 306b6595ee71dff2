//! Loopback TCP proxy that injects faults into the connections through it.

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

/// Fault that a link injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Forwards all bytes.
    None,
    /// Forwards all bytes, each read after a delay.
    Delayed(Duration),
    /// Forwards bytes to the server and drops the bytes of its responses.
    ResponsesDropped,
    /// Drops all bytes and keeps connections open.
    Blackhole,
}

/// Proxy between a router and one server.
#[derive(Clone)]
pub(crate) struct FaultyLink {
    pub(crate) address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    reset: Arc<Notify>,
}

impl FaultyLink {
    /// Starts a proxy to a server.
    pub(crate) async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("a bound address"),
            fault: Arc::new(Mutex::new(LinkFault::None)),
            reset: Arc::default(),
        };
        let acceptor = link.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().forward(client, server));
            }
        });
        link
    }

    /// Sets the fault for all connections.
    pub(crate) fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Resets all open connections.
    pub(crate) fn reset(&self) {
        self.reset.notify_waiters();
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward(self, client: TcpStream, server: SocketAddr) {
        let Ok(upstream) = TcpStream::connect(server).await else {
            return;
        };
        // Closing a socket with zero linger sends a TCP reset.
        let _ = client.set_zero_linger();
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let reset = self.reset.clone();
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = upstream.into_split();
        let transfer = async {
            tokio::select! {
                () = self.copy(client_reader, server_writer, false) => {}
                () = self.copy(server_reader, client_writer, true) => {}
            }
        };
        tokio::select! {
            () = transfer => {}
            () = reset.notified() => {}
        }
    }

    async fn copy(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
        is_response: bool,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        // After a connection has dropped bytes, it must not deliver later ones.
        let mut has_dropped = false;
        while let Ok(count @ 1..) = reader.read(&mut buffer).await {
            match self.fault() {
                LinkFault::Delayed(time) => tokio::time::sleep(time).await,
                LinkFault::ResponsesDropped => has_dropped |= is_response,
                LinkFault::Blackhole => has_dropped = true,
                LinkFault::None => {}
            }
            if !has_dropped && writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
        if has_dropped {
            std::future::pending::<()>().await;
        }
        // Lets the peer read the bytes that were sent before the close.
        let _ = writer.shutdown().await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
