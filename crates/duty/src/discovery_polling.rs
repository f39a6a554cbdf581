//! Who asks discovery while it does not answer: the holder asks often, the others on its word or slowly. A dispatcher
//! sends only to endpoints that its own list has named: a word makes it ask, and tells it no endpoint.

use crate::Seconds;

/// A list that a word told of and that has not come by then is asked for, as a part of the time for which others are slow.
const OVERDUE_SHARE: f64 = 0.5;

/// What binds the dispatcher's questions to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollingRate {
    /// As alone.
    Normal,
    /// Another member asks; this one no more often than this, until then: spacing, end.
    Reduced(Seconds, Seconds),
}

/// What this member knows of discovery, and of who asks it.
#[derive(Clone, Debug)]
pub struct DiscoveryPolling {
    max_deferral: Seconds,
    /// Discovery does not answer this member since then.
    failing_since: Option<Seconds>,
    /// The duty is another member's, since then.
    other_holder_seen_at: Option<Seconds>,
    /// The sequence of the own list.
    own_seq: u64,
    /// A word told of a newer one, then. A watch that lives brings it by itself in a moment.
    announced: Option<(u64, Seconds)>,
    rate: Option<PollingRate>,
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

    /// Discovery has ended or refused the watch.
    pub fn discovery_failed(&mut self, now: Seconds) {
        self.failing_since.get_or_insert(now);
    }

    /// A list of this sequence has come.
    pub fn list_received(&mut self, seq: u64) {
        // Whoever holds the duty tells the others: what they have may be older.
        if seq > self.own_seq || self.failing_since.is_some() {
            self.unpublished = Some(seq);
        }
        (self.own_seq, self.failing_since) = (seq, None);
        self.announced = self.announced.filter(|(announced_seq, _)| *announced_seq > seq);
    }

    /// The duty was given: to this member, to another one, or to nobody.
    pub fn granted(&mut self, now: Seconds, holder: Option<bool>) {
        self.other_holder_seen_at = (holder == Some(false)).then_some(now);
    }

    /// The holder has told of a list, or that it asks still.
    pub fn holder_update(&mut self, now: Seconds, seq: u64) {
        if self.other_holder_seen_at.is_some() {
            self.other_holder_seen_at = Some(now);
        }
        // Discovery has answered the holder. One that can't reach it asks now; another one in a while, if it has to.
        self.poll_requested |= seq > 0 && self.failing_since.is_some();
        if seq > self.own_seq && self.announced.is_none_or(|(announced_seq, _)| seq > announced_seq) {
            self.announced = Some((seq, now));
        }
    }

    /// Whether discovery is out of this member's reach: the duty is of use.
    pub fn is_needed(&self) -> bool {
        self.failing_since.is_some()
    }

    /// The pace, where it has changed.
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

    /// A list that the holder has to tell of.
    pub fn take_update(&mut self) -> Option<u64> {
        self.unpublished.take()
    }

    /// Discovery is to be asked now.
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
        // A newer list comes by itself where the watch lives; where it does not come, it is asked for, once.
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
    fn a_silent_holder_slows_nobody_for_long() {
        let mut polling = DiscoveryPolling::new(3.0);
        polling.discovery_failed(1.0);
        polling.granted(1.0, Some(false));
        polling.changed_rate(1.0);
        assert_eq!(polling.changed_rate(4.0), Some(PollingRate::Normal));
    }
}
