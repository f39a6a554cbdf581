//! Calls without a response: a target that does not answer is suspected before its calls time out.
//!
//! Keeps further messages from a target that hangs. The cost is that a slow call delays others.

use super::attempts::{MIN_TIMEOUT_SECONDS, TIMEOUT_LATENCY_MULTIPLE};
use super::recovery_budget::FIRST_TRIAL_INTERVAL_SECONDS;
use super::*;

/// A target is suspect once a call is unanswered for this multiple of its mean latency and nothing else was
/// served ...
pub(super) const SILENCE_LATENCY_MULTIPLE: f64 = 5.0;
/// ... but not before this time, for the same reason as `MIN_TIMEOUT_SECONDS`.
pub(super) const MIN_SILENCE_SECONDS: f64 = 1.2;

impl TargetState {
    /// Whether a call was served so recently that the target cannot have had an outage since.
    pub(super) fn served_recently(&self, now: Seconds) -> bool {
        now - self.outage.last_success_at < self.silence_limit(now)
    }

    /// How long a call may be unanswered before the target is suspected.
    pub(super) fn silence_limit(&self, now: Seconds) -> Seconds {
        (SILENCE_LATENCY_MULTIPLE * self.stats.expected_latency(now)).max(MIN_SILENCE_SECONDS)
    }
}

impl Dispatcher {
    /// Marks a target suspect if a call is unanswered for far longer than usual and nothing was served since.
    /// A stall of this process is not counted as silence. The cost is that a slow call delays others.
    pub(super) fn suspect_unanswered(&mut self, now: Seconds) {
        if now < self.next_silence_check_at {
            return;
        }
        self.next_silence_check_at = f64::INFINITY;
        let mut suspected: Vec<TargetName> = Vec::new();
        for call in self.calls.values_mut() {
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { continue };
            let since = call.sent_at.max(self.last_stall_at);
            let timeout_at = since
                + (TIMEOUT_LATENCY_MULTIPLE * destination.target.stats.expected_latency(now))
                    .max(MIN_TIMEOUT_SECONDS);
            if call.carries_unsafe && !call.overdue && now >= timeout_at {
                // The call is still awaited, but trials no longer wait for it: otherwise a target that has
                // recovered would stay unavailable until the deadline of that message. The cost is an
                // occupied slot.
                call.overdue = true;
                endpoint.target.overdue_calls += 1;
                destination.target.overdue_calls += 1;
            } else if call.carries_unsafe && !call.overdue {
                self.next_silence_check_at = self.next_silence_check_at.min(timeout_at);
            }
            let names = [TargetName::Endpoint(call.endpoint), TargetName::Destination(endpoint.destination)];
            let independent = destination.independent_endpoints;
            for (name, target) in names.into_iter().zip([&mut endpoint.target, &mut destination.target]) {
                let suspect_at = since + target.silence_limit(now);
                let state = &mut target.outage;
                let unanswered = state.health == Health::Healthy && state.last_success_at < call.sent_at;
                if unanswered && now >= suspect_at {
                    (state.health, state.trial_count) = (Health::Suspect, 0);
                    target.outage.next_trial_at = now
                        + if target.rate_limiter.is_large_fleet() {
                            target.trial_interval(now, &self.settings.slow_start, &mut self.rng)
                        } else {
                            FIRST_TRIAL_INTERVAL_SECONDS
                        };
                    if matches!(name, TargetName::Endpoint(_)) == independent {
                        suspected.push(name);
                    }
                } else if unanswered {
                    self.next_silence_check_at = self.next_silence_check_at.min(suspect_at);
                }
            }
        }
        for target in suspected {
            self.log_health_change(target, Health::Healthy, Health::Suspect, HealthChangeCause::NoResponse);
        }
    }
}
