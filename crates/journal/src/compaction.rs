//! Space planning for the journal: which segment to compact next, how many bytes per step, and whether a new message
//! still fits. Pure functions without I/O or a clock.
//!
//! Two totals are kept apart. The *live* bytes, which every open message needs including the records still to be
//! written for it, must fit into the budget less the reserve. Then dead bytes can always be found, and records that
//! close messages always have space. The bytes *on disk* may exceed that limit by one segment, as the dead bytes of
//! the active segment can only be reclaimed once it is sealed. The rest of the reserve is for records of messages
//! that were already accepted, and for copies.

/// Size limits, all in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit for all files together, each rounded up to whole blocks.
    pub budget_bytes: u64,
    /// Size at which a segment is sealed; no smaller than the longest record.
    pub segment_bytes: u64,
    /// Bytes copied per compaction step under normal conditions.
    pub normal_step_bytes: u64,
    /// Bytes copied per compaction step when space runs short.
    pub pressure_step_bytes: u64,
    /// Space that new messages can't use.
    pub reserve_bytes: u64,
}

/// Files are counted in whole blocks of this size.
pub const BLOCK_BYTES: u64 = 512;
/// Minimum segment size: large enough for the longest record, a message of 64 KiB with its header fields.
const MIN_SEGMENT_BYTES: u64 = 80 * 1024;
/// Maximum segment size: small enough to be copied within seconds of small steps.
const MAX_SEGMENT_BYTES: u64 = 64 * 1024 * 1024;
/// Number of segments that a budget is divided into: enough that a reserve of two costs little, and few enough files
/// to keep track of.
const TARGET_SEGMENTS: u64 = 32;
/// Bytes copied per normal step, some 0.1 ms of work.
const NORMAL_STEP_BYTES: u64 = 32 * 1024;
/// Bytes copied per step under pressure, some 0.5 ms of work.
const PRESSURE_STEP_BYTES: u64 = 128 * 1024;
/// Part of the reserve for records of already accepted messages, in addition to two segments.
const CLOSING_RESERVE_BYTES: u64 = 64 * 1024;
/// Minimum dead ratio at which a segment is compacted under normal conditions. Below it, compaction writes more bytes
/// than it frees.
const MIN_DEAD_RATIO: f64 = 0.5;
/// Small segments are merged once there are more than this multiple of `TARGET_SEGMENTS`, as each process start leaves
/// one behind.
const MERGE_FACTOR: usize = 2;

impl Limits {
    /// Limits for a budget in bytes.
    pub fn for_budget(budget_bytes: u64) -> Limits {
        let segment_bytes = (budget_bytes / TARGET_SEGMENTS).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let reserve_bytes = 2 * segment_bytes + CLOSING_RESERVE_BYTES;
        Limits {
            budget_bytes,
            segment_bytes,
            normal_step_bytes: NORMAL_STEP_BYTES,
            pressure_step_bytes: PRESSURE_STEP_BYTES,
            reserve_bytes,
        }
    }
}

/// Rounds a length up to whole blocks, as it counts against the budget.
pub fn round_up_to_block(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// Space used by a sealed segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentUsage {
    /// Number of the segment.
    pub segment: u64,
    /// Length of its file.
    pub length: u64,
    /// Upper bound on the bytes that copies of its live records take.
    pub live_bytes: u64,
}

/// Space used by the whole journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// All files, each rounded up to whole blocks.
    pub bytes_on_disk: u64,
    /// Upper bound on the bytes that all open messages need.
    pub max_live_bytes: u64,
}

/// Whether a new message can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is space for it.
    Fits,
    /// There will be space once dead bytes are reclaimed: run a compaction step and ask again.
    AfterCompaction,
    /// There is no space besides the open messages.
    Full,
}

/// Decides whether to accept a message whose first record has `record_bytes` bytes, and which needs up to
/// `max_message_bytes` bytes until it is closed.
pub fn admit(limits: &Limits, usage: Usage, record_bytes: u64, max_message_bytes: u64) -> Admission {
    let capacity = limits.budget_bytes.saturating_sub(limits.reserve_bytes);
    if usage.max_live_bytes + max_message_bytes > capacity {
        Admission::Full
    } else if usage.bytes_on_disk + record_bytes + BLOCK_BYTES > capacity + limits.segment_bytes {
        Admission::AfterCompaction
    } else {
        Admission::Fits
    }
}

/// Whether space runs short: only the last quarter before the reserve is free, or less.
pub fn under_pressure(limits: &Limits, usage: Usage) -> bool {
    let capacity = limits.budget_bytes.saturating_sub(limits.reserve_bytes);
    usage.bytes_on_disk > capacity - capacity / 4
}

/// The number of bytes to copy in the next step.
pub fn step_bytes(limits: &Limits, usage: Usage) -> u64 {
    let step_bytes =
        if under_pressure(limits, usage) { limits.pressure_step_bytes } else { limits.normal_step_bytes };
    // The copies of one step have to fit into one segment.
    step_bytes.min(limits.segment_bytes / 2)
}

/// The segment to compact next, if that is worthwhile: the one with the lowest live ratio, the oldest if several are
/// equal. A segment without live records is always chosen.
pub fn next_segment(
    limits: &Limits, usage: Usage, sealed: impl Iterator<Item = SegmentUsage>,
) -> Option<u64> {
    let live_ratio =
        |segment: &SegmentUsage| segment.live_bytes as f64 / round_up_to_block(segment.length).max(1) as f64;
    let (mut least_live, mut count, mut smallest) = (None::<SegmentUsage>, 0, None::<SegmentUsage>);
    for segment in sealed {
        if segment.live_bytes == 0 {
            return Some(segment.segment);
        }
        count += 1;
        if least_live.is_none_or(|least_live| live_ratio(&segment) < live_ratio(&least_live)) {
            least_live = Some(segment);
        }
        if smallest.is_none_or(|smallest| segment.length < smallest.length) {
            smallest = Some(segment);
        }
    }
    let least_live = least_live?;
    // Under pressure any gain is worthwhile, but it has to be at least a block, or compaction would never end.
    let frees_space = least_live.live_bytes + BLOCK_BYTES < round_up_to_block(least_live.length);
    let worthwhile =
        live_ratio(&least_live) <= 1.0 - MIN_DEAD_RATIO || (under_pressure(limits, usage) && frees_space);
    let merge_candidate = smallest.filter(|segment| {
        count > MERGE_FACTOR * TARGET_SEGMENTS as usize && segment.length < limits.segment_bytes / 2
    });
    worthwhile.then_some(least_live).or(merge_candidate).map(|segment| segment.segment)
}
