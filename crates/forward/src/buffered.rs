use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use {
    bytes::Bytes, futures_util::StreamExt, jasminewall_core::body_account::MemoryPlan,
    tokio::time::timeout_at,
};

use crate::{
    attempt::{AdmittedRequest, ClassifiedResponse, InFlightGuard, OpenResponse},
    dispatch::FirstResponse,
    forwarder::{Forwarder, RESPONSE_GRACE},
    port::{CallError, EndpointBody, EndpointResponse},
    request::{BrokenResponse, ForwardResponse, RefusalKind, ResponseBody},
    stream::{StreamRelay, StreamRun},
};

/// Size in bytes up to which a response is read completely before it is relayed, so that the
/// request can be retried if the response is cut off.
const BUFFER_LIMIT: usize = 64 << 10;

/// Bytes of all responses that are kept until their callers have got them.
#[derive(Debug)]
pub(crate) struct KeptResponses {
    bytes: AtomicUsize,
    limit: AtomicUsize,
}

impl Default for KeptResponses {
    fn default() -> Self {
        Self {
            bytes: AtomicUsize::new(0),
            limit: AtomicUsize::new(MemoryPlan::of_machine(None).kept_bytes),
        }
    }
}

impl KeptResponses {
    pub(crate) fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }
}

/// Bytes of one response in [`KeptResponses`], released on drop.
struct KeptHold {
    responses: Arc<KeptResponses>,
    bytes: usize,
}

impl KeptHold {
    /// Counts `bytes` more. Returns whether there is room for further ones.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self.responses.bytes.fetch_add(bytes, Ordering::Relaxed);
        before + bytes < self.responses.limit.load(Ordering::Relaxed)
    }

    fn remove(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.responses.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for KeptHold {
    fn drop(&mut self) {
        self.remove(self.bytes);
    }
}

impl Forwarder {
    /// Relays a response. Retries the request if a response that is not an event stream is cut off
    /// while it is read into the buffer.
    pub(crate) async fn relay(
        self: &Arc<Self>,
        mut admitted: AdmittedRequest,
        mut open: OpenResponse,
    ) -> Result<ForwardResponse, RefusalKind> {
        loop {
            let whole = match open.classify(admitted.route.retry_policy) {
                ClassifiedResponse::Stream(response) => {
                    let run = Box::new(StreamRun::new(response));
                    return Ok(StreamRelay::start(self.clone(), admitted, run));
                }
                ClassifiedResponse::Whole(response) => response,
            };
            let (response, mut guard) = whole.into_parts();
            let read_deadline = admitted.deadline + RESPONSE_GRACE;
            let EndpointResponse {
                status,
                headers,
                length,
                is_framed,
                body,
                ..
            } = response;
            let hold = KeptHold {
                responses: self.kept.clone(),
                bytes: 0,
            };
            let read = timeout_at(read_deadline.into(), read_buffered(body, hold)).await;
            let reason = match read {
                Ok(Ok(read)) => {
                    if is_framed && status.is_success() {
                        self.record_completion(&admitted);
                    }
                    let taken_ms = admitted.request.arrived.elapsed().as_millis();
                    tracing::info!(request = %admitted.request.id, endpoint = %guard.endpoint(), %status, %taken_ms, kind = "whole", "answered");
                    self.metrics
                        .answered(&admitted.route.name, status, admitted.request.arrived);
                    return Ok(ForwardResponse::Relayed {
                        status,
                        headers,
                        length,
                        body: buffered_body(read, read_deadline, admitted, guard),
                    });
                }
                Ok(Err(error)) => {
                    guard.check_crash(&admitted).await;
                    error.to_string()
                }
                Err(_) => {
                    guard.mark_failed();
                    "the response did not end in time".to_owned()
                }
            };
            tracing::info!(request = %admitted.request.id, endpoint = %guard.endpoint(), reason, "the response was cut off");
            drop(guard);
            let expired = Instant::now() >= admitted.deadline;
            if expired || !admitted.may_run_again() || !self.take_retry(&admitted) {
                return Err(RefusalKind::Lost);
            }
            open = match self.dispatch(&mut admitted, None).await? {
                FirstResponse::Open(open) => *open,
                FirstResponse::Stream(run) => {
                    return Ok(StreamRelay::start(self.clone(), admitted, run));
                }
            };
        }
    }
}

/// Buffered parts of a body, and the unread rest of one that exceeds [`BUFFER_LIMIT`] or does not fit
/// into [`KeptResponses`].
struct BufferedRead {
    parts: Vec<Bytes>,
    hold: KeptHold,
    rest: Option<EndpointBody>,
}

async fn read_buffered(
    mut body: EndpointBody,
    mut hold: KeptHold,
) -> Result<BufferedRead, CallError> {
    let mut parts = Vec::new();
    let mut rest = None;
    while let Some(part) = body.next().await {
        let part = part?;
        let has_room = hold.add(part.len());
        parts.push(part);
        if hold.bytes > BUFFER_LIMIT || !has_room {
            rest = Some(body);
            break;
        }
    }
    Ok(BufferedRead { parts, hold, rest })
}

/// Returns a body of the buffered parts and the unread rest, which must end by `read_deadline`. The body
/// holds the request's tokens and the in-flight guard until it ends.
fn buffered_body(
    read: BufferedRead,
    read_deadline: Instant,
    admitted: AdmittedRequest,
    mut guard: InFlightGuard,
) -> ResponseBody {
    let BufferedRead {
        parts,
        mut hold,
        rest,
    } = read;
    Box::pin(async_stream::stream! {
        let _admitted = admitted;
        for part in parts {
            hold.remove(part.len());
            yield Ok(part);
        }
        let Some(mut rest) = rest else { return };
        loop {
            let reason = match timeout_at(read_deadline.into(), rest.next()).await {
                Ok(Some(Ok(part))) => {
                    yield Ok(part);
                    continue;
                }
                Ok(None) => return,
                Ok(Some(Err(error))) => error.to_string(),
                Err(_) => "the response did not end in time".to_owned(),
            };
            tracing::info!(endpoint = %guard.endpoint(), reason, "a large response was cut off");
            guard.mark_failed();
            yield Err(BrokenResponse(reason.into()));
            return;
        }
    })
}
