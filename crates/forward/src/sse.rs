use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes; bounds memory if endpoints never end an event: 200
/// callers of such endpoints take 13 MB.
const EVENT_LIMIT: usize = 64 << 10;

/// One complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field; `None` if it is absent or not a number.
    pub id: Option<u64>,
    /// Whether the event has a `data` field; otherwise it is a comment.
    pub has_data: bool,
}

/// Splits the bytes of an event stream into complete events, so that no caller receives part of an
/// event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes; `false` if more bytes are buffered than an event may have.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_LIMIT
    }

    /// Next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        let has_data = event_lines(&bytes).any(|line| line.starts_with(b"data"));
        Some(StreamEvent {
            bytes,
            id,
            has_data,
        })
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        // The previous scan may have stopped inside a blank line, of which it saw at most 3 bytes.
        let start = self.scanned.saturating_sub(3);
        for index in start..bytes.len() {
            let rest = &bytes[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(index + 4);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

fn event_lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| matches!(byte, b'\n' | b'\r'))
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
