//! Log lines on standard output. Lines that peers can cause are rate limited; dropped lines are counted and the
//! count is logged.

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::time::{Duration, Instant};

/// Limit of rate-limited lines.
const MAX_LINES_PER_SECOND: u32 = 20;

thread_local! {
    /// Start of the current one-second window, lines written and lines dropped in it.
    static WINDOW: Cell<Option<(Instant, u32, u32)>> = const { Cell::new(None) };
}

/// Writes one line. If that fails (a full disk, a closed pipe), the line is lost and nothing else happens.
pub fn info(text: impl Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Writes one line on standard error.
pub fn error(text: impl Display) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Writes a line that peers can cause, subject to the rate limit.
pub fn info_limited(text: impl Display) {
    let now = Instant::now();
    let (mut window_start, mut written, mut dropped) = WINDOW.get().unwrap_or((now, 0, 0));
    if now - window_start >= Duration::from_secs(1) {
        if dropped > 0 {
            info(format_args!("{dropped} lines dropped"));
        }
        (window_start, written, dropped) = (now, 0, 0);
    }
    if written < MAX_LINES_PER_SECOND {
        written += 1;
        info(text);
    } else {
        dropped += 1;
    }
    WINDOW.set(Some((window_start, written, dropped)));
}
