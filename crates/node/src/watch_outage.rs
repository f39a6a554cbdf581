//! What the log tells of the time in which no watch brings anything.

use std::time::Duration;
use tokio::time::Instant;

/// The requests for a watch that have failed since one brought something.
#[derive(Debug)]
pub struct WatchOutage {
    /// The same reason is logged again after this time.
    log_interval: Duration,
    /// When the last watch ended, or the first request failed.
    began_at: Option<Instant>,
    failed_requests: u32,
    /// The reason that was last logged, and when.
    logged: Option<(String, Instant)>,
}

impl WatchOutage {
    /// No request has failed.
    pub fn new(log_interval: Duration) -> WatchOutage {
        WatchOutage { log_interval, began_at: None, failed_requests: 0, logged: None }
    }

    /// A watch has ended, or a request for one has failed. Returns a line for the log, unless it would repeat one.
    pub fn failed(&mut self, now: Instant, reason: &str) -> Option<String> {
        match self.began_at {
            None => self.began_at = Some(now),
            Some(_) => self.failed_requests += 1,
        }
        let is_repeated = self
            .logged
            .as_ref()
            .is_some_and(|(logged, at)| logged == reason && now < *at + self.log_interval);
        if is_repeated {
            return None;
        }
        self.logged = Some((reason.to_string(), now));
        Some(format!("discovery: watch ended: {reason}"))
    }

    /// A watch has brought something. Returns a line for the log if that ends an outage.
    pub fn answered(&mut self, now: Instant) -> Option<String> {
        let ended = std::mem::replace(self, WatchOutage::new(self.log_interval));
        let WatchOutage { began_at, failed_requests, .. } = ended;
        let outage = now - began_at?;
        Some(format!(
            "discovery: answers again after {:.3} s, {failed_requests} requests have failed",
            outage.as_secs_f64()
        ))
    }
}
