//! The leader's side: who gets what, and from when on it is free to be given.

use crate::roll::{Entry, Name, Roll};
use crate::{MemberId, Rules, Seconds};
use fawnspoke_cluster::config::guard_time;
use fawnspoke_cluster::members::Members;
use rendezvous_hash::{IdNode, RendezvousNodes};
use std::collections::{BTreeMap, VecDeque};

/// A member that lost duties by its own lapses so often ...
const LAPSES: usize = 3;
/// ... in this time gets none for as long, in seconds.
const LAPSE_TIME: Seconds = 60.0;
/// What was proposed and not agreed by then, in terms, is proposed anew.
const AGAIN: f64 = 0.25;

/// What a leader knows of members' terms, in memory alone: the next leader knows nothing of it and waits.
#[derive(Clone, Debug)]
pub struct Granter {
    term: Seconds,
    guard: Seconds,
    rules: Rules,
    /// Since when this member leads, where it does.
    since: Option<Seconds>,
    heard: BTreeMap<MemberId, Seconds>,
    /// Members that stop: they get nothing until then.
    leaving: BTreeMap<MemberId, Seconds>,
    lapses: BTreeMap<MemberId, VecDeque<Seconds>>,
    proposed: BTreeMap<Name, (u64, Seconds)>,
}

