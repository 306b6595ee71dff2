use bytes::{Bytes, BytesMut};

/// Largest event that is kept until its end arrives, in bytes; bounds memory against an endpoint
/// that never ends an event.
const EVENT_LIMIT: usize = 1 << 20;

/// One whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event with the blank line that ends it.
    pub bytes: Bytes,
    /// Number in its `id` field.
    pub id: Option<u64>,
}

/// Splits the bytes of an event stream into whole events, so that no caller sees part of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes; `false` when an event is larger than allowed.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_LIMIT
    }

    /// Next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether bytes of an event without its end are left.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        // An end may begin in the last bytes of an earlier scan.
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

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
