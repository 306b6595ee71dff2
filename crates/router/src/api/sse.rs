//! Incremental decoder of server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a larger one ends the stream instead of filling the memory.
const EVENT_LIMIT: usize = 1 << 20;

/// One event, as the endpoint sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SseEvent {
    /// All bytes, with the blank line at the end.
    pub(super) raw: Bytes,
    /// Number in the `id` field, if it is one.
    pub(super) id: Option<u64>,
    /// Text of the last `data` field.
    pub(super) data: Option<Bytes>,
}

/// Cuts a byte stream into events; keeps only the event that is not whole yet.
#[derive(Default)]
pub(super) struct SseDecoder {
    buffer: BytesMut,
    /// Start of the line that is not whole yet.
    line: usize,
    /// End of the bytes that were searched for a line end.
    searched: usize,
}

impl SseDecoder {
    /// Adds bytes of the stream; `false` when an event is larger than the limit.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_LIMIT + bytes.len()
    }

    /// Takes the next whole event.
    pub(super) fn next_event(&mut self) -> Option<SseEvent> {
        loop {
            let rest = &self.buffer[self.searched..];
            let Some(offset) = rest.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = self.searched + offset + 1;
            let line = &self.buffer[self.line..end];
            let is_blank = line == b"\n" || line == b"\r\n";
            self.line = end;
            self.searched = end;
            if is_blank {
                let raw = self.buffer.split_to(end).freeze();
                self.line = 0;
                self.searched = 0;
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

/// Whether some bytes occur in a text.
pub(super) fn contains(text: &[u8], wanted: &[u8]) -> bool {
    text.windows(wanted.len()).any(|window| window == wanted)
}
