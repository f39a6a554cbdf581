//! The simulator's wire format: frames, records and fields, all numbers big-endian.

use bytes::{BufMut, BytesMut};
use std::io::Read;

/// Why the input is rejected.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The input ended inside a frame.
    #[error("frame {frame}: input ended after {received} bytes, {expected} expected")]
    Truncated {
        /// The part of the frame: `header` or `body`.
        frame: &'static str,
        /// The number of bytes received.
        received: usize,
        /// The number of bytes expected.
        expected: usize,
    },
    /// A record is malformed.
    #[error("record {record}, byte {byte}: {expected}")]
    Record {
        /// The record's number in the batch, from 0.
        record: usize,
        /// The byte position in the body of the batch.
        byte: usize,
        /// What was expected instead.
        expected: String,
    },
    /// The settings of an instance are invalid.
    #[error("record {record}, key {key}: {expected}")]
    Settings {
        /// The number of the record with the settings.
        record: usize,
        /// The key.
        key: String,
        /// What was expected instead.
        expected: String,
    },
}

/// A batch of records.
pub struct Batch {
    /// The simulated time of the batch, in seconds.
    pub clock: f64,
    /// The number of records in the body.
    pub record_count: usize,
    pub body: Vec<u8>,
}

/// Fills the buffer as far as the input goes and returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, WireError> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..])? {
            0 => break,
            length => received += length,
        }
    }
    Ok(received)
}

/// Reads the next batch; `None` where the input ends between two frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut header = [0u8; 16];
    let received = read_up_to(input, &mut header)?;
    if received == 0 {
        return Ok(None);
    }
    if received < header.len() {
        return Err(WireError::Truncated { frame: "header", received, expected: header.len() });
    }
    let [t0, t1, t2, t3, t4, t5, t6, t7, l0, l1, l2, l3, n0, n1, n2, n3] = header;
    let clock = f64::from_be_bytes([t0, t1, t2, t3, t4, t5, t6, t7]);
    // The length includes the record count that follows it in the header.
    let expected_bytes = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let record_count = u32::from_be_bytes([n0, n1, n2, n3]) as usize;
    if !clock.is_finite() {
        let expected = "a clock that is a number".into();
        return Err(WireError::Record { record: 0, byte: 0, expected });
    }
    let Some(expected_bytes) = expected_bytes.checked_sub(RECORD_COUNT_BYTES) else {
        let expected = format!("a length of at least {RECORD_COUNT_BYTES}, got {expected_bytes}");
        return Err(WireError::Record { record: 0, byte: 8, expected });
    };
    let mut body = Vec::new();
    let received = input.take(expected_bytes as u64).read_to_end(&mut body)?;
    if received < expected_bytes {
        return Err(WireError::Truncated { frame: "body", received, expected: expected_bytes });
    }
    Ok(Some(Batch { clock, record_count, body }))
}

/// Size of the record count in the header, which the length includes.
const RECORD_COUNT_BYTES: usize = 4;

/// Reads the fields of a batch's records in order.
pub struct Reader<'a> {
    body: &'a [u8],
    position: usize,
    /// The number of the current record, for error messages.
    pub record: usize,
}

impl<'a> Reader<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        Reader { body, position: 0, record: 0 }
    }

    /// An error at the current position.
    pub fn error(&self, expected: impl Into<String>) -> WireError {
        WireError::Record { record: self.record, byte: self.position, expected: expected.into() }
    }

    /// Reads `length` bytes.
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], WireError> {
        let end = self.position.checked_add(length).filter(|end| *end <= self.body.len());
        let Some(end) = end else {
            let left = self.body.len() - self.position;
            return Err(self.error(format!("{length} more bytes expected, {left} left")));
        };
        let bytes = &self.body[self.position..end];
        self.position = end;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.bytes(N)?);
        Ok(bytes)
    }

    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, WireError> {
        self.array().map(f32::from_be_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, WireError> {
        self.array().map(f64::from_be_bytes)
    }

    /// Reads an endpoint, a 4-byte address and a port, as one number.
    pub fn endpoint(&mut self) -> Result<u64, WireError> {
        let address = u64::from(self.u32()?);
        Ok(address << 16 | u64::from(self.u16()?))
    }

    /// Checks that the batch has been read to its end.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.body.len() - self.position {
            0 => Ok(()),
            left => Err(self.error(format!("end of the batch expected, {left} bytes left"))),
        }
    }
}

/// Builds a reply from its records.
#[derive(Default)]
pub struct Writer {
    body: BytesMut,
    record_count: u32,
}

impl Writer {
    /// Starts a record and returns the buffer for its fields.
    pub fn record(&mut self, code: u8, instance: u32) -> &mut BytesMut {
        self.record_count += 1;
        self.body.put_u8(code);
        self.body.put_u32(instance);
        &mut self.body
    }

    /// Adds a record with a text, cut to the 65535 bytes that its length field allows.
    pub fn text(&mut self, code: u8, instance: u32, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        let body = self.record(code, instance);
        body.put_u16(text.len() as u16);
        body.put_slice(text);
    }

    /// The encoded reply.
    pub fn reply(self) -> Vec<u8> {
        let mut reply = Vec::with_capacity(8 + self.body.len());
        reply.put_u32(self.record_count);
        reply.put_u32(self.body.len() as u32);
        reply.put_slice(&self.body);
        reply
    }
}

/// Writes an endpoint, the inverse of [`Reader::endpoint`].
pub fn put_endpoint(body: &mut BytesMut, endpoint: u64) {
    body.put_u32((endpoint >> 16) as u32);
    body.put_u16(endpoint as u16);
}
