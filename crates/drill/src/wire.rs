//! The bytes of the wire: frames, records, fields.

use bytes::{BufMut, BytesMut};
use std::io::Read;

/// What is wrong with the input.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The input ended inside a frame.
    #[error("frame {frame}: input ended after {got} bytes, {want} expected")]
    Truncated {
        /// Number of the frame, from 0 (the header) on.
        frame: &'static str,
        /// Bytes that were there.
        got: usize,
        /// Bytes that should have been.
        want: usize,
    },
    /// A record does not fit.
    #[error("record {record}, byte {byte}: {expected}")]
    Record {
        /// Its number in the batch, from 0.
        record: usize,
        /// Position in the batch's body.
        byte: usize,
        /// What was expected.
        expected: String,
    },
    /// Settings that cannot be read.
    #[error("record {record}, key {key}: {expected}")]
    Settings {
        /// The record that brought them.
        record: usize,
        /// The key.
        key: String,
        /// What was expected.
        expected: String,
    },
}

/// A batch as it came.
pub struct Batch {
    pub clock: f64,
    pub records: usize,
    pub body: Vec<u8>,
}

fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, WireError> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..])? {
            0 => break,
            n => got += n,
        }
    }
    Ok(got)
}

/// The next batch; none where the input ends between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut header = [0u8; 16];
    let got = fill(input, &mut header)?;
    if got == 0 {
        return Ok(None);
    }
    if got < header.len() {
        return Err(WireError::Truncated { frame: "header", got, want: header.len() });
    }
    let [a, b, c, d, e, f, g, h, l0, l1, l2, l3, n0, n1, n2, n3] = header;
    let clock = f64::from_be_bytes([a, b, c, d, e, f, g, h]);
    let want = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let records = u32::from_be_bytes([n0, n1, n2, n3]) as usize;
    // The length counts the bytes that follow it: the record count, then the records.
    if !clock.is_finite() {
        let expected = "a clock that is a number".into();
        return Err(WireError::Record { record: 0, byte: 0, expected });
    }
    let Some(want) = want.checked_sub(LENGTH_COUNTS) else {
        let expected = format!("a length of at least {LENGTH_COUNTS}, got {want}");
        return Err(WireError::Record { record: 0, byte: 8, expected });
    };
    let mut body = Vec::new();
    let got = input.take(want as u64).read_to_end(&mut body)?;
    if got < want {
        return Err(WireError::Truncated { frame: "body", got, want });
    }
    Ok(Some(Batch { clock, records, body }))
}

/// Bytes of the header that the length counts along with the records.
const LENGTH_COUNTS: usize = 4;

/// Reads fields one after the other.
pub struct Reader<'a> {
    body: &'a [u8],
    at: usize,
    pub record: usize,
}

impl<'a> Reader<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        Reader { body, at: 0, record: 0 }
    }

    pub fn fault(&self, expected: impl Into<String>) -> WireError {
        WireError::Record { record: self.record, byte: self.at, expected: expected.into() }
    }

    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.body.len());
        let Some(end) = end else {
            let left = self.body.len() - self.at;
            return Err(self.fault(format!("{n} more bytes expected, {left} left")));
        };
        let taken = &self.body[self.at..end];
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
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

    /// Four bytes of address and a port, as one number.
    pub fn endpoint(&mut self) -> Result<u64, WireError> {
        let address = u64::from(self.u32()?);
        Ok(address << 16 | u64::from(self.u16()?))
    }

    pub fn finish(&self) -> Result<(), WireError> {
        match self.body.len() - self.at {
            0 => Ok(()),
            left => Err(self.fault(format!("end of the batch expected, {left} bytes left"))),
        }
    }
}

/// Collects the records of a reply.
#[derive(Default)]
pub struct Writer {
    body: BytesMut,
    records: u32,
}

impl Writer {
    pub fn record(&mut self, code: u8, instance: u32) -> &mut BytesMut {
        self.records += 1;
        self.body.put_u8(code);
        self.body.put_u32(instance);
        &mut self.body
    }

    pub fn text(&mut self, code: u8, instance: u32, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        let body = self.record(code, instance);
        body.put_u16(text.len() as u16);
        body.put_slice(text);
    }

    pub fn reply(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.put_u32(self.records);
        out.put_u32(self.body.len() as u32);
        out.put_slice(&self.body);
        out
    }
}

/// Writes an endpoint as it was read.
pub fn put_endpoint(body: &mut BytesMut, endpoint: u64) {
    body.put_u32((endpoint >> 16) as u32);
    body.put_u16(endpoint as u16);
}
