use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    jasminewall_core::body_account::{BodyGrowth, PROGRESS_TIMEOUT, SMALL_BODY},
    tokio::{sync::Notify, time::timeout_at},
};

use crate::{
    connection::CallerSlot,
    memory::{BodyHold, BodyKind, CallerEvent, CallerMemory},
};

/// Capacity of the buffer of a large body. The allocator maps buffers of this size separately whatever
/// was freed before (its threshold rises to 32 MB at most), so that only the pages in use take memory,
/// all of them are returned when the body is released, and the buffer never moves.
const BLOCK_BYTES: usize = 33 << 20;
/// Bytes that a large body of unknown length asks for at a time.
const GROWTH_BYTES: usize = 64 << 10;
/// Smallest read buffer of a connection; a body that is kept in it keeps all of it.
const READ_BUFFER: usize = 8 << 10;

/// Longest wait of a partly sent request body for memory. Exceeds the time after which bodies without
/// progress are evicted, so that bodies that wait for each other end.
const GROWTH_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a body that waits for memory tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the deadline of a request at which its response stops waiting for memory.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// There is no memory for it.
    MemoryFull,
    /// It made no progress.
    Stalled,
    /// It ended early or is malformed.
    Broken,
}

/// Bytes that belong to the account until the last reference to them is dropped.
struct OwnedBody<T> {
    bytes: T,
    _hold: BodyHold,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for OwnedBody<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Buffer of a body that is being read. `counted` bytes belong to the account.
struct BodyBuffer {
    bytes: Vec<u8>,
    counted: usize,
    hold: BodyHold,
    /// Until when a response, whose request has run, waits for memory. A request is refused.
    wait_until: Option<Instant>,
}

impl BodyBuffer {
    /// Counts the bytes up to a total of `size`, and makes room for them.
    async fn reserve(&mut self, size: usize, evicted: &Notify) -> Result<(), BodyError> {
        if size > self.counted {
            let more = size - self.counted;
            // What has been sent already is not thrown away at once: others may end meanwhile, or
            // stall and be evicted.
            let is_partial = self.counted > 0;
            let wait_until = self
                .wait_until
                .or_else(|| is_partial.then(|| Instant::now() + GROWTH_WAIT));
            self.hold.grow(more, evicted, wait_until).await?;
            self.counted = size;
        }
        let capacity = match size {
            ..=SMALL_BODY => size,
            _ => BLOCK_BYTES.max(size),
        };
        if capacity > self.bytes.capacity() {
            let more = capacity - self.bytes.len();
            let reserved = self.bytes.try_reserve_exact(more);
            reserved.map_err(|_| BodyError::MemoryFull)?;
        }
        Ok(())
    }
}

impl BodyHold {
    /// Counts `bytes` more. Waits for evicted bodies to be released.
    async fn grow(
        &self,
        bytes: usize,
        evicted: &Notify,
        wait_until: Option<Instant>,
    ) -> Result<(), BodyError> {
        let memory = &self.memory;
        let deadline = wait_until.unwrap_or_else(|| Instant::now() + PROGRESS_TIMEOUT);
        loop {
            let released = memory.released.notified();
            let others = match self.try_grow(bytes) {
                BodyGrowth::Granted => return Ok(()),
                BodyGrowth::Refused if wait_until.is_none() => return Err(BodyError::MemoryFull),
                BodyGrowth::Refused => Vec::new(),
                BodyGrowth::Wait(others) => others,
            };
            for other in others {
                self.evict(other);
            }
            if Instant::now() >= deadline {
                return Err(BodyError::MemoryFull);
            }
            let retry_at = deadline.min(Instant::now() + RETRY_INTERVAL);
            tokio::select! {
                // A body may also become evictable, which is not notified.
                _ = timeout_at(retry_at.into(), released) => {}
                () = evicted.notified() => return Err(BodyError::Stalled),
            }
        }
    }
}

impl CallerMemory {
    /// Reads the body of a request of at most `limit` bytes. The bytes are counted until the last
    /// reference to them is dropped. After an error the connection is closed: `slot` then discards
    /// what is still in transit, so that the caller can read the refusal.
    ///
    /// # Errors
    ///
    /// If the body is too large, stalls or breaks off, or there is no memory for it.
    pub async fn read_body<B>(
        self: &Arc<Self>,
        body: B,
        limit: usize,
        slot: &CallerSlot,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let read = self.read(body, limit, Arc::default(), None).await;
        if let Err(error) = read {
            match error {
                BodyError::TooLarge => self.record(CallerEvent::BodyTooLarge),
                BodyError::MemoryFull => self.record(CallerEvent::BodyMemoryFull),
                BodyError::Stalled => self.record(CallerEvent::BodyStalled),
                BodyError::Broken => {}
            }
            slot.close_after_response();
        }
        read
    }

