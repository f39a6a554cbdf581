//! The machine's clock that goes on while it sleeps.

use crate::Seconds;
use rustix::time::{ClockId, clock_gettime};

/// Seconds since the machine started, its sleep among them (`CLOCK_BOOTTIME`).
///
/// With the feature `fast-clock`, which is for tests alone, a process that has `FAWNSPOKE_CLOCK_RATE` set has a clock of
/// that rate.
pub fn now() -> Seconds {
    let now = clock_gettime(ClockId::Boottime);
    let now = now.tv_sec as f64 + now.tv_nsec as f64 / 1e9;
    #[cfg(feature = "fast-clock")]
    let now = now * rate();
    now
}

/// A time of [`now`] on the clock that all processes of this machine share: the same, but where a test has one run wrong.
pub fn to_machine_time(at: Seconds) -> Seconds {
    #[cfg(feature = "fast-clock")]
    let at = at / rate();
    at
}

/// The rate that the tests' variable asks for.
#[cfg(feature = "fast-clock")]
fn rate() -> f64 {
    static RATE: std::sync::OnceLock<f64> = std::sync::OnceLock::new();
    let set = || std::env::var("FAWNSPOKE_CLOCK_RATE").ok().and_then(|rate| rate.parse().ok());
    *RATE.get_or_init(|| set().unwrap_or(1.0))
}
