use std::{
    collections::HashMap,
    fmt,
    future::Future,
    mem::MaybeUninit,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::{Duration, Instant},
};

use {
    bytes::Buf,
    hyper::body::{Body, Frame, SizeHint},
    jasminewall_core::body_account::SOCKET_BUFFER,
    socket2::SockRef,
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest, ReadBuf, Ready},
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
/// Time for which a connection keeps its slot after a response that may not fit into the send buffer, so
/// that its caller can read it.
const DELIVERY_TIME: Duration = Duration::from_secs(2);
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
/// Interval at which connections with a running request are checked for callers that have left. The rules
/// allow half a second until the endpoint is told.
const LEFT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of unread bytes behind a running request from which they are discarded, as they hide whether
/// the caller has left. A pipelined request among them is lost; the connection closes after the response,
/// so that its caller knows that it was not served.
const STALLED_BYTES: usize = 4 << 10;
/// Reads of [`DISCARD_BYTES`] from one connection in an interval.
const DISCARD_READS: usize = 64;
/// Part of an incomplete head from which its connection is closed if heads take too much memory; it
/// exceeds the first read buffer.
const LARGE_HEAD: usize = 8 << 10;

/// Slot of one connection.
pub struct CallerSlot {
    id: u64,
    memory: Arc<CallerMemory>,
    /// Since when the connection has had no complete request; `None` while it has one.
    waiting_since: Mutex<Option<Instant>>,
    /// When the caller has had time to read the last response.
    delivered_at: Mutex<Instant>,
    /// Bytes of the head that is being read.
    head: AtomicUsize,
    in_head: AtomicBool,
    is_closing: AtomicBool,
    is_evicted: AtomicBool,
    /// Whether the connection is reset when it is evicted, since the last response may not fit into the
    /// send buffer.
    resets: AtomicBool,
    /// Since when the caller does not read what is written to it.
    blocked_since: Mutex<Option<Instant>>,
    evictor: Arc<Notify>,
    /// Set once the connection is served.
    stream: OnceLock<Weak<Mutex<TcpStream>>>,
    has_left: AtomicBool,
    /// Number of reads from the connection.
    reads: AtomicU64,
    /// Value of `reads` when many unread bytes were found last.
    stalled_at: Mutex<Option<u64>>,
    /// Bytes behind the running request that were discarded; its connection closes after the response.
    discarded: AtomicUsize,
}

/// Why a connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// Its slot or memory is needed for others, or its caller sends too much behind a running request.
    Evicted,
    /// Its caller has closed it.
    CallerLeft,
}

impl fmt::Debug for CallerSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallerSlot").field(&self.id).finish()
    }
}