impl Granter {
    /// One that does not lead.
    pub fn new(term: Seconds, clock_rate: f64, rules: Rules) -> Granter {
        let guard = guard_time(term, if rules.clocks { clock_rate } else { 0.0 });
        Granter {
            term,
            guard,
            rules,
            since: None,
            heard: BTreeMap::new(),
            leaving: BTreeMap::new(),
            lapses: BTreeMap::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// It leads from now on, or no more. `now` was read after the votes had been cast.
    pub fn leads(&mut self, now: Seconds, leads: bool) {
        self.since = leads.then_some(now);
        self.heard.clear();
        self.leaving.clear();
        self.proposed.clear();
    }

    /// A member's question has come. `now` was read after that.
    pub fn heard(&mut self, now: Seconds, from: MemberId) {
        self.heard.insert(from, now);
    }

    /// A member gave up a duty by its word: it stops, or has no use for it.
    pub fn released(&mut self, now: Seconds, by: MemberId) {
        self.leaving.insert(by, now + self.term);
    }

    /// Whether a term that a member may have has surely passed on its own clock.
    pub fn lapsed(&self, now: Seconds, member: MemberId) -> bool {
        let Some(since) = self.since else { return false };
        let heard = self.heard.get(&member).copied();
        let from =
            if self.rules.leader_waits { heard.unwrap_or(since).max(since) } else { heard.unwrap_or(0.0) };
        now >= from + self.guard
    }

    /// Whether a member may be given something.
    fn fit(&self, now: Seconds, member: MemberId) -> bool {
        let there = self.heard.get(&member).is_some_and(|at| now < at + self.term);
        let leaving = self.leaving.get(&member).is_some_and(|until| now < *until);
        there && !leaving && !self.flaps(now, member)
    }

    /// Whether it lost duties by its own lapses too often.
    pub fn flaps(&self, now: Seconds, member: MemberId) -> bool {
        let Some(lapses) = self.lapses.get(&member) else { return false };
        let recent = lapses.iter().filter(|at| now < **at + LAPSE_TIME).count();
        recent >= LAPSES
    }

    /// What is due: each duty whose holder has surely lapsed, or that nobody holds, goes to one that is there and has use
    /// for it. What is held stays where it is.
    pub fn decide(&mut self, now: Seconds, roll: &Roll, members: &Members) -> Vec<Entry> {
        if self.since.is_none() {
            return Vec::new();
        }
        let mut entries = Vec::new();
        let fit: Vec<MemberId> = members.0.keys().copied().filter(|id| self.fit(now, *id)).collect();
        for (name, duty) in roll.duties() {
            let free = duty.holder.is_none_or(|holder| self.lapsed(now, holder));
            if !free {
                continue;
            }
            let again = now - AGAIN * self.term;
            if self.proposed.get(&name).is_some_and(|(was, at)| *was == duty.epoch && *at > again) {
                continue;
            }
            let named = match name {
                Name::Tries(_) => fit.iter().copied().filter(|id| duty.wanted.contains(id)).collect(),
                Name::Keeper | Name::Lists => fit.clone(),
            };
            let to = choose(name, named);
            if to.is_none() && duty.holder.is_none() {
                continue;
            }
            if let Some(holder) = duty.holder {
                let lapses = self.lapses.entry(holder).or_default();
                lapses.push_back(now);
                if lapses.len() > LAPSES {
                    lapses.pop_front();
                }
            }
            self.proposed.insert(name, (duty.epoch, now));
            entries.push(Entry::Give { name, was: duty.epoch, to });
        }
        self.proposed.retain(|name, _| roll.get(*name).is_some());
        self.lapses.retain(|id, _| members.0.contains_key(id));
        entries
    }
}

/// One of these, by the highest random weight: duties are spread evenly, and few move as members come and go.
fn choose(name: Name, among: Vec<MemberId>) -> Option<MemberId> {
    let mut nodes = RendezvousNodes::default();
    for id in among {
        nodes.insert(IdNode::new(id));
    }
    nodes.calc_candidates(&name).next().map(|node| **node)
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnspoke_cluster::members::Change;

    fn members(ids: &[MemberId]) -> Members {
        let mut members = Members::default();
        ids.iter().for_each(|id| members.apply(&Change::Join { id: *id, name: format!("n{id}") }));
        members
    }

    fn roll(entries: &[Entry]) -> Roll {
        let mut roll = Roll::default();
        for entry in entries {
            roll.apply(entry, Rules::default());
        }
        roll
    }

    const K: Name = Name::Keeper;

    #[test]
    fn a_lapsed_holders_duty_goes_on_only_after_the_guard() {
        let (all, mut granter) = (members(&[1, 2]), Granter::new(3.0, 0.02, Rules::default()));
        let roll = roll(&[Entry::Want { name: K, by: 1 }, Entry::Give { name: K, was: 0, to: Some(1) }]);
        assert!(granter.decide(0.0, &roll, &all).is_empty());
        granter.leads(100.0, true);
        granter.heard(101.0, 1);
        let guard = 3.0 * 1.02 / 0.98;
        for now in [103.0, 101.0 + guard - 0.001] {
            granter.heard(now, 2);
            assert!(granter.decide(now, &roll, &all).is_empty(), "{now}");
        }
        granter.heard(104.2, 2);
        let give = Entry::Give { name: K, was: 1, to: Some(2) };
        assert_eq!(granter.decide(104.2, &roll, &all), [give]);
        // It is proposed once, and again where nothing came of it.
        assert!(granter.decide(104.3, &roll, &all).is_empty());
        assert_eq!(granter.decide(105.1, &roll, &all), [give]);
    }

    #[test]
    fn a_new_leader_waits_as_if_each_term_had_just_begun() {
        let (all, roll) = (
            members(&[1, 2]),
            roll(&[Entry::Want { name: K, by: 1 }, Entry::Give { name: K, was: 0, to: Some(1) }]),
        );
        let given = |rules: Rules| {
            let mut granter = Granter::new(3.0, 0.02, rules);
            granter.leads(100.0, true);
            granter.heard(100.1, 2);
            !granter.decide(100.2, &roll, &all).is_empty()
        };
        assert!(!given(Rules::default()));
        assert!(given(Rules { leader_waits: false, ..Rules::default() }));
    }

    #[test]
    fn duties_are_spread_and_stay_where_they_are() {
        let (all, mut granter) = (members(&[1, 2, 3, 4]), Granter::new(3.0, 0.02, Rules::default()));
        granter.leads(0.0, true);
        let mut roll = Roll::default();
        for number in 0..200 {
            for by in 1..=4 {
                roll.apply(&Entry::Want { name: Name::Tries(number), by }, Rules::default());
            }
        }
        [1, 2, 3].iter().for_each(|id| granter.heard(1.0, *id));
        let entries = granter.decide(1.0, &roll, &all);
        for entry in &entries {
            roll.apply(entry, Rules::default());
        }
        let counts: Vec<usize> = (1..=4).map(|id| roll.held(id).count()).collect();
        assert_eq!(counts.iter().sum::<usize>(), 200);
        assert!(counts[..3].iter().all(|count| (40..95).contains(count)) && counts[3] == 0, "{counts:?}");
        // One that returns takes nothing back at once.
        [1, 2, 3, 4].iter().for_each(|id| granter.heard(2.0, *id));
        assert!(granter.decide(2.0, &roll, &all).is_empty());
    }

    #[test]
    fn one_that_lapses_over_and_over_gets_nothing_for_a_while() {
        let (all, mut granter) = (members(&[1]), Granter::new(1.0, 0.0, Rules::default()));
        granter.leads(0.0, true);
        let mut roll = roll(&[Entry::Want { name: K, by: 1 }]);
        let mut given = Vec::new();
        for tick in 0..2000 {
            let now = f64::from(tick) * 0.1;
            // There for 2 s of each 4.
            if tick % 40 < 20 {
                granter.heard(now, 1);
            }
            for entry in granter.decide(now, &roll, &all) {
                roll.apply(&entry, Rules::default());
                if matches!(entry, Entry::Give { to: Some(_), .. }) {
                    given.push(now);
                }
            }
        }
        assert!(given.len() <= 12 && given.len() >= 6, "{given:?}");
        assert!(given.windows(4).all(|four| four[3] - four[0] > 50.0), "{given:?}");
    }

    #[test]
    fn whoever_gave_it_up_does_not_get_it_back_at_once() {
        let (all, mut granter) = (members(&[1, 2]), Granter::new(3.0, 0.02, Rules::default()));
        granter.leads(0.0, true);
        let roll = roll(&[Entry::Want { name: K, by: 1 }]);
        granter.heard(1.0, 1);
        granter.released(1.0, 1);
        assert!(granter.decide(1.1, &roll, &all).is_empty());
        granter.heard(1.2, 2);
        assert_eq!(granter.decide(1.2, &roll, &all), [Entry::Give { name: K, was: 0, to: Some(2) }]);
    }
}
