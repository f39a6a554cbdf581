//! A TCP connection that can be asked about itself while hyper reads and writes it.

use hyper::StatusCode;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is kept of a first line: its status stands at the start.
const FIRST_LINE: usize = 64;

/// A connection, shared between the one who reads and writes it and those who look after it.
#[derive(Clone)]
pub struct SharedStream(Rc<TcpStream>);

/// What the socket holds that nobody has read yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unread {
    Nothing,
    Bytes,
    /// The other side has closed, or the connection is broken.
    Closed,
}

/// Whether a call is just made once more, when the socket is ready or at once.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl SharedStream {
    pub fn new(stream: TcpStream) -> io::Result<SharedStream> {
        // Without it what is written may wait for an acknowledgement.
        stream.set_nodelay(true)?;
        Ok(SharedStream(Rc::new(stream)))
    }

    /// Writes what the socket takes at once.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.0.try_write(bytes)
    }

    /// Its descriptor, for another process.
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }

    /// Asks the socket itself: the runtime may not have heard yet of what came.
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
                // A short read tells nothing of what else is there: only the socket does, by `WouldBlock`.
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl SharedStream {
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
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// Follows one head as its bytes pass, beside the parser: what hyper makes of a head that it cannot read,
/// and what lies behind one that it can, is told by nobody else. The head of a 1xx answer is passed over.
#[derive(Debug, Default)]
pub struct HeadScanner {
    first: Vec<u8>,
    /// Bytes of the line that is being read, its end not counted.
    line: usize,
    lines: usize,
    ended: bool,
    /// Bytes that came after the head.
    behind: usize,
}

impl HeadScanner {
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first() {
            if self.ended {
                self.behind += bytes.len();
                return;
            }
            bytes = rest;
            match byte {
                // Empty lines ahead of a head belong to it.
                b'\n' if self.line == 0 && self.lines == 0 => {}
                b'\n' if self.line == 0 => match self.status() {
                    Some(status) if status.is_informational() => *self = HeadScanner::default(),
                    _ => self.ended = true,
                },
                b'\n' => (self.line, self.lines) = (0, self.lines + 1),
                b'\r' => {}
                _ => {
                    if self.lines == 0 && self.first.len() < FIRST_LINE {
                        self.first.push(*byte);
                    }
                    self.line += 1;
                }
            }
        }
    }

    /// The status that a whole first line tells.
    pub fn status(&self) -> Option<StatusCode> {
        let rest = self.first.strip_prefix(b"HTTP/1.").filter(|_| self.lines > 0)?;
        let [b'0' | b'1', b' ', code @ ..] = rest else { return None };
        let (code, after) = code.split_at_checked(3)?;
        StatusCode::from_bytes(code).ok().filter(|_| matches!(after, [] | [b' ', ..]))
    }

    /// Whether anything of it has come.
    pub fn has_started(&self) -> bool {
        self.line > 0 || self.lines > 0
    }

    /// How many bytes came behind the head; none while it has not ended.
    pub fn bytes_after_head(&self) -> Option<usize> {
        self.ended.then_some(self.behind)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(pieces: &[&str]) -> HeadScanner {
        let mut head = HeadScanner::default();
        pieces.iter().for_each(|piece| head.scan(piece.as_bytes()));
        head
    }

    #[test]
    fn a_head_is_followed_in_pieces() {
        let read = head(&["\r\nPOST /a HT", "TP/1.1\r\nA: b\r", "\n\r", "\nfour"]);
        assert_eq!((read.bytes_after_head(), read.status()), (Some(4), None));
        assert_eq!(head(&["GET / HTTP/1.1\n\nx"]).bytes_after_head(), Some(1));
        assert_eq!(head(&["GET / HTTP/1.1\r\nA: b\r\n"]).bytes_after_head(), None);
    }

    #[test]
    fn a_status_needs_its_whole_first_line() {
        assert_eq!(head(&["HTTP/1.1 200 OK"]).status(), None);
        assert_eq!(head(&["HTTP/1.1 200 OK\r\nA", "\0\0"]).status(), Some(StatusCode::OK));
        assert_eq!(head(&["HTTP/1.1 2000 OK\r\n"]).status(), None);
        assert_eq!(head(&["HTTP/2.1 200 OK\r\n"]).status(), None);
        let after = head(&["HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200\r\n"]);
        assert_eq!(after.status(), Some(StatusCode::OK));
        assert_eq!(head(&["HTTP/1.1 100 Go\r\n\r\n"]).status(), None);
    }
}
