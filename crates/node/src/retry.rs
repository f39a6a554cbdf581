//! Retries at startup, for when the machine is short of a resource for a moment or the state directory is not writable
//! yet.

use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// The first delay; each further one doubles up to [`MAX_DELAY`].
const MIN_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_millis(200);
/// How long to keep trying: the platform allows 30 s for a start.
const RETRY_DURATION: Duration = Duration::from_secs(28);

/// Exponential backoff with a time limit.
pub struct Retry {
    give_up_at: Instant,
    delay: Duration,
}

impl Retry {
    /// Starts now, with the first attempt.
    pub fn new() -> Retry {
        Retry { give_up_at: Instant::now() + RETRY_DURATION, delay: MIN_DELAY }
    }

    /// The delay before the next attempt, and whether it is the first one; none once the time limit has passed.
    pub fn next_delay(&mut self) -> Option<(Duration, bool)> {
        let (delay, is_first) = (self.delay, self.delay == MIN_DELAY);
        self.delay = (delay * 2).min(MAX_DELAY);
        (Instant::now() < self.give_up_at).then_some((delay, is_first))
    }
}

/// Whether an error is transient: the machine or the process is short of a resource, or the call was interrupted.
pub fn is_transient(error: &io::Error) -> bool {
    let transient_codes =
        [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN, Errno::INTR];
    transient_codes.iter().any(|code| error.raw_os_error() == Some(code.raw_os_error()))
}

/// Retries an operation while its errors are transient and the time limit has not passed. Blocks the thread between two
/// attempts.
///
/// # Errors
/// The error of the last attempt.
pub fn blocking<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut retry = Retry::new();
    loop {
        match attempt() {
            Err(error) if is_transient(&error) => match retry.next_delay() {
                Some((delay, _)) => std::thread::sleep(delay),
                None => return Err(error),
            },
            result => return result,
        }
    }
}
