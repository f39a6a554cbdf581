//! Opens the journal and its clock, and logs what recovery found.

use crate::clock::{self, JournalClock};
use crate::config::Config;
use crate::log;
use crate::retry::Retry;
use fawnspoke_journal::compaction::{self, Limits};
use fawnspoke_journal::{Durability, Journal, OpenError, Options, Recovery};

/// Ended messages whose outcome is remembered to recognise repeats, some 200 KB: a client that repeats a message does
/// so within seconds.
const REMEMBERED_OUTCOMES: usize = 4096;

/// Opens the journal and its clock, and logs what recovery found.
pub fn open_journal(config: &Config) -> Result<(Journal, JournalClock), OpenError> {
    let stored_clock = JournalClock::read(&config.state_dir)?;
    let now = stored_clock.map_or_else(clock::wall_clock, JournalClock::now);
    let options = Options {
        // Reserves three blocks: one by which the platform's own count may exceed ours, and one each for the clock's
        // file and its replacement.
        limits: Limits::for_budget(config.limits.journal_bytes().saturating_sub(3 * compaction::BLOCK_BYTES)),
        durability: Durability::None,
        now,
        identity: u128::from(config.seed) << 64 | u128::from(now),
        remembered_outcomes: REMEMBERED_OUTCOMES,
    };
    let (journal, recovery) = Journal::open(&config.state_dir, options)?;
    let Recovery { torn_bytes, damage, migrated_messages, latest_timestamp } = recovery;
    if torn_bytes > 0 {
        log::info(format_args!("journal: discarded {torn_bytes} bytes of an incomplete record"));
    }
    if let Some(messages) = migrated_messages {
        log::info(format_args!("journal: migrated {messages} messages from the previous format"));
    }
    for damage in damage {
        log::info(format_args!("journal: damaged: {damage}"));
    }
    let clock = match stored_clock.filter(|clock| !clock.is_behind(latest_timestamp)) {
        Some(clock) => clock,
        None => {
            let clock = JournalClock::create(&config.state_dir, latest_timestamp)?;
            let ahead = clock.now().saturating_sub(clock::wall_clock()) as f64 / 1e6;
            log::info(format_args!("clock: first start in this boot; {ahead:.3} s ahead of the wall clock"));
            clock
        }
    };
    Ok((journal, clock))
}

/// Opens the journal, with retries while its directory is not writable.
pub async fn open_when_writable(config: &Config) -> Result<(Journal, JournalClock), String> {
    let mut retry = Retry::new();
    let describe = |error: &OpenError| format!("GW_STATE: {}: {error}", config.state_dir.display());
    loop {
        let error = match open_journal(config) {
            Err(error @ OpenError::Io(_)) => error,
            opened => return opened.map_err(|error| describe(&error)),
        };
        let Some((delay, is_first)) = retry.next_delay() else { return Err(describe(&error)) };
        if is_first {
            log::info(format_args!("{}; retrying", describe(&error)));
        }
        tokio::time::sleep(delay).await;
    }
}
