//! The list of endpoints: taking it, and asking for it.
//! Guards the rule on drains, and discovery against a fleet that asks in one moment. Harm: late news.

use super::pace::FEW;
use super::*;

/// First pause before asking for the list again; doubles up to `ASK_MOST`.
pub(super) const ASK: f64 = 0.3;
/// Longest mean pause before asking again, and wait for an answer, as a share of the rule's time.
pub(super) const ASK_MOST: f64 = 0.5;
/// Many dispatchers spread what they ask over this share of the rule's time: enough for one call of each.
const ASK_SPREAD: f64 = 0.8;
/// A standing subscription is asked for anew after this share of the rule's time, in case it died unseen.
const ASK_AGAIN: f64 = 0.8;
/// A destination without endpoints, messages or demand for so long is forgotten.
const DESTINATION_KEPT: f64 = 120.0;

impl Dispatcher {
    pub(super) fn list(&mut self, now: Seconds, entries: Vec<EndpointEntry>, whole: bool) {
        // The saved list of an earlier life is no subscription.
        if self.asked {
            self.subscribed(now);
        }
        self.enrol(entries, whole, UNKNOWN_LATENCY);
        for number in self.recalled.clone() {
            self.recall(now, number);
        }
        self.destinations.retain(|_, d| {
            !(d.endpoints.is_empty() && d.held.is_empty() && now - d.demand.at > DESTINATION_KEPT)
        });
    }

    /// The list: subscribe where it must be asked for, again after each failure.
    pub(super) fn keep_list(&mut self, now: Seconds, actions: &mut Vec<Action>, wake: &mut Seconds) {
        if self.settings.discovery_mode == DiscoveryMode::Pushed {
            return;
        }
        if self.ask_at == f64::NEG_INFINITY {
            self.ask_at = now + self.ask_turn();
        }
        if now >= self.ask_at {
            actions.push(Action::Subscribe);
            (self.ask_at, self.asked) = (now + ASK_MOST * self.settings.discovery_mode.ask_within(), true);
        }
        *wake = wake.min(self.ask_at);
    }

    /// When it is the own turn to ask, by seeded chance: a line that outlasts all patience serves nobody.
    pub(super) fn ask_turn(&mut self) -> Seconds {
        let crowd = (1.0 - FEW / f64::from(self.settings.dispatcher_count)).max(0.0);
        if crowd > 0.0 {
            crowd * ASK_SPREAD * self.settings.discovery_mode.ask_within() * self.rng.f64()
        } else {
            0.0
        }
    }

    pub(super) fn subscribed(&mut self, now: Seconds) {
        (self.ask_at, self.asks) = (now + ASK_AGAIN * self.settings.discovery_mode.ask_within(), 0);
    }
}
