//! Server-sent events: splits a byte stream into events without copying them.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The event as it came, its blank line included.
    pub raw: Bytes,
    /// Value of the `id` field, where it is a number.
    pub id: Option<u64>,
    /// Value of the `event` field; empty where there is none.
    pub name: Bytes,
    /// Value of the `data` field.
    pub data: Bytes,
}

/// An event is larger than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes the next bytes of the stream.
    ///
    /// # Errors
    /// [`EventTooLarge`] when the stream holds an event that is larger than allowed.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(chunk);
        if self.scanned > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Whether part of an event has arrived without its end.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let start = self.scanned.saturating_sub(1);
        let found = memchr::memmem::find(&self.buffer[start..], b"\n\n");
        let Some(offset) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let raw = self.buffer.split_to(start + offset + 2).freeze();
        Some(read_event(&raw))
    }
}

fn read_event(raw: &Bytes) -> SseEvent {
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
        if let Some(value) = field(&line, b"data:") {
            event.data = value;
        } else if let Some(value) = field(&line, b"id:") {
            event.id = number(&value);
        } else if let Some(value) = field(&line, b"event:") {
            event.name = value;
        }
    }
    event
}

fn field(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?;
    let skipped = name.len() + usize::from(rest.first() == Some(&b' '));
    Some(line.slice(skipped..))
}

fn number(text: &[u8]) -> Option<u64> {
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
    fn unfinished_event_is_kept_back() {
        let events = events_of(&["id: 0\ndata: a\n\nid: 1\ndata: cut"]);

        assert_eq!(events.len(), 1);
    }
}
