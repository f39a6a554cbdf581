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
const SEGMENT_LEAST: u64 = 80 * 1024;
/// Segments are at most this long: one is copied in seconds of small steps.
const SEGMENT_MOST: u64 = 64 * 1024 * 1024;
/// Segments that a budget is cut into: a reserve of two of them costs little, and few files are open to count.
const SEGMENTS: u64 = 32;
/// Copied at a step: some 0.1 ms of work.
const CALM_STEP: u64 = 32 * 1024;
/// Copied at a step in a hurry: some 0.5 ms of work.
const HURRY_STEP: u64 = 128 * 1024;
/// Kept for records of messages that are there, besides two segments.
const ENDS: u64 = 64 * 1024;
/// A segment is emptied in calm times only if this share of it is dead: one that is emptied for less costs more
/// writing than it wins room.
const DEAD_SHARE: f64 = 0.5;
/// More sealed segments than this many times `SEGMENTS` are merged in calm times: each start leaves one.
const MERGE: usize = 2;

impl Limits {
    /// Sizes for a budget in bytes.
    pub fn for_budget(budget_bytes: u64) -> Limits {
        let segment_bytes = (budget_bytes / SEGMENTS).clamp(SEGMENT_LEAST, SEGMENT_MOST);
        let reserve_bytes = 2 * segment_bytes + ENDS;
        Limits {
            budget_bytes,
            segment_bytes,
            normal_step_bytes: CALM_STEP,
            pressure_step_bytes: HURRY_STEP,
            reserve_bytes,
        }
    }
}

/// A length as it counts against the budget.
pub fn blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// A sealed segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its number.
    pub segment: u64,
    /// Its length on file.
    pub length: u64,
    /// What copies of its facts take at most.
    pub weight: u64,
}

/// What is on file and what is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// All files, in whole blocks.
    pub bytes_on_disk: u64,
    /// Copies of all messages, at most.
    pub owed: u64,
}

/// The answer to a new message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It fits.
    Fits,
    /// It fits once dead bytes are won back: work on, and ask again.
    Later,
    /// It does not fit beside what is owed.
    Full,
}

/// Whether a message fits of which a record of `record` bytes is to be written now, and which takes `size` bytes
/// at most until it is over.
pub fn admit(limits: &Limits, stock: Usage, record: u64, size: u64) -> Admission {
    let room = limits.budget_bytes.saturating_sub(limits.reserve_bytes);
    if stock.owed + size > room {
        Admission::Full
    } else if stock.bytes_on_disk + record + BLOCK_BYTES > room + limits.segment_bytes {
        Admission::Later
    } else {
        Admission::Fits
    }
}

/// Whether room runs short: the last quarter before the reserve, or the reserve.
pub fn hurried(limits: &Limits, stock: Usage) -> bool {
    let room = limits.budget_bytes.saturating_sub(limits.reserve_bytes);
    stock.bytes_on_disk > room - room / 4
}

/// The bytes to copy at the next step.
pub fn step(limits: &Limits, stock: Usage) -> u64 {
    let step = if hurried(limits, stock) { limits.pressure_step_bytes } else { limits.normal_step_bytes };
    // What is copied at a step fits into a segment.
    step.min(limits.segment_bytes / 2)
}

/// The segment to empty next, where one is worth it: the one with the least that counts for its length, the
/// oldest of equals. What weighs nothing always goes.
pub fn next(limits: &Limits, stock: Usage, sealed: impl Iterator<Item = Segment>) -> Option<u64> {
    let share = |s: &Segment| s.weight as f64 / blocks(s.length).max(1) as f64;
    let (mut best, mut count, mut small) = (None::<Segment>, 0, None::<Segment>);
    for segment in sealed {
        if segment.weight == 0 {
            return Some(segment.segment);
        }
        count += 1;
        if best.is_none_or(|best| share(&segment) < share(&best)) {
            best = Some(segment);
        }
        if small.is_none_or(|small| segment.length < small.length) {
            small = Some(segment);
        }
    }
    let best = best?;
    // In a hurry any gain counts: a block at least, or it would go on for ever.
    let gains = best.weight + BLOCK_BYTES < blocks(best.length);
    let worth = share(&best) <= 1.0 - DEAD_SHARE || (hurried(limits, stock) && gains);
    let merged = small.filter(|s| count > MERGE * SEGMENTS as usize && s.length < limits.segment_bytes / 2);
    worth.then_some(best).or(merged).map(|segment| segment.segment)
}
