//! All duties of one member, as a part that stands on the agreed log.

use crate::granter::Granter;
use crate::lists::{Lists, Pace};
use crate::roll::{Did, Entry, Name, Roll, WANTED_MOST, Word};
use crate::term::Term;
use crate::tries::{self, Tries};
use crate::{MemberId, Rules, Seconds};
use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::state_machine::{Decisions, MemberView, StateMachine};
use std::collections::{BTreeMap, BTreeSet};

/// What was sent and not agreed by then is sent anew, in terms.
const AGAIN: f64 = 0.3;
/// A holder of the lists' duty says that it still asks so often, as a part of the time for which others are slow.
const STILL: f64 = 0.3;

/// What the dispatcher tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// Of a destination.
    Tries(tries::Fact),
    /// Discovery's watch has ended or was refused.
    ListFailed,
    /// A list of this sequence has come.
    List(u64),
}

/// What the dispatcher hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// The duties begin, and know nothing of what was told before.
    Began,
    /// What binds its tries at a destination.
    Tries(u32, tries::Bound),
    /// What binds its questions to discovery.
    Lists(Pace),
    /// Discovery is to be asked now.
    AskNow,
    /// For the log: a duty was given.
    Given(Name, u64, Option<MemberId>),
    /// For the log: a holder's word was agreed.
    Told(Name, u64, Word),
    /// For the log: a word under an older epoch was refused; the duty's own is the second.
    Refused(Name, u64, u64),
    /// For the log: this member acts under an epoch, and found that its term runs at this time.
    Acts(Name, u64, Seconds),
}

/// How the duties are run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// A member's term, in seconds.
    pub term: Seconds,
    /// How far a clock's rate may be from true.
    pub clock_rate: f64,
    /// How long others hold back on the word of a holder, in seconds.
    pub hold_most: Seconds,
    /// Entries of the log after which the keeper has it cut.
    pub cut_after: u64,
    /// The keeper's round, in seconds.
    pub round: Seconds,
    /// All of them, but in tests.
    pub rules: Rules,
}

impl Settings {
    /// As the operators' file says.
    pub fn of(file: &FleetConfig) -> Settings {
        Settings {
            term: file.term_s,
            clock_rate: file.clock_rate,
            hold_most: file.hold_most_s,
            cut_after: file.cut_after,
            round: file.keeper_round_s,
            rules: Rules::default(),
        }
    }
}

/// All duties of one member.
pub struct Duties {
    settings: Settings,
    me: MemberId,
    roll: Roll,
    term: Term,
    granter: Granter,
    tries: Tries,
    lists: Lists,
    /// Given up by the own word: nothing is done under these epochs any more.
    given_up: BTreeSet<u64>,
    leaving: bool,
    /// What is to be agreed, until it is: sent when.
    asked: BTreeMap<Ask, Option<Seconds>>,
    words: Vec<(Name, u64, Word)>,
    rounds: u64,
    round_at: Seconds,
    cut_at: Seconds,
    still_at: Seconds,
    news: Vec<News>,
    cut: bool,
}

/// What a member wants of the log for as long as it isn't so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ask {
    Want(Name),
    Unwant(Name),
    Release(Name, u64),
}

impl Duties {
    /// The duties of the member of this number; `first`: see [`Term::new`].
    pub fn new(settings: Settings, first: u64) -> Duties {
        let Settings { term, clock_rate, hold_most, rules, .. } = settings;
        Duties {
            me: 0,
            roll: Roll::default(),
            term: Term::new(term, rules, first),
            granter: Granter::new(term, clock_rate, rules),
            tries: Tries::new(hold_most),
            lists: Lists::new(hold_most),
            given_up: BTreeSet::new(),
            leaving: false,
            asked: BTreeMap::new(),
            words: Vec::new(),
            rounds: 0,
            round_at: 0.0,
            cut_at: 0.0,
            still_at: 0.0,
            news: Vec::new(),
            cut: false,
            settings,
        }
    }

    /// The epoch under which this member may act on a duty now; it looks right before each act.
    pub fn holds(&self, now: Seconds, name: Name) -> Option<u64> {
        let duty = self.roll.get(name).filter(|duty| duty.holder == Some(self.me) && self.me != 0)?;
        (self.term.runs(now) && !self.given_up.contains(&duty.epoch)).then_some(duty.epoch)
    }

    /// What is agreed.
    pub fn roll(&self) -> &Roll {
        &self.roll
    }

