//! The list of endpoints: applies it and keeps the subscription to it alive.
//!
//! Ensures that the dispatcher learns of draining endpoints in time, and keeps a large fleet from subscribing
//! at one moment. The cost is that a change may arrive late.

use super::rate_limit::SMALL_FLEET_SIZE;
use super::*;

/// First pause before the next subscription request after a failure; it doubles up to a maximum.
const FIRST_SUBSCRIBE_BACKOFF_SECONDS: f64 = 0.3;
/// Longest time from one request without an answer to the next, in a fleet of any size. Discovery may answer
/// again right after a request was lost, and a change counts as told 6 s after discovery could be reached;
/// the rest is for the answer.
const MAX_REQUEST_INTERVAL_SECONDS: f64 = 4.5;
/// The same as a share of the renewal interval, where that is short.
const MAX_REQUEST_INTERVAL_SHARE: f64 = 0.5;
/// Longest time from the last sign of a subscription to the next request, once it has ended: what a silent
/// one misses counts as told 6 s after it fell silent.
const MAX_SILENT_SECONDS: f64 = 5.5;
/// The pause after a failure varies by this share of its mean, up and down.
const BACKOFF_VARIATION: f64 = 0.5;
/// Share of a pause over which a very large fleet spreads its requests; the rest is the backoff.
const PAUSE_SPREAD_SHARE: f64 = 2.0 / 3.0;
/// A request that fails after this time, but not for want of an answer, was queued: discovery works and has
/// more requests than it can serve.
const MIN_QUEUED_SECONDS: f64 = 0.5;
/// Requests in a row after which that is believed: one may have hung in an outage and failed with its end.
const MIN_QUEUED_REQUESTS: u32 = 2;
/// A request that has failed after this time has had no answer.
const MAX_QUEUED_SECONDS: f64 = 2.25;
/// Dispatchers whose requests were queued for too long spread the next ones over this share of the renewal
/// interval, enough for one of each dispatcher.
const QUEUED_SPREAD_SHARE: f64 = 0.8;
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
            self.next_subscribe_at = now + self.fleet_spread() * self.max_request_interval() * self.rng.f64();
        }
        if now >= self.next_subscribe_at {
            actions.push(Action::Subscribe);
            (self.next_subscribe_at, self.subscribe_sent) = (now + self.max_request_interval(), true);
            self.subscribe_sent_at = Some(now);
        }
        *wake_at = wake_at.min(self.next_subscribe_at);
    }

    /// Longest time from one request without an answer to the next.
    fn max_request_interval(&self) -> Seconds {
        let renewal_interval = self.settings.discovery_mode.max_renewal_interval();
        MAX_REQUEST_INTERVAL_SECONDS.min(MAX_REQUEST_INTERVAL_SHARE * renewal_interval)
    }

    /// How far the fleet has to spread its requests: 0 for a small one, close to 1 for a large one. If all
    /// came at once, they would queue at the discovery service for longer than their timeout, and all would
    /// fail.
    fn fleet_spread(&self) -> f64 {
        (1.0 - SMALL_FLEET_SIZE / f64::from(self.settings.dispatcher_count)).max(0.0)
    }

    /// Schedules the next request after one that has failed, or after the end of a subscription.
    pub(super) fn subscription_failed(&mut self, now: Seconds) {
        (self.failed_subscribes, self.subscribe_sent) = (self.failed_subscribes + 1, false);
        let sent_at = self.subscribe_sent_at.take();
        let waited = sent_at.map_or(0.0, |sent_at| now - sent_at);
        let is_queued = (MIN_QUEUED_SECONDS..MAX_QUEUED_SECONDS).contains(&waited);
        self.queued_subscribes = if is_queued { self.queued_subscribes + 1 } else { 0 };
        let pause = if self.queued_subscribes >= MIN_QUEUED_REQUESTS && self.fleet_spread() > 0.0 {
            self.queued_pause()
        } else {
            let latest = match sent_at {
                Some(sent_at) => sent_at + self.max_request_interval(),
                None => self.subscription_alive_at + MAX_SILENT_SECONDS,
            };
            self.failure_pause((latest - now).clamp(0.0, self.max_request_interval()))
        };
        self.next_subscribe_at = now + pause;
    }

    /// Pause after a failed request, up to `longest`.
    fn failure_pause(&mut self, longest: Seconds) -> Seconds {
        let spread = longest * PAUSE_SPREAD_SHARE * self.fleet_spread();
        let max_backoff = (longest - spread) / (1.0 + BACKOFF_VARIATION);
        let doubling = 2f64.powi(self.failed_subscribes.min(8) as i32 - 1);
        let backoff = (FIRST_SUBSCRIBE_BACKOFF_SECONDS * doubling).min(max_backoff);
        let variation = 1.0 + BACKOFF_VARIATION * (2.0 * self.rng.f64() - 1.0);
        backoff * variation + spread * self.rng.f64()
    }

    /// Pause after a request that was queued for too long at a service that works: asking again sooner would
    /// keep it from serving anyone. The cost is that a change may arrive late where the service can't serve
    /// one request of each dispatcher within `MAX_REQUEST_INTERVAL_SECONDS`.
    fn queued_pause(&mut self) -> Seconds {
        let spread = QUEUED_SPREAD_SHARE * self.settings.discovery_mode.max_renewal_interval();
        self.failure_pause(self.max_request_interval()) + self.fleet_spread() * spread * self.rng.f64()
    }

    /// Schedules the next renewal of a subscription that is alive.
    pub(super) fn subscription_confirmed(&mut self, now: Seconds) {
        (self.next_subscribe_at, self.failed_subscribes) =
            (now + RENEWAL_SHARE * self.settings.discovery_mode.max_renewal_interval(), 0);
        (self.subscribe_sent_at, self.subscription_alive_at, self.queued_subscribes) = (None, now, 0);
    }
}
