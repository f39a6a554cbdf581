//! Every order of events of one voter whose process is changed: an upgrade, kills, candidates that ask for its vote, a
//! record that is written and then synced. It may vote for one candidate in a term, whichever process speaks. Checked state
//! by state; the rules are written down anew, and each is taken out to see that it is needed.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const TERMS: u8 = 3;
const CANDIDATES: u8 = 2;
const KILLS: u8 = 2;

#[derive(Clone, Copy, Debug)]
struct Rules {
    /// A vote is synced before it is answered for.
    synced_first: bool,
    /// The record is read by none but the one that has its lock.
    locked_first: bool,
    /// A process that lets the record go answers no more.
    silent_after: bool,
}

const ALL: Rules = Rules { synced_first: true, locked_first: true, silent_after: true };

/// The latest term, and the vote in it.
type Vote = (u8, Option<u8>);

#[derive(Clone, Copy, Debug, Default, Hash, PartialEq, Eq)]
struct Process {
    alive: bool,
    /// What it has in mind, once it has read the record.
    mind: Option<Vote>,
    /// It has what it has in mind on record.
    synced: bool,
    /// A vote that it has not answered for yet.
    answer: Option<(u8, u8)>,
    /// It was told to let the record go.
    left: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct World {
    processes: [Process; 2],
    lock: Option<usize>,
    record: Vote,
    /// What was answered: term and candidate.
    votes: BTreeSet<(u8, u8)>,
    kills: u8,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Event {
    Starts(usize),
    Locks(usize),
    Reads(usize),
    Asked { process: usize, term: u8, candidate: u8 },
    Syncs(usize),
    Answers(usize),
    Leaves(usize),
    Killed(usize),
}

struct Voter(Rules);

impl Model for Voter {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let processes = [Process { alive: true, ..Process::default() }, Process::default()];
        vec![World { processes, lock: None, record: (0, None), votes: BTreeSet::new(), kills: 0 }]
    }

    fn actions(&self, world: &World, events: &mut Vec<Event>) {
        for (i, process) in world.processes.iter().enumerate() {
            if !process.alive {
                events.push(Event::Starts(i));
                continue;
            }
            if world.lock.is_none() && !process.left {
                events.push(Event::Locks(i));
            }
            let may_read = world.lock == Some(i) || !self.0.locked_first;
            if process.mind.is_none() && may_read && !process.left {
                events.push(Event::Reads(i));
            }
            if process.mind.is_some() && process.answer.is_none() && (!process.left || !self.0.silent_after) {
                let asked =
                    (1..=TERMS).flat_map(|term| (0..CANDIDATES).map(move |candidate| (term, candidate)));
                events.extend(asked.map(|(term, candidate)| Event::Asked { process: i, term, candidate }));
            }
            events.extend((process.mind.is_some() && !process.synced).then_some(Event::Syncs(i)));
            events.extend(process.answer.map(|_| Event::Answers(i)));
            events.extend((world.lock == Some(i)).then_some(Event::Leaves(i)));
            events.extend((world.kills < KILLS).then_some(Event::Killed(i)));
        }
    }

    fn next_state(&self, before: &World, event: Event) -> Option<World> {
        let (rules, mut world) = (self.0, before.clone());
        match event {
            Event::Starts(i) => world.processes[i] = Process { alive: true, ..Process::default() },
            Event::Locks(i) => world.lock = Some(i),
            Event::Reads(i) => {
                (world.processes[i].mind, world.processes[i].synced) = (Some(world.record), true);
            }
            Event::Asked { process, term, candidate } => {
                let process = &mut world.processes[process];
                let (latest, vote) = process.mind?;
                if term < latest || (term == latest && vote.is_some_and(|vote| vote != candidate)) {
                    return None;
                }
                (process.mind, process.synced) = (Some((term, Some(candidate))), false);
                process.answer = Some((term, candidate));
            }
            Event::Syncs(i) => {
                world.record = world.processes[i].mind?;
                world.processes[i].synced = true;
            }
            Event::Answers(i) => {
                let process = &mut world.processes[i];
                if rules.synced_first && !process.synced {
                    return None;
                }
                world.votes.insert(process.answer.take()?);
            }
            Event::Leaves(i) => {
                world.lock = None;
                world.processes[i].left = true;
                if rules.silent_after {
                    (world.processes[i].mind, world.processes[i].answer) = (None, None);
                }
            }
            Event::Killed(i) => {
                world.kills += 1;
                world.processes[i] = Process::default();
                world.lock = world.lock.filter(|holder| *holder != i);
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one vote in a term", |_, world: &World| {
                let terms: BTreeSet<u8> = world.votes.iter().map(|(term, _)| *term).collect();
                terms.len() == world.votes.len()
            }),
            Property::sometimes("both processes vote", |_, world: &World| {
                world.votes.len() > 1 && world.processes[0].left && world.lock == Some(1)
            }),
        ]
    }
}

#[test]
fn a_voter_votes_once_in_a_term_whichever_process_speaks() {
    let checker = Voter(ALL).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000);
}

#[test]
fn each_rule_is_needed() {
    let without = [
        Rules { synced_first: false, ..ALL },
        Rules { locked_first: false, ..ALL },
        Rules { silent_after: false, ..ALL },
    ];
    for rules in without {
        let checker =
            Voter(rules).checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        assert!(checker.discovery("one vote in a term").is_some(), "{rules:?}");
    }
}
