//! The memory of a process, as the kernel counts it.

/// What the program's own code takes of the memory where it is compiled with optimisation.
const OPTIMISED_CODE_BYTES: u64 = 8_000_000;

/// The memory that the process has used at most. The program's own code is larger without optimisation: then what an
/// optimised one has of it takes its place.
pub fn peak_bytes(process_id: u32) -> u64 {
    memory_bytes(process_id, "VmHWM:")
}

/// As [`peak_bytes`], the memory that it uses now. A process that has ended uses none.
pub fn resident_bytes(process_id: u32) -> u64 {
    memory_bytes(process_id, "VmRSS:")
}

fn memory_bytes(process_id: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        Some(line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1024)
    };
    match (field(name), field("RssFile:")) {
        (Some(memory), Some(code)) if cfg!(debug_assertions) => memory - code + OPTIMISED_CODE_BYTES,
        (memory, _) => memory.unwrap_or(0),
    }
}
