//! A TCP stream whose socket can be inspected while hyper reads and writes it, and a scanner that follows the HTTP head
//! in its bytes.

use hyper::StatusCode;
use socket2::SockRef;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes kept of the first line, which begins with the status.
const MAX_FIRST_LINE_BYTES: usize = 64;

/// A TCP stream, shared between hyper, which reads and writes it, and the code that supervises the connection.
#[derive(Clone)]
pub struct SharedStream(Rc<TcpStream>);

/// What the socket's receive buffer holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unread {
    Nothing,
    Bytes,
    /// The peer has closed, or the connection is broken.
    Closed,
}

/// Refers to a [`SharedStream`] without keeping its socket open.
#[derive(Default)]
pub struct WeakStream(Weak<TcpStream>);

impl WeakStream {
    /// As [`SharedStream::unread`]; closed once the stream was dropped.
    pub fn unread(&self) -> Unread {
        self.0.upgrade().map_or(Unread::Closed, |stream| SharedStream(stream).unread())
    }
}

/// Whether an I/O call is to be repeated, at once or when the socket is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl SharedStream {
    /// Wraps a connected stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> io::Result<SharedStream> {
        // Otherwise a small write may be delayed until the previous one is acknowledged.
        stream.set_nodelay(true)?;
        Ok(SharedStream(Rc::new(stream)))
    }

    /// A reference that does not keep the socket open.
    pub fn downgrade(&self) -> WeakStream {
        WeakStream(Rc::downgrade(&self.0))
    }

    /// Writes as much as the socket accepts without blocking.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.0.try_write(bytes)
    }

    /// The file descriptor, to be passed to another process.
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }

    /// Ends the writing direction: the peer sees the end of the connection.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Reads bytes that have arrived, from the socket itself: the runtime may not have polled it yet.
    pub fn read_arrived(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match (&*SockRef::from(&*self.0)).read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    /// Peeks at the socket itself, since the runtime may not have polled it yet.
    pub fn unread(&self) -> Unread {
        loop {
            return match SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
                Ok(1..) => Unread::Bytes,
                Ok(0) | Err(_) => Unread::Closed,
            };
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(error) if is_transient(&error) => {}
                // A short read does not mean that the socket is empty: only `WouldBlock` does.
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl SharedStream {
    /// Repeats a non-blocking write until it succeeds, fails or the socket is not writable.
    fn poll_try<T>(
        &self, cx: &mut Context<'_>, mut write: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if is_transient(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

/// Scans an HTTP head incrementally, beside hyper's parser. hyper reports neither the status of a head that it rejects
/// nor how many bytes follow a head that it accepts. The heads of 1xx responses are skipped.
#[derive(Debug, Default)]
pub struct HeadScanner {
    first_line: Vec<u8>,
    /// Bytes of the current line, without its end.
    line_bytes: usize,
    /// Lines completed so far.
    line_count: usize,
    is_complete: bool,
    /// Bytes of the 1xx responses before the head.
    interim_bytes: usize,
    /// Bytes of the head so far, with empty lines before it.
    head_bytes: usize,
    /// Bytes after the head.
    bytes_after: usize,
}

impl HeadScanner {
    /// Takes the next bytes of the stream.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first() {
            if self.is_complete {
                self.bytes_after += bytes.len();
                return;
            }
            bytes = rest;
            self.head_bytes += 1;
            match byte {
                // Empty lines before the first line are part of the head.
                b'\n' if self.line_bytes == 0 && self.line_count == 0 => {}
                b'\n' if self.line_bytes == 0 => match self.status() {
                    Some(status) if status.is_informational() => {
                        let interim_bytes = self.interim_bytes + self.head_bytes;
                        *self = HeadScanner { interim_bytes, ..HeadScanner::default() };
                    }
                    _ => self.is_complete = true,
                },
                b'\n' => (self.line_bytes, self.line_count) = (0, self.line_count + 1),
                b'\r' => {}
                _ => {
                    if self.line_count == 0 && self.first_line.len() < MAX_FIRST_LINE_BYTES {
                        self.first_line.push(*byte);
                    }
                    self.line_bytes += 1;
                }
            }
        }
    }

    /// The status in the first line, once that is complete.
    pub fn status(&self) -> Option<StatusCode> {
        let rest = self.first_line.strip_prefix(b"HTTP/1.").filter(|_| self.line_count > 0)?;
        let [b'0' | b'1', b' ', code @ ..] = rest else { return None };
        let (code, reason) = code.split_at_checked(3)?;
        StatusCode::from_bytes(code).ok().filter(|_| matches!(reason, [] | [b' ', ..]))
    }

    /// Whether any byte of the head has arrived.
    pub fn has_started(&self) -> bool {
        self.line_bytes > 0 || self.line_count > 0
    }

    /// Bytes of the 1xx responses that came before the head.
    pub fn interim_bytes(&self) -> usize {
        self.interim_bytes
    }

    /// How many bytes followed the head; none while the head is incomplete.
    pub fn bytes_after_head(&self) -> Option<usize> {
        self.is_complete.then_some(self.bytes_after)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scanned(pieces: &[&str]) -> HeadScanner {
        let mut head = HeadScanner::default();
        pieces.iter().for_each(|piece| head.scan(piece.as_bytes()));
        head
    }

    #[test]
    fn a_head_may_arrive_in_pieces() {
        let request = scanned(&["\r\nPOST /a HT", "TP/1.1\r\nA: b\r", "\n\r", "\nfour"]);
        assert_eq!((request.bytes_after_head(), request.status()), (Some(4), None));
        assert_eq!(scanned(&["GET / HTTP/1.1\n\nx"]).bytes_after_head(), Some(1));
        assert_eq!(scanned(&["GET / HTTP/1.1\r\nA: b\r\n"]).bytes_after_head(), None);
    }

    #[test]
    fn a_status_is_only_read_from_a_complete_first_line() {
        assert_eq!(scanned(&["HTTP/1.1 200 OK"]).status(), None);
        assert_eq!(scanned(&["HTTP/1.1 200 OK\r\nA", "\0\0"]).status(), Some(StatusCode::OK));
        assert_eq!(scanned(&["HTTP/1.1 2000 OK\r\n"]).status(), None);
        assert_eq!(scanned(&["HTTP/2.1 200 OK\r\n"]).status(), None);
        let after_early_hints = scanned(&["HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200\r\n"]);
        assert_eq!(after_early_hints.status(), Some(StatusCode::OK));
        assert_eq!(scanned(&["HTTP/1.1 100 Go\r\n\r\n"]).status(), None);
    }
}
