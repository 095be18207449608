//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Data of the last event of a complete stream.
const DONE: &[u8] = b"[DONE]";
/// Maximum size of one event of a stream in bytes, far above what engines send. Without it, a server
/// that sends bytes without end fills the router's memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of an event from which its memory is released once it is taken.
const KEPT_BYTES: usize = 16 << 10;

/// End of an event.
const END: &[u8] = b"\n\n";

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    searched: usize,
}

/// One complete event, including its final blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent(pub Bytes);

impl Splitter {
    /// Creates an empty splitter.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the bytes of memory that the splitter holds.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the bytes of memory that the splitter holds once `count` bytes are appended.
    #[must_use]
    pub fn capacity_with(&self, count: usize) -> usize {
        let needed = self.buffer.len() + count;
        if needed <= self.capacity() {
            self.capacity()
        } else {
            needed.max(2 * self.capacity())
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    ///
    /// The time that it takes depends on the bytes pushed since the last call, not on those pending.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let unsearched = &self.buffer[self.searched..];
        let Some(at) = unsearched.windows(END.len()).position(|w| w == END) else {
            // The last byte may be the first one of an event's end.
            self.searched = self.buffer.len().saturating_sub(END.len() - 1);
            return None;
        };
        let end = self.searched + at + END.len();
        self.searched = 0;
        let event = self.buffer.split_to(end).freeze();
        if end > KEPT_BYTES && self.buffer.len() <= KEPT_BYTES {
            // Otherwise the memory of a large event lasts until the next one.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        Some(SseEvent(event))
    }

    /// Returns the number of bytes that the next search for an event looks at.
    #[must_use]
    pub fn unsearched_bytes(&self) -> usize {
        self.buffer.len() - self.searched
    }

    /// Returns the number of bytes not yet taken as events.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }
}

impl SseEvent {
    /// Returns the id of the event; none if it has no numeric id.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        let line = self
            .0
            .split(|b| *b == b'\n')
            .find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(line).ok()?.trim().parse().ok()
    }

    /// Returns the data of an event that consists of a single data line.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        let text = self.0.strip_prefix(b"data:").unwrap_or(&self.0);
        text.trim_ascii()
    }

    /// Returns whether this holds nothing but comments, which readers skip.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.0.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        lines.all(|line| line.starts_with(b":"))
    }

    /// Returns whether this is the last event of a complete stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data() == DONE
    }
}
