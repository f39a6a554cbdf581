//! The memory of this process as the kernel counts it.

use std::fs::File;
use std::io::{self, Read, Seek};

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

/// Reads the figures again and again over one descriptor: near the limit of open files another one may not be had.
#[derive(Debug)]
pub struct ProcessMemoryReader {
    /// None while it could not be opened.
    status: Option<File>,
}

impl Default for ProcessMemoryReader {
    fn default() -> ProcessMemoryReader {
        ProcessMemoryReader { status: File::open(STATUS_PATH).ok() }
    }
}

impl ProcessMemoryReader {
    /// Reads the current figures.
    pub fn read(&mut self) -> ProcessMemory {
        self.read_status().map_or_else(|_| ProcessMemory::default(), |text| parse(&text))
    }

    fn read_status(&mut self) -> io::Result<String> {
        let file = match &mut self.status {
            Some(file) => file,
            none => none.insert(File::open(STATUS_PATH)?),
        };
        file.rewind()?;
        let mut text = String::new();
        file.read_to_string(&mut text)?;
        Ok(text)
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
        let mut reader = ProcessMemoryReader::default();
        assert!(reader.read().peak > 0);
        let before = reader.read().peak;
        let grown = vec![1_u8; 8 << 20];
        assert!(reader.read().peak > before, "read anew, {} bytes later", grown.len());
    }
}
