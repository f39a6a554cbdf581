//! A voter must vote for at most one candidate in a term, also while its process is replaced by an upgrade or killed.
//! The model explores every order of starts, kills, vote requests and syncs of two processes that share one store. Its
//! rules are stated here independently of the implementation; leaving out any of them must lead to a double vote.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const MAX_TERM: u8 = 3;
const CANDIDATES: u8 = 2;
const MAX_KILLS: u8 = 2;

#[derive(Clone, Copy, Debug)]
struct Rules {
    /// A vote is synced before it is sent.
    sync_before_reply: bool,
    /// A process reads the store only while it holds the lock.
    lock_before_read: bool,
    /// A process that has released the store sends no more votes.
    silent_after_release: bool,
}

const ALL_RULES: Rules =
    Rules { sync_before_reply: true, lock_before_read: true, silent_after_release: true };

/// The latest term, and the candidate voted for in it.
type Vote = (u8, Option<u8>);

#[derive(Clone, Copy, Debug, Default, Hash, PartialEq, Eq)]
struct Process {
    alive: bool,
    /// The vote in memory, once the process has read the store.
    in_memory: Option<Vote>,
    /// Whether the vote in memory is synced.
    synced: bool,
    /// A vote, as term and candidate, that is not sent yet.
    pending_reply: Option<(u8, u8)>,
    /// Whether the process has released the store.
    released: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    processes: [Process; 2],
    lock_holder: Option<usize>,
    stored: Vote,
    /// The votes that were sent, as term and candidate.
    sent_votes: BTreeSet<(u8, u8)>,
    kills: u8,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Event {
    Start(usize),
    Lock(usize),
    Read(usize),
    VoteRequest { process: usize, term: u8, candidate: u8 },
    Sync(usize),
    Reply(usize),
    Release(usize),
    Kill(usize),
}

struct Voter(Rules);

impl Model for Voter {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let processes = [Process { alive: true, ..Process::default() }, Process::default()];
        vec![State { processes, lock_holder: None, stored: (0, None), sent_votes: BTreeSet::new(), kills: 0 }]
    }

    fn actions(&self, state: &State, events: &mut Vec<Event>) {
        for (i, process) in state.processes.iter().enumerate() {
            if !process.alive {
                events.push(Event::Start(i));
                continue;
            }
            if state.lock_holder.is_none() && !process.released {
                events.push(Event::Lock(i));
            }
            let may_read = state.lock_holder == Some(i) || !self.0.lock_before_read;
            if process.in_memory.is_none() && may_read && !process.released {
                events.push(Event::Read(i));
            }
            if process.in_memory.is_some()
                && process.pending_reply.is_none()
                && (!process.released || !self.0.silent_after_release)
            {
                let requests =
                    (1..=MAX_TERM).flat_map(|term| (0..CANDIDATES).map(move |candidate| (term, candidate)));
                events.extend(requests.map(|(term, candidate)| Event::VoteRequest {
                    process: i,
                    term,
                    candidate,
                }));
            }
            events.extend((process.in_memory.is_some() && !process.synced).then_some(Event::Sync(i)));
            events.extend(process.pending_reply.map(|_| Event::Reply(i)));
            events.extend((state.lock_holder == Some(i)).then_some(Event::Release(i)));
            events.extend((state.kills < MAX_KILLS).then_some(Event::Kill(i)));
        }
    }

    fn next_state(&self, previous: &State, event: Event) -> Option<State> {
        let (rules, mut state) = (self.0, previous.clone());
        match event {
            Event::Start(i) => state.processes[i] = Process { alive: true, ..Process::default() },
            Event::Lock(i) => state.lock_holder = Some(i),
            Event::Read(i) => {
                (state.processes[i].in_memory, state.processes[i].synced) = (Some(state.stored), true);
            }
            Event::VoteRequest { process, term, candidate } => {
                let process = &mut state.processes[process];
                let (latest_term, vote) = process.in_memory?;
                if term < latest_term || (term == latest_term && vote.is_some_and(|vote| vote != candidate)) {
                    return None;
                }
                (process.in_memory, process.synced) = (Some((term, Some(candidate))), false);
                process.pending_reply = Some((term, candidate));
            }
            Event::Sync(i) => {
                state.stored = state.processes[i].in_memory?;
                state.processes[i].synced = true;
            }
            Event::Reply(i) => {
                let process = &mut state.processes[i];
                if rules.sync_before_reply && !process.synced {
                    return None;
                }
                state.sent_votes.insert(process.pending_reply.take()?);
            }
            Event::Release(i) => {
                state.lock_holder = None;
                state.processes[i].released = true;
                if rules.silent_after_release {
                    (state.processes[i].in_memory, state.processes[i].pending_reply) = (None, None);
                }
            }
            Event::Kill(i) => {
                state.kills += 1;
                state.processes[i] = Process::default();
                state.lock_holder = state.lock_holder.filter(|holder| *holder != i);
            }
        }
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one vote in a term", |_, state: &State| {
                let terms: BTreeSet<u8> = state.sent_votes.iter().map(|(term, _)| *term).collect();
                terms.len() == state.sent_votes.len()
            }),
            Property::sometimes("both processes vote", |_, state: &State| {
                state.sent_votes.len() > 1 && state.processes[0].released && state.lock_holder == Some(1)
            }),
        ]
    }
}

#[test]
fn a_voter_votes_once_in_a_term_across_process_changes() {
    let checker = Voter(ALL_RULES).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000);
}

#[test]
fn leaving_out_any_rule_leads_to_a_double_vote() {
    let incomplete_rules = [
        Rules { sync_before_reply: false, ..ALL_RULES },
        Rules { lock_before_read: false, ..ALL_RULES },
        Rules { silent_after_release: false, ..ALL_RULES },
    ];
    for rules in incomplete_rules {
        let checker =
            Voter(rules).checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        assert!(checker.discovery("one vote in a term").is_some(), "{rules:?}");
    }
}