    /// Looks, and acts: a word goes out under the epoch.
    fn tell(&mut self, now: Seconds, name: Name, word: Word) {
        if let Some(epoch) = self.holds(now, name) {
            self.news.push(News::Acts(name, epoch, now));
            self.words.push((name, epoch, word));
        }
    }

    fn keep(&mut self, now: Seconds, view: &MemberView) {
        if self.holds(now, Name::Keeper).is_none() {
            return;
        }
        if now >= self.round_at {
            self.round_at = now + self.settings.round;
            self.tell(now, Name::Keeper, Word::Round(self.rounds + 1));
        }
        if view.log_length >= self.settings.cut_after && now >= self.cut_at {
            self.cut_at = now + AGAIN * self.settings.term;
            self.tell(now, Name::Keeper, Word::Cut);
        }
    }

    fn did(&mut self, now: Seconds, did: Did) {
        match did {
            Did::Nothing => {}
            Did::Given(name, epoch, holder) => {
                self.news.push(News::Given(name, epoch, holder));
                let mine = holder.map(|holder| holder == self.me);
                match name {
                    Name::Tries(destination) => {
                        self.tries.given(now, destination, epoch, mine);
                        // Given, and of no use here any more.
                        if mine == Some(true) && !self.tries.wants(destination) {
                            self.asked.insert(Ask::Release(name, epoch), None);
                        }
                    }
                    Name::Lists => self.lists.given(now, mine),
                    Name::Keeper => self.round_at = now,
                }
                if self.leaving && mine == Some(true) {
                    self.asked.insert(Ask::Release(name, epoch), None);
                }
            }
            Did::Told(name, epoch, word) => {
                self.news.push(News::Told(name, epoch, word));
                match (name, word) {
                    (Name::Tries(destination), word) => self.tries.told(now, destination, word),
                    (Name::Lists, Word::List(seq)) => self.lists.told(now, seq),
                    (Name::Keeper, Word::Round(number)) => self.rounds = self.rounds.max(number),
                    (Name::Keeper, Word::Cut) => self.cut = true,
                    _ => {}
                }
            }
            Did::Refused(name, epoch, now_at) => self.news.push(News::Refused(name, epoch, now_at)),
        }
    }

    /// Whether something that was asked for is so, or makes no sense any more.
    fn settled(&self, ask: &Ask) -> bool {
        match *ask {
            Ask::Want(name) => {
                let full = self.roll.get(name).is_some_and(|duty| duty.wanted.len() >= WANTED_MOST);
                full || self.wants(name)
            }
            Ask::Unwant(name) => !self.wants(name),
            Ask::Release(name, epoch) => self.roll.get(name).is_none_or(|duty| duty.epoch != epoch),
        }
    }

    /// Whether it is agreed that this member has use for a duty.
    fn wants(&self, name: Name) -> bool {
        self.roll.get(name).is_some_and(|duty| duty.wanted.contains(&self.me))
    }

    /// What it is agreed to have use for and has none: it has begun anew since, or discovery has answered.
    fn ask_no_more(&mut self) {
        let held = self.roll.duties().filter(|(_, duty)| duty.wanted.contains(&self.me));
        let no_use = held.filter(|(name, _)| match name {
            Name::Tries(destination) => !self.tries.wants(*destination),
            Name::Lists => !self.lists.wanted(),
            Name::Keeper => false,
        });
        for ask in no_use.map(|(name, _)| Ask::Unwant(name)).collect::<Vec<_>>() {
            self.asked.entry(ask).or_insert(None);
        }
    }

