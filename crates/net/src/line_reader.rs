//! Lines of text in a streamed body.

use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads a streamed body line by line.
#[derive(Debug)]
pub struct LineReader {
    body: Incoming,
    rest: Vec<u8>,
    max_line_bytes: usize,
}

impl LineReader {
    /// The lines of a body, of at most `max_line_bytes` bytes each.
    pub fn new(body: Incoming, max_line_bytes: usize) -> Self {
        Self {
            body,
            rest: Vec::new(),
            max_line_bytes,
        }
    }

    /// The next line without its end. None if the body ends, breaks, or holds a line that
    /// is too long.
    pub async fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if self.max_line_bytes < self.rest.len() {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.rest.extend_from_slice(&data);
            }
        }
    }
}
