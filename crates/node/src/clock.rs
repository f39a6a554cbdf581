//! The clock of journaled times: it continues over restarts of the dispatcher, and steps of the wall clock do not
//! affect it.
//!
//! Within one boot of the machine it is `CLOCK_BOOTTIME` plus an offset that is stored in the state directory beside
//! the boot id. The offset is taken from the wall clock once, at the first start in a boot. The times are therefore close
//! to Unix time, and remain comparable with those that earlier versions journaled. If the boot id can't be read, each
//! process takes a new offset.

use fawnspoke_journal::UnixMicros;
use rustix::time::{ClockId, clock_gettime};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The clock's file in the state directory: the boot id, a space, the offset in microseconds.
const FILE: &str = "clock";
/// The new file while it is written.
const NEXT_FILE: &str = "clock.next";
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Largest difference between two processes that read the clock at the same time.
const SLACK_MICROS: UnixMicros = 1000;

/// Microseconds since the machine started, including time suspended.
fn since_boot() -> UnixMicros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as UnixMicros * 1_000_000 + now.tv_nsec as UnixMicros / 1000
}

/// The system's wall clock, in microseconds of Unix time. It may be stepped at any moment.
pub fn wall_clock() -> UnixMicros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as UnixMicros)
}

/// A monotonic clock that continues over restarts of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalClock {
    /// Added to the time since boot.
    offset: UnixMicros,
}

impl JournalClock {
    /// The clock that an earlier process in this boot stored in the directory.
    ///
    /// # Errors
    /// If the file exists and can't be read.
    pub fn read(directory: &Path) -> io::Result<Option<JournalClock>> {
        match fs::read(directory.join(FILE)) {
            Ok(text) => {
                let offset = parse_offset(&String::from_utf8_lossy(&text), &boot_id());
                Ok(offset.map(|offset| JournalClock { offset }))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates and stores the clock for this boot. It starts at the wall clock's time, or at `latest` if that is later.
    ///
    /// # Errors
    /// If it can't be stored: the next process would not find it.
    pub fn create(directory: &Path, latest: UnixMicros) -> io::Result<JournalClock> {
        let (boot, offset) = (boot_id(), wall_clock().max(latest).saturating_sub(since_boot()));
        if !boot.is_empty() {
            fs::write(directory.join(NEXT_FILE), format!("{boot} {offset}\n"))?;
            fs::rename(directory.join(NEXT_FILE), directory.join(FILE))?;
        }
        Ok(JournalClock { offset })
    }

    /// Whether it is behind a journaled time. If so, it belongs to another boot, whatever the boot id says.
    pub fn is_behind(self, latest: UnixMicros) -> bool {
        self.now() + SLACK_MICROS < latest
    }

    /// The current time in microseconds, close to Unix time.
    pub fn now(self) -> UnixMicros {
        since_boot().saturating_add(self.offset)
    }
}

/// The id of this boot; empty if it can't be read.
fn boot_id() -> String {
    fs::read_to_string(BOOT_ID_PATH).unwrap_or_default().trim().into()
}

/// The offset in the text of a clock file, if that was written in this boot.
fn parse_offset(text: &str, boot: &str) -> Option<UnixMicros> {
    let (id, offset) = text.strip_suffix('\n')?.split_once(' ')?;
    offset.parse().ok().filter(|_| !boot.is_empty() && id == boot)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_offset_is_read_only_for_the_boot_that_stored_it() {
        assert_eq!(parse_offset("one 12\n", "one"), Some(12));
        for other in ["one 12", "two 12\n", "one x\n", "one\n", "", " 12\n"] {
            assert_eq!(parse_offset(other, "one"), None, "{other:?}");
        }
        assert_eq!(parse_offset(" 12\n", ""), None);
    }

    #[test]
    fn a_second_process_continues_the_clock_of_the_first() {
        let directory = std::env::temp_dir().join(format!("fawnspoke-clock-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        assert_eq!(JournalClock::read(&directory).unwrap(), None);
        let first = JournalClock::create(&directory, 0).unwrap();
        assert_eq!(JournalClock::read(&directory).unwrap(), Some(first));
        assert!(!first.is_behind(first.now()));
        // A new clock is never behind a journaled time.
        let ahead = first.now() + 3_600_000_000;
        assert!(first.is_behind(ahead) && !JournalClock::create(&directory, ahead).unwrap().is_behind(ahead));
        fs::write(directory.join(FILE), "half").unwrap();
        assert_eq!(JournalClock::read(&directory).unwrap(), None);
        fs::remove_dir_all(directory).unwrap();
    }
}
