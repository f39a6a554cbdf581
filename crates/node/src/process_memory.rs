//! The memory of this process as the kernel counts it.

use std::fs;

const STATUS_PATH: &str = "/proc/self/status";
const BYTES_PER_KB: u64 = 1024;

/// Resident memory of this process, in bytes. Zero where the kernel does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Now.
    pub resident: u64,
    /// At most so far.
    pub peak: u64,
}

impl ProcessMemory {
    /// Reads the current figures.
    pub fn read() -> ProcessMemory {
        fs::read_to_string(STATUS_PATH).map_or_else(|_| ProcessMemory::default(), |text| parse(&text))
    }
}

fn parse(status: &str) -> ProcessMemory {
    let field = |name: &str| {
        let value = status.lines().find_map(|line| line.strip_prefix(name))?;
        value.trim().strip_suffix(" kB")?.parse::<u64>().ok()
    };
    let bytes = |name: &str| field(name).unwrap_or(0) * BYTES_PER_KB;
    ProcessMemory { resident: bytes("VmRSS:"), peak: bytes("VmHWM:") }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_read_from_the_status_file() {
        let status = "Name:\tfawnspoke\nVmHWM:\t   12 kB\nVmRSS:\t    9 kB\n";
        assert_eq!(parse(status), ProcessMemory { resident: 9 * 1024, peak: 12 * 1024 });
        assert_eq!(parse("VmRSS:\tmany\n"), ProcessMemory::default());
        assert!(ProcessMemory::read().peak > 0);
    }
}
