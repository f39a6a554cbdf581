//! What happens, a line each, on standard output. Peers may cause as many lines as they like: no more than
//! so many are written in a second, and those left out are counted.

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::time::{Duration, Instant};

const LINES_A_SECOND: u32 = 20;

thread_local! {
    /// Since when lines are counted, those written, those left out.
    static COUNTED: Cell<Option<(Instant, u32, u32)>> = const { Cell::new(None) };
}

/// Writes one line. A log that takes nothing (a full disk, a reader that has left) costs its line and nothing else.
pub fn info(text: impl Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Writes one line on standard error.
pub fn error(text: impl Display) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Writes a line that peers may cause.
pub fn info_limited(text: impl Display) {
    let now = Instant::now();
    let (mut since, mut written, mut left_out) = COUNTED.get().unwrap_or((now, 0, 0));
    if now - since >= Duration::from_secs(1) {
        if left_out > 0 {
            info(format_args!("{left_out} lines left out"));
        }
        (since, written, left_out) = (now, 0, 0);
    }
    if written < LINES_A_SECOND {
        written += 1;
        info(text);
    } else {
        left_out += 1;
    }
    COUNTED.set(Some((since, written, left_out)));
}
