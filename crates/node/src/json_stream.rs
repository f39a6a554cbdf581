//! Splits a stream of bytes into JSON values, however they arrive.

use crate::error::BoxError;
use serde_json::value::RawValue;
use std::time::Duration;
use tokio::time::Instant;

/// Longest value.
const MAX_VALUE_BYTES: usize = 4 << 20;
/// An incomplete value that is shorter is parsed again with each chunk that arrives.
const MAX_REPARSED_BYTES: usize = 64 << 10;
/// Time from the first byte of a value to its last.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a parse error may be due to input that has not arrived yet. The parser reports a number that
/// ends after its decimal point as invalid, not as incomplete, at the very end of the input.
fn is_incomplete(input: &[u8], error: &serde_json::Error) -> bool {
    let last_line = input.rsplit(|byte| *byte == b'\n').next().map_or(0, <[u8]>::len);
    let lines = input.split(|byte| *byte == b'\n').count();
    error.is_eof() || (error.line(), error.column()) == (lines, last_line)
}

/// A stream of JSON values with any white space between and in them.
#[derive(Default)]
pub struct JsonValueStream {
    buffer: Vec<u8>,
    /// Length of the buffer when its value was last found incomplete.
    parsed_length: usize,
    /// A value that has begun must be complete by then, or the stream is broken.
    pub complete_by: Option<Instant>,
}

impl JsonValueStream {
    /// Adds what has arrived and passes on each complete value. Returns whether the buffer held
    /// anything but white space.
    pub fn push(
        &mut self, data: &[u8], mut handle: impl FnMut(&[u8]) -> Result<(), BoxError>,
    ) -> Result<bool, BoxError> {
        self.buffer.extend_from_slice(data);
        let has_content = !self.buffer.trim_ascii_start().is_empty();
        // A long value that arrives in many chunks is not parsed again for each of them.
        let ends_with_brace = self.buffer.trim_ascii_end().ends_with(b"}");
        if self.parsed_length > MAX_REPARSED_BYTES
            && !ends_with_brace
            && self.buffer.len() < 2 * self.parsed_length
        {
            return self.check_size(has_content);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<&RawValue>();
        let mut consumed = 0;
        loop {
            match values.next() {
                Some(Ok(value)) => handle(value.get().as_bytes())?,
                Some(Err(error)) if is_incomplete(&self.buffer, &error) => break,
                Some(Err(error)) => return Err(error.into()),
                None => {
                    consumed = self.buffer.len();
                    break;
                }
            }
            consumed = values.byte_offset();
        }
        self.buffer.drain(..consumed);
        // A long list comes once; its buffer is not kept for the short ones that follow.
        if self.buffer.len() <= MAX_REPARSED_BYTES {
            self.buffer.shrink_to(MAX_REPARSED_BYTES);
        }
        if consumed > 0 || self.buffer.trim_ascii_start().is_empty() {
            self.complete_by = None;
        }
        self.parsed_length = self.buffer.len();
        self.check_size(has_content)
    }

    fn check_size(&mut self, has_content: bool) -> Result<bool, BoxError> {
        if self.buffer.len() > MAX_VALUE_BYTES {
            return Err("value exceeds the size limit".into());
        }
        match self.buffer.trim_ascii_start().is_empty() {
            true => self.buffer.clear(),
            false => {
                self.complete_by = self.complete_by.or_else(|| Some(Instant::now() + COMPLETION_TIMEOUT))
            }
        }
        Ok(has_content)
    }
}
