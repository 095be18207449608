//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Data of the event that ends a whole stream.
const DONE: &[u8] = b"[DONE]";

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// One whole event, with its final blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent(pub Bytes);

impl Splitter {
    /// Creates an empty splitter.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.buffer.windows(2).position(|w| w == b"\n\n")? + 2;
        Some(SseEvent(self.buffer.split_to(end).freeze()))
    }

    /// Returns the bytes that are not yet a whole event.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

impl SseEvent {
    /// Returns the id of the event; none when it has none that is a number.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        let line = self
            .0
            .split(|b| *b == b'\n')
            .find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(line).ok()?.trim().parse().ok()
    }

    /// Returns the data of the event.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        let text = self.0.strip_prefix(b"data:").unwrap_or(&self.0);
        text.trim_ascii()
    }

    /// Returns whether this event ends a whole stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data() == DONE
    }
}