    /// Reads the body of a response of at most `limit` bytes. It counts until the caller has got it.
    /// If the account is full, the connection of the caller that has not read its response for the
    /// longest time is closed.
    ///
    /// # Errors
    ///
    /// As for [`Self::read_body`].
    pub async fn read_response<B>(
        self: &Arc<Self>,
        body: B,
        limit: usize,
        slot: &CallerSlot,
        deadline: Instant,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let latest = deadline.checked_sub(DEADLINE_MARGIN).unwrap_or(deadline);
        self.read(body, limit, slot.evictor(), Some(latest)).await
    }

    async fn read<B>(
        self: &Arc<Self>,
        mut body: B,
        limit: usize,
        evictor: Arc<Notify>,
        wait_until: Option<Instant>,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let is_request = wait_until.is_none();
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge);
        }
        if length == Some(0) || body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let kind = match is_request {
            true => BodyKind::Request,
            false => BodyKind::Response,
        };
        let hold = self.open_body(kind, evictor.clone());
        let mut buffer = BodyBuffer {
            bytes: Vec::new(),
            counted: 0,
            hold,
            wait_until,
        };
        // The place of an announced body is certain before it is read.
        if let Some(length) = length {
            let counted = length.max(READ_BUFFER);
            buffer.hold.grow(counted, &evictor, wait_until).await?;
            buffer.counted = counted;
        }
        loop {
            let expires_at = buffer.hold.expires_at().ok_or(BodyError::Stalled)?;
            let frame = async {
                if is_request {
                    timeout_at(expires_at.into(), body.frame()).await
                } else {
                    // The deadline of the request bounds the time of a response.
                    Ok(body.frame().await)
                }
            };
            let frame = tokio::select! {
                biased;
                () = evictor.notified() => return Err(BodyError::Stalled),
                frame = frame => frame.map_err(|_| BodyError::Stalled)?,
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                continue;
            };
            let size = buffer.bytes.len() + data.len();
            if size > limit {
                return Err(BodyError::TooLarge);
            }
            if Some(size) == length && buffer.bytes.is_empty() {
                return buffer.finish(data, is_request);
            }
            let wanted = match length {
                Some(length) => length,
                None if size > SMALL_BODY => size.next_multiple_of(GROWTH_BYTES),
                None => size.next_power_of_two().clamp(READ_BUFFER, SMALL_BODY),
            };
            buffer.reserve(wanted, &evictor).await?;
            buffer.bytes.extend_from_slice(&data);
            buffer.hold.record(data.len());
            if Some(size) == length {
                break;
            }
        }
        let bytes = std::mem::take(&mut buffer.bytes);
        buffer.finish(bytes, is_request)
    }
}

impl BodyBuffer {
    /// Hands the bytes out. A request may run from now on, so that its body is not evicted.
    fn finish<T>(self, bytes: T, is_request: bool) -> Result<Bytes, BodyError>
    where
        T: AsRef<[u8]> + Send + 'static,
    {
        let hold = self.hold;
        if is_request && !hold.complete() {
            return Err(BodyError::Stalled);
        }
        Ok(Bytes::from_owner(OwnedBody { bytes, _hold: hold }))
    }
}
