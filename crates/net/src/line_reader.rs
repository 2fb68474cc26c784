//! Reads lines of text from a streamed body.

use bytes::Bytes;
use http_body_util::BodyExt;

/// Reads a streamed body line by line.
#[derive(Debug)]
pub struct LineReader<Input> {
    body: Input,
    buffer: Vec<u8>,
    max_line_bytes: usize,
}

impl<Input> LineReader<Input>
where
    Input: http_body::Body<Data = Bytes> + Unpin,
{
    /// Creates a reader for lines of at most `max_line_bytes` bytes each.
    pub fn new(body: Input, max_line_bytes: usize) -> Self {
        Self {
            body,
            buffer: Vec::new(),
            max_line_bytes,
        }
    }

    /// The next line without its line break. None if the body ends, fails, or holds a line
    /// that is too long or not UTF-8.
    pub async fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if self.max_line_bytes < self.buffer.len() {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
