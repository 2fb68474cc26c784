//! Lines of text in a streamed body.

use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads a streamed body line by line.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    rest: Vec<u8>,
    longest: usize,
}

impl Lines {
    /// The lines of a body, of at most `longest` bytes each.
    pub fn of(body: Incoming, longest: usize) -> Self {
        Self {
            body,
            rest: Vec::new(),
            longest,
        }
    }

    /// The next line without its end. None if the body ends, breaks, or holds a line that
    /// is too long.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if self.longest < self.rest.len() {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.rest.extend_from_slice(&data);
            }
        }
    }
}
