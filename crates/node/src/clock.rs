//! The clock of what is journaled: it goes on over restarts, and no step of the wall clock moves it.
//!
//! Within one boot of the machine it is `CLOCK_BOOTTIME` with an offset that stands in the folder that lasts, beside the
//! boot's id. The offset is taken from the wall clock once, when a boot is new to the folder; so the times look like Unix
//! time, and a journal of an earlier program goes on. Where the boot's id can't be read, each life takes the offset anew.

use fawnspoke_journal::UnixMicros;
use rustix::time::{ClockId, clock_gettime};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Its file in the folder that lasts: the boot's id, a space, the offset in microseconds.
const FILE: &str = "clock";
const NEXT: &str = "clock.next";
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Two processes that read the clock may see it differ by so much, in microseconds.
const SLACK: UnixMicros = 1000;

/// Microseconds since the machine started, its sleep among them.
fn since_boot() -> UnixMicros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as UnixMicros * 1_000_000 + now.tv_nsec as UnixMicros / 1000
}

/// The system's wall clock, in microseconds of Unix time. It may be stepped at any moment.
pub fn wall() -> UnixMicros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as UnixMicros)
}

/// A clock that only goes forward, over the lives of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalClock {
    /// What is added to the time since the boot.
    offset: UnixMicros,
}

impl JournalClock {
    /// The clock that an earlier life in this boot left in the folder.
    ///
    /// # Errors
    /// Where the file is there and can't be read.
    pub fn read(folder: &Path) -> io::Result<Option<JournalClock>> {
        match fs::read(folder.join(FILE)) {
            Ok(text) => {
                let offset = parse(&String::from_utf8_lossy(&text), &boot_id());
                Ok(offset.map(|offset| JournalClock { offset }))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// A clock that begins now, by the wall clock and not before `latest`, for this and later lives in this boot.
    ///
    /// # Errors
    /// Where the folder refuses it: the next life would not know it.
    pub fn begin(folder: &Path, latest: UnixMicros) -> io::Result<JournalClock> {
        let (boot, offset) = (boot_id(), wall().max(latest).saturating_sub(since_boot()));
        if !boot.is_empty() {
            fs::write(folder.join(NEXT), format!("{boot} {offset}\n"))?;
            fs::rename(folder.join(NEXT), folder.join(FILE))?;
        }
        Ok(JournalClock { offset })
    }

    /// Whether it is behind a time that is on record: it is another boot's then, whatever the id says.
    pub fn is_behind(self, latest: UnixMicros) -> bool {
        self.now() + SLACK < latest
    }

    /// The time now, in microseconds of Unix time as this clock counts it.
    pub fn now(self) -> UnixMicros {
        since_boot().saturating_add(self.offset)
    }
}

/// Names this boot of the machine; empty where that can't be read.
fn boot_id() -> String {
    fs::read_to_string(BOOT_ID).unwrap_or_default().trim().into()
}

/// The offset that a file tells of this boot.
fn parse(text: &str, boot: &str) -> Option<UnixMicros> {
    let (id, offset) = text.strip_suffix('\n')?.split_once(' ')?;
    offset.parse().ok().filter(|_| !boot.is_empty() && id == boot)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_tells_the_offset_of_its_own_boot_alone() {
        assert_eq!(parse("one 12\n", "one"), Some(12));
        for other in ["one 12", "two 12\n", "one x\n", "one\n", "", " 12\n"] {
            assert_eq!(parse(other, "one"), None, "{other:?}");
        }
        assert_eq!(parse(" 12\n", ""), None);
    }

    #[test]
    fn a_second_life_goes_on_with_the_first_ones_clock() {
        let folder = std::env::temp_dir().join(format!("fawnspoke-clock-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        assert_eq!(JournalClock::read(&folder).unwrap(), None);
        let first = JournalClock::begin(&folder, 0).unwrap();
        assert_eq!(JournalClock::read(&folder).unwrap(), Some(first));
        assert!(!first.is_behind(first.now()));
        // What is on record is never ahead of it.
        let ahead = first.now() + 3_600_000_000;
        assert!(first.is_behind(ahead) && !JournalClock::begin(&folder, ahead).unwrap().is_behind(ahead));
        fs::write(folder.join(FILE), "half").unwrap();
        assert_eq!(JournalClock::read(&folder).unwrap(), None);
        fs::remove_dir_all(folder).unwrap();
    }
}