    /// What this member wants of the log now.
    fn ask(&mut self, now: Seconds) -> Vec<Entry> {
        let (wants, words, releases) = self.tries.take();
        for (destination, want) in wants {
            let name = Tries::name(destination);
            let (ask, other) = match want {
                true => (Ask::Want(name), Ask::Unwant(name)),
                false => (Ask::Unwant(name), Ask::Want(name)),
            };
            self.asked.remove(&other);
            self.asked.insert(ask, None);
        }
        for (destination, epoch, word) in words {
            if self.holds(now, Tries::name(destination)) == Some(epoch) {
                self.tell(now, Tries::name(destination), word);
            }
        }
        for (destination, epoch) in releases {
            self.asked.insert(Ask::Release(Tries::name(destination), epoch), None);
        }
        if self.lists.wanted() && !self.wants(Name::Lists) {
            self.asked.remove(&Ask::Unwant(Name::Lists));
            self.asked.entry(Ask::Want(Name::Lists)).or_insert(None);
        }
        self.ask_no_more();
        if self.roll.get(Name::Keeper).is_none() {
            self.asked.entry(Ask::Want(Name::Keeper)).or_insert(None);
        }
        self.release_first();
        let settled: Vec<Ask> = self.asked.keys().filter(|ask| self.settled(ask)).copied().collect();
        self.asked.retain(|ask, _| !settled.contains(ask));
        let (by, again) = (self.me, now - AGAIN * self.settings.term);
        let due = self.asked.iter_mut().filter(|(_, at)| at.is_none_or(|at| at <= again));
        let mut entries: Vec<Entry> = due
            .map(|(ask, at)| {
                *at = Some(now);
                match *ask {
                    Ask::Want(name) => Entry::Want { name, by },
                    Ask::Unwant(name) => Entry::Unwant { name, by },
                    Ask::Release(name, epoch) => Entry::Release { name, epoch },
                }
            })
            .collect();
        let words = std::mem::take(&mut self.words);
        entries.extend(words.into_iter().map(|(name, epoch, word)| Entry::Tell { name, epoch, word }));
        entries
    }

    /// What is to be given up is acted on no more, before the word of it goes out.
    fn release_first(&mut self) {
        for ask in self.asked.keys() {
            if let Ask::Release(_, epoch) = ask {
                self.given_up.insert(*epoch);
            }
        }
        let held: BTreeSet<u64> = self.roll.held(self.me).map(|(_, epoch)| epoch).collect();
        let asked =
            |epoch: &u64| self.asked.keys().any(|ask| matches!(ask, Ask::Release(_, e) if e == epoch));
        self.given_up.retain(|epoch| held.contains(epoch) || asked(epoch));
    }
}

impl StateMachine for Duties {
    type Input = Fact;
    type Update = News;

    fn set_member_id(&mut self, me: MemberId) {
        self.me = me;
        self.news.push(News::Began);
    }

    fn accepts_proposal(&self, entry: &[u8]) -> bool {
        postcard::from_bytes::<Entry>(entry).is_ok_and(|entry| !matches!(entry, Entry::Give { .. }))
    }

    fn apply_entry(&mut self, now: Seconds, _at: u64, entry: &[u8]) {
        let Ok(entry) = postcard::from_bytes::<Entry>(entry) else { return };
        if let Entry::Release { name, epoch } = entry
            && let Some(duty) = self.roll.get(name).filter(|duty| duty.epoch == epoch)
            && let Some(holder) = duty.holder
        {
            let use_left = !matches!(name, Name::Tries(_)) || duty.wanted.contains(&holder);
            if use_left {
                self.granter.released(now, holder);
            }
        }
        let did = self.roll.apply(&entry, self.settings.rules);
        self.did(now, did);
    }

    fn member_removed(&mut self, member: MemberId) {
        self.roll.forget(member);
    }

