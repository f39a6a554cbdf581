//! The list of endpoints: applies it and keeps the subscription to it alive.
//!
//! Ensures that the dispatcher learns of draining endpoints in time, and keeps a large fleet from subscribing
//! at one moment. The cost is that a change may arrive late.

use super::rate_limit::SMALL_FLEET_SIZE;
use super::*;

/// First pause before the next subscription request after a failure; it doubles up to the maximum below.
pub(super) const FIRST_SUBSCRIBE_BACKOFF_SECONDS: f64 = 0.3;
/// Longest mean pause after a failure, and longest wait for an answer, as a share of the renewal interval.
pub(super) const MAX_SUBSCRIBE_BACKOFF_SHARE: f64 = 0.5;
/// A large fleet spreads its requests over this share of the renewal interval, enough for one of each
/// dispatcher.
const SUBSCRIBE_SPREAD_SHARE: f64 = 0.8;
/// A subscription is renewed after this share of the renewal interval, in case it broke unnoticed.
const RENEWAL_SHARE: f64 = 0.8;
/// A destination without endpoints, messages and demand is removed after this time.
const UNUSED_DESTINATION_SECONDS: f64 = 120.0;

impl Dispatcher {
    /// Applies entries of the list.
    pub(super) fn apply_list(&mut self, now: Seconds, entries: Vec<EndpointEntry>, snapshot: bool) {
        // A list that was restored from disk does not confirm a subscription.
        if self.subscribe_sent {
            self.subscription_confirmed(now);
        }
        self.update_endpoints(entries, snapshot, DEFAULT_LATENCY_SECONDS);
        for id in self.recovered_outages.clone() {
            self.restore_outage(now, id);
        }
        self.destinations.retain(|_, d| {
            !(d.endpoints.is_empty()
                && d.queued.is_empty()
                && now - d.demand.updated_at > UNUSED_DESTINATION_SECONDS)
        });
    }

    /// Subscribes to the list if it is not pushed, and again after each failure.
    pub(super) fn renew_subscription(
        &mut self, now: Seconds, actions: &mut Vec<Action>, wake_at: &mut Seconds,
    ) {
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
        *wake_at = wake_at.min(self.next_subscribe_at);
    }

    /// Random delay of a subscription request in a large fleet: if all requests came at once, they would
    /// queue at the discovery service for longer than their timeout, and all would fail.
    pub(super) fn subscribe_jitter(&mut self) -> Seconds {
        let fleet_factor = (1.0 - SMALL_FLEET_SIZE / f64::from(self.settings.dispatcher_count)).max(0.0);
        if fleet_factor > 0.0 {
            fleet_factor
                * SUBSCRIBE_SPREAD_SHARE
                * self.settings.discovery_mode.max_renewal_interval()
                * self.rng.f64()
        } else {
            0.0
        }
    }

    /// Schedules the next renewal of a subscription that is alive.
    pub(super) fn subscription_confirmed(&mut self, now: Seconds) {
        (self.next_subscribe_at, self.failed_subscribes) =
            (now + RENEWAL_SHARE * self.settings.discovery_mode.max_renewal_interval(), 0);
    }
}
