//! Members whose agents were silent and answer again, each with a list that drains an endpoint, while the holder of the duty
//! `lists` is gone or says nothing. No member waits for another one, whatever the settings of the fleet.

use super::*;
use std::thread;
use std::time::{Duration, Instant};

const MEMBERS: usize = 3;
/// The deferral is far longer than the grace of a drain.
const SETTINGS: &str = "term_s = 1.0\nhold_most_s = 20.0\ndisk_mb = 0.5";
/// The grace of a drain where the settings name none, and the tolerance on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// Calls are counted for so long after the grace.
const OBSERVED: Duration = Duration::from_secs(3);

/// A fleet in which each member has an agent of its own. The endpoint serves destination 7.
struct Fixture {
    members: TestFleet,
    endpoint: Endpoint,
    agents: Vec<Platform>,
}

impl Fixture {
    /// A fleet whose agents are all silent, whose duty `lists` is held, and whose other members have given up a request.
    /// Returns the holder.
    fn with_silent_agents() -> (Fixture, usize) {
        let endpoint = Endpoint::start(|_, _| Reply::status(200));
        let agents: Vec<_> = (0..MEMBERS).map(|_| Platform::start()).collect();
        let known = [endpoint.list_entry("e", 7, "up")];
        let shape = FleetShape { voters: MEMBERS, learners: 0, extra_config: SETTINGS.into() };
        let (program, parent) =
            (Path::new(env!("CARGO_BIN_EXE_fawnspoke")), Path::new(env!("CARGO_TARGET_TMPDIR")));
        let agent_refs: Vec<_> = agents.iter().collect();
        let mut members =
            TestFleet::new(program, parent, &shape, &agent_refs, &known).expect("state folders and relays");
        members.start();
        agents.iter().for_each(|agent| agent.set(|behavior| behavior.heartbeats = true));
        eventually("a watch of each member", || agents.iter().all(|agent| !agent.watch_paths().is_empty()));
        assert_eq!(members.dispatchers[0].submit("safe", "first", 7), 202);
        eventually("a call before the drain", || endpoint.requests().len() == 1);
        let fixture = Fixture { members, endpoint, agents };
        fixture.agents.iter().for_each(|agent| agent.set_silent(true));
        let mut holder = None;
        eventually("a holder of the duty", || {
            holder = fixture.members.duty_holder("lists");
            holder.is_some()
        });
        let (holder, _) = holder.expect("a holder");
        // The watch ended as silent, and a request was given up: without the fix the member waits now.
        let given_up = |member: usize| {
            let log = fixture.members.dispatchers[member].log();
            log.iter().filter(|line| line.contains("discovery: watch ended")).count() >= 2
        };
        eventually("a request that each of the others has given up", || {
            (0..MEMBERS).all(|member| member == holder || given_up(member))
        });
        (fixture, holder)
    }

    /// The agents of these members are back, and their lists drain the endpoint: after the grace no member calls it.
    fn check_drain(&self, members: &[usize]) {
        for member in members {
            self.agents[*member].set_silent(false);
        }
        // Pushed once a watch is open; a member that waits opens none, and its agent counts as told all the same.
        let back_at = Instant::now();
        thread::scope(|scope| {
            for member in members {
                let agent = &self.agents[*member];
                let entry = self.endpoint.list_entry("e", 7, "draining");
                scope.spawn(move || agent.push_changes(2, &[entry]));
            }
            let calls_at_grace = self.submit_until(members, back_at + GRACE);
            let calls = self.submit_until(members, back_at + GRACE + OBSERVED);
            assert_eq!(calls, calls_at_grace, "calls to an endpoint that drains");
        });
    }

    /// Submits messages at these members, some tens a second; returns how many calls the endpoint has had by `until`.
    fn submit_until(&self, members: &[usize], until: Instant) -> usize {
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let member = members[number % members.len()];
            let id = format!("{member}-{number}-{:?}", until.elapsed());
            self.members.dispatchers[member].submit("safe", &id, 7);
            thread::sleep(Duration::from_millis(15));
        }
        self.endpoint.requests().len()
    }
}

/// The holder's agent stays silent or the holder is gone by `fail`; the agents of the others are back.
fn check_others_after(fail: impl FnOnce(&mut Fixture, usize)) {
    let (mut fixture, holder) = Fixture::with_silent_agents();
    fail(&mut fixture, holder);
    let others: Vec<_> = (0..MEMBERS).filter(|member| *member != holder).collect();
    fixture.check_drain(&others);
}

/// Guards against members that wait for the word of a holder that is dead (review/10).
#[test]
fn a_drain_is_heeded_although_the_holder_of_lists_is_killed() {
    check_others_after(|fixture, holder| fixture.members.dispatchers[holder].kill());
}

/// Guards against members that wait for the word of a holder that is stopped.
#[test]
fn a_drain_is_heeded_although_the_holder_of_lists_is_stalled() {
    check_others_after(|fixture, holder| fixture.members.dispatchers[holder].signal("STOP"));
}

/// Guards against members that wait for the word of a holder that they cannot hear.
#[test]
fn a_drain_is_heeded_although_the_holder_of_lists_is_partitioned() {
    check_others_after(|fixture, holder| fixture.members.partition(holder, (true, true)));
}

/// Guards against members that wait for the word of a holder that has released the duty.
#[test]
fn a_drain_is_heeded_although_the_holder_of_lists_leaves() {
    check_others_after(|fixture, holder| fixture.members.dispatchers[holder].signal("TERM"));
}

/// Guards against members that take the silence of the holder's agent for that of their own.
#[test]
fn a_drain_is_heeded_although_the_agent_of_the_holder_of_lists_stays_silent() {
    check_others_after(|_, _| ());
}

/// Guards against a member that waits for a fleet without a majority.
#[test]
fn a_drain_is_heeded_although_the_majority_is_gone() {
    let (mut fixture, holder) = Fixture::with_silent_agents();
    let last = (holder + 1) % MEMBERS;
    (0..MEMBERS)
        .filter(|member| *member != last)
        .for_each(|member| fixture.members.dispatchers[member].kill());
    fixture.check_drain(&[last]);
}
