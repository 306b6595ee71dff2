use std::{
    collections::HashMap,
    fmt,
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use {
    hyper::body::{Body, Frame, SizeHint},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
        sync::Notify,
        time::{Sleep, timeout},
    },
};

use crate::memory::{CallerEvent, CallerMemory};

/// Time for which data in transit is discarded after a refusal: a body of 4 MB takes 3.4 s at
/// 10 Mbit/s.
const LINGER_TIME: Duration = Duration::from_secs(5);
/// Bytes that are discarded after a refusal: twice the default limit of a body.
const LINGER_BYTES: usize = 8 << 20;
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 8 << 10;
/// Response to a connection for which there is no slot. A client retries after running requests have
/// ended; most take less than a second.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Time for which a refused connection stays open, and bytes that it discards, so that its caller can
/// read the response before a reset.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
const REFUSAL_DISCARD_BYTES: u64 = 64 << 10;
/// Refused connections that are open at once.
pub(crate) const REFUSAL_LIMIT: usize = 64;
/// Part of an incomplete head from which its connection is closed if heads take too much memory; it
/// exceeds the first read buffer.
const LARGE_HEAD: usize = 8 << 10;

/// Slot of one connection.
pub struct CallerSlot {
    id: u64,
    memory: Arc<CallerMemory>,
    /// Since when the connection has had no complete request; `None` while it has one.
    waiting_since: Mutex<Option<Instant>>,
    /// Bytes of the head that is being read.
    head: AtomicUsize,
    in_head: AtomicBool,
    is_closing: AtomicBool,
    evictor: Arc<Notify>,
}

impl fmt::Debug for CallerSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallerSlot").field(&self.id).finish()
    }
}

impl CallerMemory {
    /// Takes a slot for a new connection. If all are taken, the connection that has waited longest
    /// without a complete request gives up its own. Returns `None` if all connections have requests.
    pub fn admit(self: &Arc<Self>) -> Option<Arc<CallerSlot>> {
        static SERIAL: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let mut slots = self.slots();
        if slots.len() >= self.plan.connections && !self.evict_longest_waiting(&mut slots, 0) {
            self.record(CallerEvent::ConnectionRefused);
            return None;
        }
        let slot = Arc::new(CallerSlot {
            id: SERIAL.fetch_add(1, Ordering::Relaxed),
            memory: self.clone(),
            waiting_since: Mutex::new(Some(Instant::now())),
            head: AtomicUsize::new(0),
            in_head: AtomicBool::new(true),
            is_closing: AtomicBool::new(false),
            evictor: Arc::default(),
        });
        slots.insert(slot.id, slot.clone());
        Some(slot)
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<u64, Arc<CallerSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection that has waited longest, of those with at least `head` bytes of a head. Its
    /// slot is free at once, and its task ends when it is polled next.
    fn evict_longest_waiting(
        &self,
        slots: &mut HashMap<u64, Arc<CallerSlot>>,
        head: usize,
    ) -> bool {
        let waiting = slots.values().filter_map(|slot| {
            let since = (*slot.waiting())?;
            (slot.head.load(Ordering::Relaxed) >= head).then_some((since, slot.id))
        });
        let Some((since, id)) = waiting.min() else {
            return false;
        };
        if let Some(slot) = slots.remove(&id) {
            *slot.waiting() = None;
            slot.evictor.notify_one();
        }
        let waited_ms = since.elapsed().as_millis();
        tracing::info!(%waited_ms, "a connection without a complete request gives up its slot");
        self.record(CallerEvent::ConnectionEvicted);
        true
    }

    /// Answers a connection for which there is no slot, and closes it. It is closed without an answer if
    /// many are being refused; its request was not read in both cases.
    pub fn refuse(&self, mut stream: TcpStream) {
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let _permit = permit;
            let exchange = async {
                stream.write_all(REFUSAL).await?;
                stream.shutdown().await?;
                let discarded = &mut stream.take(REFUSAL_DISCARD_BYTES);
                tokio::io::copy(discarded, &mut tokio::io::sink()).await
            };
            if let Ok(Err(error)) = timeout(REFUSAL_TIME, exchange).await {
                tracing::debug!(%error, "a refused connection failed");
            }
        });
    }
}

impl CallerSlot {
    fn waiting(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.waiting_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Completes when the connection must be closed.
    pub async fn evicted(&self) {
        self.evictor.notified().await;
    }

    pub(crate) fn evictor(&self) -> Arc<Notify> {
        self.evictor.clone()
    }

    /// Releases the slot; called when the connection is closed.
    pub fn release(&self) {
        self.end_head();
        self.memory.slots().remove(&self.id);
    }

    /// Called when the head of a request is complete.
    pub fn end_head(&self) {
        self.in_head.store(false, Ordering::Relaxed);
        let head = self.head.swap(0, Ordering::Relaxed);
        self.memory.heads.fetch_sub(head, Ordering::Relaxed);
    }

    /// Called when a request is complete: it runs, and its connection is not closed for another one.
    pub fn begin(&self) {
        *self.waiting() = None;
    }

    /// Wraps the body of a response: the connection waits for a request when it is dropped.
    pub fn guard<B>(self: &Arc<Self>, body: B) -> GuardedBody<B> {
        GuardedBody {
            body,
            slot: self.clone(),
        }
    }

    /// Closes the connection after the next response, and discards what is in transit then.
    pub fn close_after_response(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Whether the connection closes after the next response, which must say so.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    fn record_read(&self, bytes: usize) {
        if !self.in_head.load(Ordering::Relaxed) {
            return;
        }
        self.head.fetch_add(bytes, Ordering::Relaxed);
        let heads = self.memory.heads.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if heads > self.memory.plan.head_bytes {
            let mut slots = self.memory.slots();
            self.memory.evict_longest_waiting(&mut slots, LARGE_HEAD);
        }
    }
}

/// Body of a response. Its connection waits for the next request when it is dropped.
pub struct GuardedBody<B> {
    body: B,
    slot: Arc<CallerSlot>,
}

impl<B> Drop for GuardedBody<B> {
    fn drop(&mut self) {
        self.slot.in_head.store(true, Ordering::Relaxed);
        *self.slot.waiting() = Some(Instant::now());
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connection of a caller. After a refusal it is not closed with unread bytes, which would reset it
/// before the caller has read the response.
pub struct CallerStream {
    stream: TcpStream,
    slot: Arc<CallerSlot>,
    linger: Option<Pin<Box<Sleep>>>,
    discarded: usize,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, slot: Arc<CallerSlot>) -> Self {
        Self {
            stream,
            slot,
            linger: None,
            discarded: 0,
        }
    }

    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            let size = buffer.filled().len();
            self.discarded += size;
            if read.is_err() || size == 0 || self.discarded > LINGER_BYTES {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if poll.is_ready() {
            self.slot.record_read(buffer.filled().len() - before);
        }
        poll
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        if !self.slot.is_closing() {
            return Pin::new(&mut self.stream).poll_shutdown(context);
        }
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_TIME)));
        }
        if self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let linger = self
            .linger
            .as_mut()
            .map(|sleep| sleep.as_mut().poll(context));
        match linger {
            Some(Poll::Pending) => Poll::Pending,
            _ => Poll::Ready(Ok(())),
        }
    }
}
