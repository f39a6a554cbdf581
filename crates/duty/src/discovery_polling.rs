//! Which member polls the discovery service while it does not answer: the holder of the duty polls often, the others
//! slowly, or when the holder announces a list.
//!
//! A dispatcher sends only to endpoints that its own list contains: an announcement makes it poll, and carries no
//! endpoints.

use crate::Seconds;

/// An announced list that has not arrived after this share of the maximum deferral is polled for.
const OVERDUE_SHARE: f64 = 0.5;

/// How often this member's dispatcher may poll discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollingRate {
    /// At its usual rate, as without a fleet.
    Normal,
    /// Another member polls. This one polls at most once per interval until the given time: interval, end.
    Reduced(Seconds, Seconds),
}

/// This member's view of discovery and of the holder of the duty.
#[derive(Clone, Debug)]
pub struct DiscoveryPolling {
    max_deferral: Seconds,
    /// Since when discovery has not answered this member.
    failing_since: Option<Seconds>,
    /// When another holder was last active.
    other_holder_seen_at: Option<Seconds>,
    /// Sequence number of this member's list.
    own_seq: u64,
    /// A newer list that the holder announced, and when. An intact subscription delivers it without polling.
    announced: Option<(u64, Seconds)>,
    /// The rate last reported to the dispatcher.
    rate: Option<PollingRate>,
    /// A received list that has not been announced yet.
    unpublished: Option<u64>,
    poll_requested: bool,
}

impl DiscoveryPolling {
    /// Discovery answers.
    pub fn new(max_deferral: Seconds) -> DiscoveryPolling {
        DiscoveryPolling {
            max_deferral,
            failing_since: None,
            other_holder_seen_at: None,
            own_seq: 0,
            announced: None,
            rate: None,
            unpublished: None,
            poll_requested: false,
        }
    }

    /// The discovery subscription has ended or was rejected.
    pub fn discovery_failed(&mut self, now: Seconds) {
        self.failing_since.get_or_insert(now);
    }

    /// A list with this sequence number has arrived.
    pub fn list_received(&mut self, seq: u64) {
        // If this member is the holder, it announces the list: the others' lists may be older.
        if seq > self.own_seq || self.failing_since.is_some() {
            self.unpublished = Some(seq);
        }
        (self.own_seq, self.failing_since) = (seq, None);
        self.announced = self.announced.filter(|(announced_seq, _)| *announced_seq > seq);
    }

    /// The log has granted the duty: to this member (`Some(true)`), to another one, or to nobody.
    pub fn granted(&mut self, now: Seconds, holder: Option<bool>) {
        self.other_holder_seen_at = (holder == Some(false)).then_some(now);
    }

    /// The holder has announced a list, or (`seq` 0) that it is still polling.
    pub fn holder_update(&mut self, now: Seconds, seq: u64) {
        if self.other_holder_seen_at.is_some() {
            self.other_holder_seen_at = Some(now);
        }
        // Discovery has answered the holder. A member that cannot reach it polls now; any other waits for its
        // subscription first.
        self.poll_requested |= seq > 0 && self.failing_since.is_some();
        if seq > self.own_seq && self.announced.is_none_or(|(announced_seq, _)| seq > announced_seq) {
            self.announced = Some((seq, now));
        }
    }

    /// Whether this member cannot reach discovery and needs the duty.
    pub fn is_needed(&self) -> bool {
        self.failing_since.is_some()
    }

    /// The polling rate, if it has changed.
    pub fn changed_rate(&mut self, now: Seconds) -> Option<PollingRate> {
        let deferred_until = self.other_holder_seen_at.map(|at| at + self.max_deferral);
        let rate = match deferred_until {
            Some(deferred_until) if self.failing_since.is_some() && now < deferred_until => {
                PollingRate::Reduced(self.max_deferral, deferred_until)
            }
            _ => PollingRate::Normal,
        };
        (self.rate.replace(rate) != Some(rate)).then_some(rate)
    }

    /// The sequence number of a list that the holder has to announce.
    pub fn take_update(&mut self) -> Option<u64> {
        self.unpublished.take()
    }

    /// Whether discovery is to be polled now.
    pub fn take_poll_request(&mut self, now: Seconds) -> bool {
        let overdue = self.announced.take_if(|(_, at)| now - *at > OVERDUE_SHARE * self.max_deferral);
        std::mem::take(&mut self.poll_requested) || overdue.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn others_poll_slowly_until_the_holder_has_an_answer() {
        let mut polling = DiscoveryPolling::new(3.0);
        polling.list_received(4);
        assert_eq!((polling.take_update(), polling.changed_rate(0.0)), (Some(4), Some(PollingRate::Normal)));
        polling.discovery_failed(1.0);
        polling.granted(1.1, Some(false));
        assert_eq!(polling.changed_rate(1.2), Some(PollingRate::Reduced(3.0, 4.1)));
        polling.holder_update(2.0, 0);
        assert!(!polling.take_poll_request(2.0));
        assert_eq!(polling.changed_rate(2.0), Some(PollingRate::Reduced(3.0, 5.0)));
        polling.holder_update(3.0, 4);
        assert!(polling.take_poll_request(3.0));
        polling.list_received(4);
        assert_eq!(polling.changed_rate(3.1), Some(PollingRate::Normal));
        // An intact subscription delivers a newer list; if the list does not arrive, it is polled for once.
        polling.holder_update(4.0, 5);
        assert!(!polling.take_poll_request(5.0));
        polling.list_received(5);
        assert!(!polling.take_poll_request(9.0));
        polling.holder_update(10.0, 6);
        polling.holder_update(11.0, 6);
        assert!(
            !polling.take_poll_request(11.4)
                && polling.take_poll_request(11.6)
                && !polling.take_poll_request(20.0)
        );
    }

    #[test]
    fn polling_is_reduced_only_until_the_deferral_to_a_silent_holder_ends() {
        let mut polling = DiscoveryPolling::new(3.0);
        polling.discovery_failed(1.0);
        polling.granted(1.0, Some(false));
        polling.changed_rate(1.0);
        assert_eq!(polling.changed_rate(4.0), Some(PollingRate::Normal));
    }
}