    fn applied_up_to(&mut self, at: u64) {
        self.term.applied(at);
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.roll).unwrap_or_default()
    }

    fn restore(&mut self, now: Seconds, snapshot: &[u8]) -> bool {
        let Ok(roll) = postcard::from_bytes::<Roll>(snapshot) else { return false };
        let before = std::mem::replace(&mut self.roll, roll);
        let changed: Vec<Did> = self
            .roll
            .duties()
            .filter(|(_, duty)| duty.epoch > 0)
            .filter(|(name, duty)| before.get(*name).is_none_or(|old| old.epoch != duty.epoch))
            .map(|(name, duty)| Did::Given(name, duty.epoch, duty.holder))
            .collect();
        changed.into_iter().for_each(|did| self.did(now, did));
        if let Some(Word::Round(number)) = self.roll.get(Name::Keeper).and_then(|duty| duty.word) {
            self.rounds = self.rounds.max(number);
        }
        true
    }

    fn confirmation_request(&mut self, now: Seconds) -> Option<u64> {
        if self.leaving { None } else { self.term.question(now) }
    }

    fn leadership_confirmed(&mut self, now: Seconds, question: u64, after: u64) {
        self.term.confirmed(now, question, after);
    }

    fn leadership_changed(&mut self, now: Seconds, leads: bool) {
        self.granter.leads(now, leads);
    }

    fn request_received(&mut self, now: Seconds, from: MemberId) {
        self.granter.heard(now, from);
    }

    fn lease_expired(&self, now: Seconds, member: MemberId) -> bool {
        self.granter.lapsed(now, member)
    }

    fn release_all(&mut self, _now: Seconds) {
        self.leaving = true;
        let held: Vec<_> = self.roll.held(self.me).collect();
        self.asked.extend(held.into_iter().map(|(name, epoch)| (Ask::Release(name, epoch), None)));
        self.release_first();
    }

    fn has_released_all(&self) -> bool {
        self.roll.held(self.me).next().is_none()
    }

    fn handle_input(&mut self, now: Seconds, fact: Fact) {
        match fact {
            Fact::Tries(fact) => {
                self.tries.fact(now, fact);
                // Others may have found it out before, and the duty been given already.
                if let tries::Fact::Out(destination) = fact
                    && let Some(duty) = self.roll.get(Tries::name(destination))
                    && let Some(holder) = duty.holder
                {
                    self.tries.known(now, destination, duty.epoch, holder == self.me);
                }
            }
            Fact::ListFailed => self.lists.failed(now),
            Fact::List(seq) => self.lists.came(seq),
        }
    }

    fn decide(&mut self, now: Seconds, view: &MemberView) -> Decisions<News> {
        if view.members.0.contains_key(&self.me) {
            self.keep(now, view);
            self.tries.idle(now);
            // Nobody hears of lists but those that can't reach discovery.
            let wanted = self.roll.get(Name::Lists).is_some_and(|duty| !duty.wanted.is_empty());
            if let Some(seq) = self.lists.take_word().filter(|_| wanted) {
                self.tell(now, Name::Lists, Word::List(seq));
            } else if now >= self.still_at && self.holds(now, Name::Lists).is_some() && self.lists.wanted() {
                self.still_at = now + STILL * self.settings.hold_most;
                self.tell(now, Name::Lists, Word::List(0));
            }
        }
        let mut entries = self.ask(now);
        if !view.members.0.contains_key(&self.me) {
            entries.clear();
        }
        let grants = self.granter.decide(now, &self.roll, view.members);
        let bounds = self.tries.bounds(now, self.term.until());
        self.news.extend(bounds.into_iter().map(|(destination, bound)| News::Tries(destination, bound)));
        self.news.extend(self.lists.pace(now).map(News::Lists));
        if self.lists.take_ask(now) {
            self.news.push(News::AskNow);
        }
        Decisions {
            proposals: entries.iter().filter_map(|entry| postcard::to_stdvec(entry).ok()).collect(),
            leader_proposals: grants.iter().filter_map(|entry| postcard::to_stdvec(entry).ok()).collect(),
            updates: std::mem::take(&mut self.news),
            compact: std::mem::take(&mut self.cut),
        }
    }

    fn status(&self, now: Seconds, view: &MemberView) -> serde_json::Value {
        let name = |id: MemberId| view.members.0.get(&id).map(|member| member.name.clone());
        let duties: Vec<_> = self
            .roll
            .duties()
            .map(|(duty, state)| {
                serde_json::json!({
                    "name": duty.to_string(), "epoch": state.epoch, "holder": state.holder.and_then(name),
                    "mine": self.holds(now, duty).is_some(), "wanted": state.wanted.len(),
                    "word": state.word.map(|word| format!("{word:?}")),
                })
            })
            .collect();
        let left = self.term.until() - now;
        serde_json::json!({
            "term_left_s": left.is_finite().then(|| left.max(0.0)), "duties": duties, "rounds": self.rounds,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnspoke_cluster::members::{Change, Members};

    fn settings() -> Settings {
        let rules = Rules::default();
        Settings { term: 3.0, clock_rate: 0.02, hold_most: 3.0, cut_after: 100, round: 1000.0, rules }
    }

    /// Member 1 of two.
    struct One {
        duties: Duties,
        members: Members,
        at: u64,
    }

    impl One {
        fn new() -> One {
            let mut members = Members::default();
            for id in [1, 2] {
                members.apply(&Change::Join { id, name: format!("n{id}") });
            }
            let mut duties = Duties::new(settings(), 0);
            duties.set_member_id(1);
            One { duties, members, at: 0 }
        }

        fn agreed(&mut self, now: Seconds, entry: Entry) {
            self.at += 1;
            self.duties.apply_entry(now, self.at, &postcard::to_stdvec(&entry).unwrap());
            self.duties.applied_up_to(self.at);
        }

        fn decide(&mut self, now: Seconds) -> (Vec<Entry>, Vec<News>) {
            let view =
                MemberView { id: 1, name: "n1", leader: Some(2), members: &self.members, log_length: 0 };
            let wants = self.duties.decide(now, &view);
            let read = |entry: &Vec<u8>| postcard::from_bytes(entry).unwrap();
            (wants.proposals.iter().map(read).collect(), wants.updates)
        }

        /// Its term runs until `now` and three seconds.
        fn confirmed(&mut self, now: Seconds) {
            let question = self.duties.confirmation_request(now).unwrap();
            self.duties.leadership_confirmed(now, question, self.at);
        }
    }

    const T: Name = Name::Tries(7);

    #[test]
    fn what_only_a_leader_decides_is_proposed_for_nobody_else() {
        let duties = Duties::new(settings(), 0);
        let proposable = |entry: Entry| duties.accepts_proposal(&postcard::to_stdvec(&entry).unwrap());
        assert!(
            proposable(Entry::Want { name: T, by: 1 }) && proposable(Entry::Release { name: T, epoch: 1 })
        );
        assert!(
            !proposable(Entry::Give { name: T, was: 0, to: Some(1) })
                && !duties.accepts_proposal(b"\xff\xff")
        );
    }

    #[test]
    fn a_member_that_finds_a_place_out_late_holds_back_too() {
        let mut one = One::new();
        one.agreed(1.0, Entry::Want { name: T, by: 2 });
        one.agreed(1.0, Entry::Give { name: T, was: 0, to: Some(2) });
        one.decide(1.0);
        one.duties.handle_input(2.0, Fact::Tries(tries::Fact::Out(7)));
        let (entries, news) = one.decide(2.0);
        assert!(entries.contains(&Entry::Want { name: T, by: 1 }), "{entries:?}");
        assert!(news.contains(&News::Tries(7, tries::Bound::Held(5.0))), "{news:?}");
    }

    #[test]
    fn what_was_wanted_in_an_earlier_life_is_wanted_no_more() {
        let mut one = One::new();
        one.agreed(1.0, Entry::Want { name: T, by: 1 });
        assert!(one.decide(1.0).0.contains(&Entry::Unwant { name: T, by: 1 }));
        one.agreed(1.1, Entry::Unwant { name: T, by: 1 });
        assert!(!one.decide(9.0).0.iter().any(|entry| matches!(entry, Entry::Unwant { .. })));
    }

    #[test]
    fn a_discovery_that_answers_leaves_the_log_in_peace() {
        let mut one = One::new();
        one.agreed(1.0, Entry::Want { name: Name::Keeper, by: 1 });
        one.duties.handle_input(1.0, Fact::ListFailed);
        assert!(one.decide(1.0).0.contains(&Entry::Want { name: Name::Lists, by: 1 }));
        one.agreed(1.1, Entry::Want { name: Name::Lists, by: 1 });
        one.agreed(1.1, Entry::Give { name: Name::Lists, was: 0, to: Some(1) });
        one.confirmed(1.2);
        let still = Entry::Tell { name: Name::Lists, epoch: 1, word: Word::List(0) };
        assert!(one.decide(1.2).0.contains(&still));
        // It answers, with nothing new.
        one.duties.handle_input(2.0, Fact::List(4));
        let unwant = Entry::Unwant { name: Name::Lists, by: 1 };
        assert!(one.decide(2.0).0.contains(&unwant));
        one.agreed(2.1, unwant);
        for tick in 0..40 {
            let now = 2.5 + f64::from(tick);
            one.confirmed(now);
            one.duties.handle_input(now, Fact::List(5 + tick as u64));
            assert_eq!(one.decide(now).0, []);
        }
    }

    #[test]
    fn what_is_given_up_is_acted_on_no_more_before_its_word_is_agreed() {
        let mut one = One::new();
        one.agreed(1.0, Entry::Want { name: Name::Keeper, by: 1 });
        one.agreed(1.0, Entry::Give { name: Name::Keeper, was: 0, to: Some(1) });
        one.confirmed(1.1);
        assert_eq!(one.duties.holds(1.2, Name::Keeper), Some(1));
        one.duties.release_all(1.3);
        assert_eq!(one.duties.holds(1.3, Name::Keeper), None);
        assert!(one.decide(1.3).0.contains(&Entry::Release { name: Name::Keeper, epoch: 1 }));
    }
}
