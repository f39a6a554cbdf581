//! What the journal does about space: which segment to empty next, how much at a step, and what still fits. Free
//! of I/O and of the clock.
//!
//! Two sums are kept apart. What is *owed* (all messages, each with what is still to be written of it) must fit
//! into the budget with the reserve to spare: then dead bytes are always to be found, and records that end
//! messages have room for ever. What is *on file* may be more by a segment, as the dead bytes of the one that is
//! written to are won back only once it is sealed; the rest of the reserve is for records of messages that are
//! there already, and for copies.

/// Sizes, all in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All files together, each counted in whole blocks.
    pub budget_bytes: u64,
    /// A segment is sealed once it has grown to this size: at least that of the longest record.
    pub segment_bytes: u64,
    /// Copied at a step while there is room.
    pub normal_step_bytes: u64,
    /// Copied at a step once room runs short.
    pub pressure_step_bytes: u64,
    /// Never given to new messages.
    pub reserve_bytes: u64,
}

/// Files count in whole blocks of this size.
pub const BLOCK_BYTES: u64 = 512;
/// Segments are at least this long: the longest record fits, a message of 64 KiB with its head.
const MIN_SEGMENT_BYTES: u64 = 80 * 1024;
/// Segments are at most this long: one is copied in seconds of small steps.
const MAX_SEGMENT_BYTES: u64 = 64 * 1024 * 1024;
/// Segments that a budget is cut into: a reserve of two of them costs little, and few files are open to count.
const TARGET_SEGMENTS: u64 = 32;
/// Copied at a step: some 0.1 ms of work.
const NORMAL_STEP_BYTES: u64 = 32 * 1024;
/// Copied at a step in a hurry: some 0.5 ms of work.
const PRESSURE_STEP_BYTES: u64 = 128 * 1024;
/// Kept for records of messages that are there, besides two segments.
const CLOSING_RESERVE_BYTES: u64 = 64 * 1024;
/// A segment is emptied in calm times only if this share of it is dead: one that is emptied for less costs more
/// writing than it wins room.
const MIN_DEAD_RATIO: f64 = 0.5;
/// More sealed segments than this many times `TARGET_SEGMENTS` are merged in calm times: each start leaves one.
const MERGE_FACTOR: usize = 2;

impl Limits {
    /// Sizes for a budget in bytes.
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

/// A length as it counts against the budget.
pub fn round_up_to_block(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// A sealed segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentUsage {
    /// Its number.
    pub segment: u64,
    /// Its length on file.
    pub length: u64,
    /// What copies of its facts take at most.
    pub live_bytes: u64,
}

/// What is on file and what is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// All files, in whole blocks.
    pub bytes_on_disk: u64,
    /// Copies of all messages, at most.
    pub max_live_bytes: u64,
}

/// The answer to a new message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It fits.
    Fits,
    /// It fits once dead bytes are won back: work on, and ask again.
    AfterCompaction,
    /// It does not fit beside what is owed.
    Full,
}

/// Whether a message fits of which a record of `record_bytes` bytes is to be written now, and which takes `max_message_bytes` bytes
/// at most until it is over.
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

/// Whether room runs short: the last quarter before the reserve, or the reserve.
pub fn under_pressure(limits: &Limits, usage: Usage) -> bool {
    let capacity = limits.budget_bytes.saturating_sub(limits.reserve_bytes);
    usage.bytes_on_disk > capacity - capacity / 4
}

/// The bytes to copy at the next step.
pub fn step_bytes(limits: &Limits, usage: Usage) -> u64 {
    let step_bytes =
        if under_pressure(limits, usage) { limits.pressure_step_bytes } else { limits.normal_step_bytes };
    // What is copied at a step fits into a segment.
    step_bytes.min(limits.segment_bytes / 2)
}

/// The segment to empty next, where one is worth it: the one with the least that counts for its length, the
/// oldest of equals. What weighs nothing always goes.
pub fn next_segment(
    limits: &Limits, usage: Usage, sealed: impl Iterator<Item = SegmentUsage>,
) -> Option<u64> {
    let live_ratio = |s: &SegmentUsage| s.live_bytes as f64 / round_up_to_block(s.length).max(1) as f64;
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
    // In a hurry any gain counts: a block at least, or it would go on for ever.
    let frees_space = least_live.live_bytes + BLOCK_BYTES < round_up_to_block(least_live.length);
    let worthwhile =
        live_ratio(&least_live) <= 1.0 - MIN_DEAD_RATIO || (under_pressure(limits, usage) && frees_space);
    let merge_candidate = smallest
        .filter(|s| count > MERGE_FACTOR * TARGET_SEGMENTS as usize && s.length < limits.segment_bytes / 2);
    worthwhile.then_some(least_live).or(merge_candidate).map(|segment| segment.segment)
}
