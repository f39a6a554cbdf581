//! The list of endpoints: taking it, and asking for it.
//! Guards the rule on drains, and discovery against a fleet that asks in one moment. Harm: late news.

use super::pace::SMALL_FLEET_SIZE;
use super::*;

/// First pause before asking for the list again; doubles up to `MAX_SUBSCRIBE_BACKOFF_SHARE`.
pub(super) const FIRST_SUBSCRIBE_BACKOFF_SECONDS: f64 = 0.3;
/// Longest mean pause before asking again, and wait for an answer, as a share of the rule's time.
pub(super) const MAX_SUBSCRIBE_BACKOFF_SHARE: f64 = 0.5;
/// Many dispatchers spread what they ask over this share of the rule's time: enough for one call of each.
const SUBSCRIBE_SPREAD_SHARE: f64 = 0.8;
/// A standing subscription is asked for anew after this share of the rule's time, in case it died unseen.
const RENEWAL_SHARE: f64 = 0.8;
/// A destination without endpoints, messages or demand for so long is forgotten.
const UNUSED_DESTINATION_SECONDS: f64 = 120.0;

impl Dispatcher {
    pub(super) fn apply_list(&mut self, now: Seconds, entries: Vec<EndpointEntry>, whole: bool) {
        // The saved list of an earlier life is no subscription.
        if self.subscribe_sent {
            self.subscription_confirmed(now);
        }
        self.update_endpoints(entries, whole, DEFAULT_LATENCY_SECONDS);
        for number in self.recovered_outages.clone() {
            self.restore_outage(now, number);
        }
        self.destinations.retain(|_, d| {
            !(d.endpoints.is_empty()
                && d.queued.is_empty()
                && now - d.demand.updated_at > UNUSED_DESTINATION_SECONDS)
        });
    }

    /// The list: subscribe where it must be asked for, again after each failure.
    pub(super) fn renew_subscription(&mut self, now: Seconds, actions: &mut Vec<Action>, wake: &mut Seconds) {
        if self.settings.discovery_mode == DiscoveryMode::Pushed {
            return;
        }
        if self.next_subscribe_at == f64::NEG_INFINITY {
            self.next_subscribe_at = now + self.subscribe_jitter();
        }
        if now >= self.next_subscribe_at {
            actions.push(Action::Subscribe);
            (self.next_subscribe_at, self.subscribe_sent) = (
                now + MAX_SUBSCRIBE_BACKOFF_SHARE * self.settings.discovery_mode.max_renewal_interval(),
                true,
            );
        }
        *wake = wake.min(self.next_subscribe_at);
    }

    /// When it is the own turn to ask, by seeded chance: a line that outlasts all patience serves nobody.
    pub(super) fn subscribe_jitter(&mut self) -> Seconds {
        let crowd = (1.0 - SMALL_FLEET_SIZE / f64::from(self.settings.dispatcher_count)).max(0.0);
        if crowd > 0.0 {
            crowd
                * SUBSCRIBE_SPREAD_SHARE
                * self.settings.discovery_mode.max_renewal_interval()
                * self.rng.f64()
        } else {
            0.0
        }
    }

    pub(super) fn subscription_confirmed(&mut self, now: Seconds) {
        (self.next_subscribe_at, self.failed_subscribes) =
            (now + RENEWAL_SHARE * self.settings.discovery_mode.max_renewal_interval(), 0);
    }
}
