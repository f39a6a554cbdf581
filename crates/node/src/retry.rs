//! Trying again at a start: the machine may be short of something for a moment, or the folder refuse writes for a while.

use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// The pause before the next try doubles from the least to the most ...
const PAUSE_LEAST: Duration = Duration::from_millis(20);
const PAUSE_MOST: Duration = Duration::from_millis(200);
/// ... for so long: the platform gives a start 30 s.
const PATIENCE: Duration = Duration::from_secs(28);

/// The tries of one thing.
pub struct Retry {
    until: Instant,
    pause: Duration,
}

impl Retry {
    /// For something that is tried for the first time now.
    pub fn new() -> Retry {
        Retry { until: Instant::now() + PATIENCE, pause: PAUSE_LEAST }
    }

    /// How long to wait before the next try, and whether this was the first one; none once the time is over.
    pub fn next_pause(&mut self) -> Option<(Duration, bool)> {
        let (pause, first) = (self.pause, self.pause == PAUSE_LEAST);
        self.pause = (pause * 2).min(PAUSE_MOST);
        (Instant::now() < self.until).then_some((pause, first))
    }
}

/// Whether an error tells that the machine or the process is short of something, or that the call was interrupted.
pub fn is_momentary(error: &io::Error) -> bool {
    let short = [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN, Errno::INTR];
    short.iter().any(|code| error.raw_os_error() == Some(code.raw_os_error()))
}

/// Tries until it works, fails for another cause, or the time is over. The thread sleeps between two tries.
///
/// # Errors
/// The last one.
pub fn blocking<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut retry = Retry::new();
    loop {
        match attempt() {
            Err(error) if is_momentary(&error) => match retry.next_pause() {
                Some((pause, _)) => std::thread::sleep(pause),
                None => return Err(error),
            },
            done => return done,
        }
    }
}
