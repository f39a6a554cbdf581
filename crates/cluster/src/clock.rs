//! The machine's boot-time clock, which also counts while the machine is suspended.

use crate::Seconds;
use rustix::time::{ClockId, clock_gettime};

/// Seconds since the machine booted, including the time for which it was suspended (`CLOCK_BOOTTIME`).
///
/// With the feature `fast-clock`, which is for tests only, the clock runs at the rate given by `FAWNSPOKE_CLOCK_RATE`.
pub fn now() -> Seconds {
    let now = clock_gettime(ClockId::Boottime);
    let now = now.tv_sec as f64 + now.tv_nsec as f64 / 1e9;
    #[cfg(feature = "fast-clock")]
    let now = now * rate();
    now
}

/// Converts a time of [`now`] to the clock that all processes on this machine share. The two differ only where a test
/// runs this process's clock at another rate.
pub fn to_machine_time(at: Seconds) -> Seconds {
    #[cfg(feature = "fast-clock")]
    let at = at / rate();
    at
}

/// The clock rate from the environment variable that tests set.
#[cfg(feature = "fast-clock")]
fn rate() -> f64 {
    static RATE: std::sync::OnceLock<f64> = std::sync::OnceLock::new();
    let from_environment = || std::env::var("FAWNSPOKE_CLOCK_RATE").ok().and_then(|rate| rate.parse().ok());
    *RATE.get_or_init(|| from_environment().unwrap_or(1.0))
}
