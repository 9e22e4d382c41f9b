//! Parser for server-sent events: splits a byte stream into events without copying their content.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The event as received, including its blank line.
    pub raw: Bytes,
    /// Value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Value of the `event` field; empty if missing.
    pub name: Bytes,
    /// Value of the last `data` field; empty if missing.
    pub data: Bytes,
}

/// An event exceeds the size limit of 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    /// [`EventTooLarge`] when more than the limit has been buffered without the end of an event.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(chunk);
        if self.scanned > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let start = self.scanned.saturating_sub(1);
        let found = memchr::memmem::find(&self.buffer[start..], b"\n\n");
        let Some(offset) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let raw = self.buffer.split_to(start + offset + 2).freeze();
        Some(parse_event(&raw))
    }
}

fn parse_event(raw: &Bytes) -> SseEvent {
    let mut event = SseEvent {
        id: None,
        name: Bytes::new(),
        data: Bytes::new(),
        raw: raw.clone(),
    };
    let mut start = 0;
    for end in memchr::memchr_iter(b'\n', raw) {
        let line = raw.slice(start..end);
        start = end + 1;
        if let Some(value) = field_value(&line, b"data:") {
            event.data = value;
        } else if let Some(value) = field_value(&line, b"id:") {
            event.id = parse_number(&value);
        } else if let Some(value) = field_value(&line, b"event:") {
            event.name = value;
        }
    }
    event
}

fn field_value(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?;
    let skipped = name.len() + usize::from(rest.first() == Some(&b' '));
    Some(line.slice(skipped..))
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn events_of(chunks: &[&str]) -> Vec<SseEvent> {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in chunks {
            splitter.push(chunk.as_bytes()).expect("small events");
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        events
    }

    #[test]
    fn splits_at_every_boundary() {
        let text = "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n";
        let whole = events_of(&[text]);

        for cut in 1..text.len() {
            let parts = events_of(&[&text[..cut], &text[cut..]]);

            assert_eq!(parts, whole, "cut at {cut}");
        }
    }

    #[test]
    fn reads_fields() {
        let events = events_of(&["event: usage\nid:7\ndata: {}\n\n"]);

        assert_eq!(events.len(), 1);
        assert_eq!(events[0].id, Some(7));
        assert_eq!(&events[0].name[..], b"usage");
        assert_eq!(&events[0].data[..], b"{}");
    }

    #[test]
    fn incomplete_event_is_not_returned() {
        let events = events_of(&["id: 0\ndata: a\n\nid: 1\ndata: cut"]);

        assert_eq!(events.len(), 1);
    }
}
