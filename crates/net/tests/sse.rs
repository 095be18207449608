//! Events of a stream, whatever the pieces in which its bytes arrive.

use hibiscusrail_net::sse::Splitter;

/// Bytes of the test's stream that never end an event.
const ENDLESS_BYTES: usize = 1 << 20;

#[test]
fn next_event_same_for_all_piece_sizes() {
    let text = b"id: 1\ndata: a\n\n\n\ndata: \nb\n\n: c\n\nid: 2\nda";
    let whole: Vec<_> = {
        let mut splitter = Splitter::new();
        splitter.push(text);
        std::iter::from_fn(|| splitter.next_event()).collect()
    };
    assert_eq!(whole.len(), 4);
    for size in 1..text.len() {
        let mut splitter = Splitter::new();
        let mut events = Vec::new();
        for piece in text.chunks(size) {
            splitter.push(piece);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        assert_eq!(events, whole, "pieces of {size} bytes");
        assert_eq!(splitter.pending_bytes(), b"id: 2\nda".len());
    }
}

/// Guards against a search of all pending bytes for each piece (CONFIG, review case 1): its time grew
/// with the square of the bytes, seconds for a server that sends bytes without end.
#[test]
fn next_event_searches_each_byte_once() {
    let mut splitter = Splitter::new();
    let mut searched = 0;
    for _ in 0..ENDLESS_BYTES / 4 {
        splitter.push(b"????");
        searched += splitter.unsearched_bytes();
        // The last byte of each piece is looked at again, as it may begin the end of an event.
        assert!(searched <= 2 * ENDLESS_BYTES, "{searched}");
        assert_eq!(splitter.next_event(), None);
    }
}