impl CallerMemory {
    /// Takes a slot for a new connection. If all are taken, the connection that has waited longest
    /// without a complete request gives up its own. Returns `None` if all connections have requests or
    /// have just got a large response.
    pub fn admit(self: &Arc<Self>) -> Option<Arc<CallerSlot>> {
        static SERIAL: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let mut slots = self.slots();
        if slots.len() >= self.plan.connections && !self.evict_longest_waiting(&mut slots, 0) {
            self.record(CallerEvent::ConnectionRefused);
            return None;
        }
        let now = Instant::now();
        let slot = Arc::new(CallerSlot {
            id: SERIAL.fetch_add(1, Ordering::Relaxed),
            memory: self.clone(),
            waiting_since: Mutex::new(Some(now)),
            delivered_at: Mutex::new(now),
            head: AtomicUsize::new(0),
            in_head: AtomicBool::new(true),
            is_closing: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            resets: AtomicBool::new(false),
            blocked_since: Mutex::default(),
            evictor: Arc::default(),
            stream: OnceLock::new(),
            has_left: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            stalled_at: Mutex::default(),
            discarded: AtomicUsize::new(0),
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
        let now = Instant::now();
        let waiting = slots.values().filter_map(|slot| {
            let since = (*slot.waiting())?;
            if *slot.delivered_at() > now {
                return None;
            }
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

    /// Closes the connection whose caller has not read its response for the longest time, if there are
    /// too many of them.
    fn limit_blocked(&self) {
        if self.blocked.load(Ordering::Relaxed) <= self.plan.blocked_callers {
            return;
        }
        let slots = self.slots();
        let blocked = slots
            .values()
            .filter_map(|slot| Some(((*slot.blocked())?, slot.id)));
        if let Some(slot) = blocked.min().and_then(|(_, id)| slots.get(&id)) {
            slot.set_blocked(false);
            slot.evictor.notify_one();
            tracing::info!("a connection whose caller does not read is closed");
            self.record(CallerEvent::ReaderEvicted);
        }
    }

    /// Closes HTTP/1 connections whose callers have left while a request runs, until `memory` is dropped.
    /// The server does not notice it itself if bytes behind the request are unread.
    pub async fn close_left_connections(memory: Weak<Self>) {
        loop {
            tokio::time::sleep(LEFT_INTERVAL).await;
            let Some(memory) = memory.upgrade() else {
                return;
            };
            let slots = memory.slots();
            for slot in slots.values().filter(|slot| slot.has_request()) {
                slot.check_caller();
            }
        }
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

    fn delivered_at(&self) -> MutexGuard<'_, Instant> {
        self.delivered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn blocked(&self) -> MutexGuard<'_, Option<Instant>> {
        self.blocked_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether the caller reads. Returns whether that changed.
    fn set_blocked(&self, is_blocked: bool) -> bool {
        let mut blocked = self.blocked();
        if blocked.is_some() == is_blocked {
            return false;
        }
        *blocked = is_blocked.then(Instant::now);
        let count = &self.memory.blocked;
        if is_blocked {
            count.fetch_add(1, Ordering::Relaxed);
        } else {
            count.fetch_sub(1, Ordering::Relaxed);
        }
        true
    }

    /// Completes when the connection must be closed.
    pub async fn evicted(&self) -> SlotEnd {
        self.evictor.notified().await;
        self.is_evicted.store(true, Ordering::Relaxed);
        match self.has_left.load(Ordering::Relaxed) {
            true => SlotEnd::CallerLeft,
            false => SlotEnd::Evicted,
        }
    }

    /// Evicts the connection if its caller has closed or reset it, also behind unread bytes. If these do not
    /// fit into the receive buffer, they hide the end of the connection and are discarded.
    fn check_caller(&self) {
        let Some(stream) = self.stream.get().and_then(Weak::upgrade) else {
            return;
        };
        let stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(ready) = read_readiness(&stream) else {
            return;
        };
        let has_ended = self.is_stalled(&stream) && self.discard_unread(&stream);
        let has_left = has_ended || ready.is_read_closed();
        let is_excessive = self.discarded.load(Ordering::Relaxed) > LINGER_BYTES;
        if has_left || is_excessive {
            self.has_left.store(has_left, Ordering::Relaxed);
            self.evictor.notify_one();
        }
    }

    /// Whether the server does not read what the caller sends behind its request.
    fn is_stalled(&self, stream: &TcpStream) -> bool {
        if self.discarded.load(Ordering::Relaxed) > 0 {
            return true;
        }
        let mut bytes = [MaybeUninit::uninit(); STALLED_BYTES];
        let unread = SockRef::from(stream).peek(&mut bytes);
        let mut stalled_at = self
            .stalled_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let reads = self.reads.load(Ordering::Relaxed);
        let is_full = unread.is_ok_and(|size| size == STALLED_BYTES);
        // Once is not enough: the server may be about to read.
        is_full && stalled_at.replace(reads) == Some(reads)
    }

    /// Discards what the caller has sent behind its request. The server reads the end of the connection from
    /// then on, so that no request is read across the gap. Returns whether the connection has ended.
    fn discard_unread(&self, stream: &TcpStream) -> bool {
        let mut bytes = [0; DISCARD_BYTES];
        for _ in 0..DISCARD_READS {
            match stream.try_read(&mut bytes) {
                Ok(0) => return true,
                Ok(size) => {
                    self.discarded.fetch_add(size, Ordering::Relaxed);
                }
                Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    pub(crate) fn evictor(&self) -> Arc<Notify> {
        self.evictor.clone()
    }

    /// Releases the slot; called when the connection is closed.
    pub fn release(&self) {
        self.end_head();
        self.set_blocked(false);
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

    /// Whether a complete request has no complete response yet.
    pub fn has_request(&self) -> bool {
        self.waiting().is_none()
    }

    /// Wraps the body of a response: the connection waits for a request when it is dropped.
    pub fn guard<B>(self: &Arc<Self>, body: B) -> GuardedBody<B> {
        GuardedBody {
            body,
            bytes: 0,
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
    /// Bytes that were handed out.
    bytes: usize,
    slot: Arc<CallerSlot>,
}

impl<B> Drop for GuardedBody<B> {
    fn drop(&mut self) {
        self.slot.in_head.store(true, Ordering::Relaxed);
        let now = Instant::now();
        let is_large = self.bytes > SOCKET_BUFFER;
        self.slot.resets.store(is_large, Ordering::Relaxed);
        if is_large {
            *self.slot.delivered_at() = now + DELIVERY_TIME;
        }
        *self.slot.waiting() = Some(now);
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let poll = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &poll {
            self.bytes += frame.data_ref().map_or(0, Buf::remaining);
        }
        poll
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
    /// Shared with the slot, which finds out whether the caller has left.
    stream: Arc<Mutex<TcpStream>>,
    slot: Arc<CallerSlot>,
    linger: Option<Pin<Box<Sleep>>>,
    discarded: usize,
    is_blocked: bool,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, slot: Arc<CallerSlot>) -> Self {
        let stream = Arc::new(Mutex::new(stream));
        slot.stream.get_or_init(|| Arc::downgrade(&stream));
        Self {
            stream,
            slot,
            linger: None,
            discarded: 0,
            is_blocked: false,
        }
    }

    fn stream(&self) -> MutexGuard<'_, TcpStream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether the caller reads what is written to it.
    fn record_write<T>(&mut self, poll: &Poll<T>) {
        self.is_blocked = poll.is_pending();
        if self.slot.set_blocked(poll.is_pending()) && poll.is_pending() {
            self.slot.memory.limit_blocked();
        }
    }

    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *self.stream()).poll_read(context, &mut buffer));
            let size = buffer.filled().len();
            self.discarded += size;
            if read.is_err() || size == 0 || self.discarded > LINGER_BYTES {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for CallerStream {
    /// Resets an evicted connection whose caller may not have read all: the system would keep the rest for
    /// minutes after the connection was closed.
    fn drop(&mut self) {
        let is_evicted = self.slot.is_evicted.load(Ordering::Relaxed);
        if is_evicted
            && (self.is_blocked || self.slot.resets.load(Ordering::Relaxed))
            && let Err(error) = self.stream().set_zero_linger()
        {
            tracing::debug!(%error, "cannot reset a connection");
        }
    }
}

/// Whether a connection has unread bytes, or was closed or reset by its peer, also behind such bytes; `None`
/// if neither is the case.
fn read_readiness(stream: &TcpStream) -> Option<Ready> {
    let ready = pin!(stream.ready(Interest::READABLE));
    let mut context = Context::from_waker(Waker::noop());
    match ready.poll(&mut context) {
        Poll::Ready(ready) => ready.ok(),
        Poll::Pending => None,
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let poll = {
            let mut stream = self.stream();
            if self.slot.discarded.load(Ordering::Relaxed) > 0 {
                return Poll::Ready(Ok(()));
            }
            Pin::new(&mut *stream).poll_read(context, buffer)
        };
        if poll.is_ready() {
            self.slot.reads.fetch_add(1, Ordering::Relaxed);
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
        let poll = Pin::new(&mut *self.stream()).poll_write(context, bytes);
        self.record_write(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let poll = Pin::new(&mut *self.stream()).poll_write_vectored(context, slices);
        self.record_write(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        if !self.slot.is_closing() {
            return Pin::new(&mut *self.stream()).poll_shutdown(context);
        }
        if self.linger.is_none() {
            ready!(Pin::new(&mut *self.stream()).poll_shutdown(context))?;
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
