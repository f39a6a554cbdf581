//! Announcements of lists while some member cannot reach the discovery service: the holder of the duty announces each list
//! that it receives, and the others poll at once.
//!
//! An announcement only makes a member poll sooner. No member waits for another one: each has an agent of its own, and that
//! one of them answers, or does not, tells nothing certain about the others. A dispatcher sends only to endpoints that its
//! own list contains: an announcement carries no endpoints.

use crate::Seconds;

/// An announced list that has not arrived after this share of the maximum deferral is polled for.
const OVERDUE_SHARE: f64 = 0.5;

/// This member's view of discovery and of what the holder of the duty has announced.
#[derive(Clone, Debug)]
pub struct DiscoveryPolling {
    max_deferral: Seconds,
    /// Discovery does not answer this member.
    is_failing: bool,
    /// Sequence number of this member's list.
    own_seq: u64,
    /// A newer list that the holder announced, and when. An intact subscription delivers it without polling.
    announced: Option<(u64, Seconds)>,
    /// A received list that has not been announced yet.
    unpublished: Option<u64>,
    poll_requested: bool,
}

impl DiscoveryPolling {
    /// Discovery answers.
    pub fn new(max_deferral: Seconds) -> DiscoveryPolling {
        DiscoveryPolling {
            max_deferral,
            is_failing: false,
            own_seq: 0,
            announced: None,
            unpublished: None,
            poll_requested: false,
        }
    }

    /// The discovery subscription has ended or was rejected.
    pub fn discovery_failed(&mut self) {
        self.is_failing = true;
    }

    /// A list with this sequence number has arrived.
    pub fn list_received(&mut self, seq: u64) {
        // If this member is the holder, it announces the list: the others' lists may be older.
        if seq > self.own_seq || self.is_failing {
            self.unpublished = Some(seq);
        }
        (self.own_seq, self.is_failing) = (seq, false);
        self.announced = self.announced.filter(|(announced_seq, _)| *announced_seq > seq);
    }

    /// The holder has announced a list. A holder of an earlier version of the program also sends 0, which announces none.
    pub fn holder_update(&mut self, now: Seconds, seq: u64) {
        // Discovery has answered the holder. A member that cannot reach it polls now; any other waits for its
        // subscription first.
        self.poll_requested |= seq > 0 && self.is_failing;
        if seq > self.own_seq && self.announced.is_none_or(|(announced_seq, _)| seq > announced_seq) {
            self.announced = Some((seq, now));
        }
    }

    /// Whether this member cannot reach discovery and needs the duty.
    pub fn is_needed(&self) -> bool {
        self.is_failing
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
    fn members_poll_when_the_holder_announces_a_list() {
        let mut polling = DiscoveryPolling::new(3.0);
        polling.list_received(4);
        assert_eq!(polling.take_update(), Some(4));
        polling.discovery_failed();
        // A holder that only tells that it still polls requests nothing.
        polling.holder_update(2.0, 0);
        assert!(!polling.take_poll_request(2.0));
        polling.holder_update(3.0, 4);
        assert!(polling.take_poll_request(3.0));
        polling.list_received(4);
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
    fn a_list_after_a_failure_is_announced_again() {
        let mut polling = DiscoveryPolling::new(3.0);
        polling.list_received(4);
        assert_eq!((polling.take_update(), polling.take_update()), (Some(4), None));
        polling.list_received(4);
        assert_eq!(polling.take_update(), None, "nothing is new");
        polling.discovery_failed();
        assert!(polling.is_needed());
        polling.list_received(4);
        assert_eq!((polling.take_update(), polling.is_needed()), (Some(4), false));
    }
}
