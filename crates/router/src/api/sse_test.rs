//! Events must not be lost, joined or changed, no matter how the network splits the stream.

use super::sse::{SseDecoder, SseEvent, contains};

const STREAM: &str = "id: 0\ndata: {\"a\":1}\n\n: comment\n\nid: 1\r\ndata:{\"b\":2}\r\n\r\n\
    event: x\ndata: old\ndata: [DONE]\n\nid: 2\ndata: cut off";

fn decode(chunks: impl Iterator<Item = Vec<u8>>) -> Vec<SseEvent> {
    let mut decoder = SseDecoder::default();
    let mut events = Vec::new();
    for chunk in chunks {
        assert!(decoder.push(&chunk));
        events.extend(std::iter::from_fn(|| decoder.next_event()));
    }
    events
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    let whole = decode(std::iter::once(STREAM.as_bytes().to_vec()));
    let seen: Vec<_> = whole
        .iter()
        .map(|event| (event.id, event.data.as_deref()))
        .collect();
    let expected: [(Option<u64>, Option<&[u8]>); 4] = [
        (Some(0), Some(b"{\"a\":1}")),
        (None, None),
        (Some(1), Some(b"{\"b\":2}")),
        (None, Some(b"[DONE]")),
    ];
    assert_eq!(seen, expected);
    for size in 1..STREAM.len() {
        let chunks = STREAM.as_bytes().chunks(size).map(<[u8]>::to_vec);
        assert_eq!(decode(chunks), whole, "chunks of {size} bytes");
    }
    let raw: Vec<u8> = whole.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert!(STREAM.as_bytes().starts_with(&raw));
}

#[test]
fn unterminated_event_does_not_exhaust_memory() {
    let mut decoder = SseDecoder::default();
    let chunk = vec![b'x'; 64 << 10];
    let accepted = (0..100).take_while(|_| decoder.push(&chunk) && decoder.next_event().is_none());
    assert!(accepted.count() <= 18);
    assert!(contains(b"abc", b"bc") && !contains(b"abc", b"ca"));
}
