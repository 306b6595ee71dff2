//! Incremental decoder of server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event. A larger one ends the stream, which bounds the memory use.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Event as sent by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SseEvent {
    /// All bytes, including the blank line at the end.
    pub(super) raw: Bytes,
    /// Value of the `id` field, if it is a number.
    pub(super) id: Option<u64>,
    /// Value of the last `data` field.
    pub(super) data: Option<Bytes>,
}

/// Splits a byte stream into events. Buffers only the incomplete event.
#[derive(Default)]
pub(super) struct SseDecoder {
    buffer: BytesMut,
    /// Offset of the incomplete line.
    line_start: usize,
    /// Offset up to which the buffer was searched for a line end.
    scanned: usize,
}

impl SseDecoder {
    /// Appends bytes of the stream. Returns `false` if an event exceeds the size limit.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES + bytes.len()
    }

    /// Removes and returns the next complete event.
    pub(super) fn next_event(&mut self) -> Option<SseEvent> {
        loop {
            let rest = &self.buffer[self.scanned..];
            let Some(offset) = rest.iter().position(|byte| *byte == b'\n') else {
                self.scanned = self.buffer.len();
                return None;
            };
            let end = self.scanned + offset + 1;
            let line = &self.buffer[self.line_start..end];
            let is_blank = line == b"\n" || line == b"\r\n";
            self.line_start = end;
            self.scanned = end;
            if is_blank {
                let raw = self.buffer.split_to(end).freeze();
                self.line_start = 0;
                self.scanned = 0;
                return Some(SseEvent::new(&raw));
            }
        }
    }
}

impl SseEvent {
    fn new(raw: &Bytes) -> Self {
        let mut event = Self {
            raw: raw.clone(),
            id: None,
            data: None,
        };
        for line in raw.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field(line, b"data:") {
                event.data = Some(raw.slice_ref(value));
            } else if let Some(value) = field(line, b"id:") {
                event.id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.parse().ok());
            }
        }
        event
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns whether `haystack` contains `needle`.
pub(super) fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
