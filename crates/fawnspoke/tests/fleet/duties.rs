//! How a duty moves to another member: by an explicit release, and by expiry of its lease after a kill, a stall or a
//! partition.

use super::*;
use fawnspoke_lab::history::LogLine;
use std::time::{Duration, Instant};

#[test]
fn a_killed_holders_duty_moves_to_another_member() {
    let mut fleet = start_fleet(3, 0);
    let (holder, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    fleet.members.dispatchers[holder].kill();
    let (next, later) = wait_for_log_maintainer(&fleet.members, epoch);
    assert!(next != holder && later > epoch);
    // The killed member restarts as a follower and doesn't regain the duty.
    fleet.members.dispatchers[holder].start();
    eventually("the member to rejoin the fleet", || {
        fleet.members.status(holder).is_some_and(|status| status["leader"].is_string())
    });
    assert_eq!(fleet.members.duty_holder("keeper").map(|(member, _)| member), Some(next));
    assert_valid_history(&fleet.members);
}

#[test]
fn a_stalled_holder_does_not_act_after_its_successor() {
    let fleet = start_fleet(3, 0);
    for _ in 0..3 {
        let (holder, epoch) = wait_for_log_maintainer(&fleet.members, 0);
        // The holder acts 20 times a second: SIGSTOP hits it anywhere between its check of the lease and its action.
        fleet.members.dispatchers[holder].signal("STOP");
        let mut acted = None;
        eventually("an action of the next holder", || {
            acted = fleet.members.first_action_after("keeper", epoch);
            acted.is_some()
        });
        std::thread::sleep(Duration::from_millis(1200));
        fleet.members.dispatchers[holder].signal("CONT");
        eventually("the stalled member to receive the new lease", || {
            let histories = fleet.members.histories();
            histories[&format!("n{holder}")]
                .iter()
                .any(|line| matches!(line, LogLine::DutyGranted { duty, epoch: granted_epoch, .. } if duty == "keeper" && *granted_epoch > epoch))
        });
    }
    assert_valid_history(&fleet.members);
}

#[test]
fn a_holder_partitioned_in_either_direction_loses_its_duty_to_another() {
    let fleet = start_fleet(3, 1);
    for partition in [(true, false), (false, true), (true, true)] {
        let (holder, epoch) = wait_for_log_maintainer(&fleet.members, 0);
        fleet.members.partition(holder, partition);
        eventually("an action of the next holder", || {
            fleet.members.first_action_after("keeper", epoch).is_some()
        });
        fleet.members.partition(holder, (false, false));
        eventually("the same leader at all members", || {
            let leaders: Vec<_> = (0..4).map(|i| fleet.members.leader(i)).collect();
            leaders[0].is_some() && leaders.iter().all(|leader| *leader == leaders[0])
        });
    }
    assert_valid_history(&fleet.members);
}

#[test]
fn a_broken_link_between_two_of_three_voters_does_not_stop_the_duty() {
    let fleet = start_fleet(3, 0);
    // n0 and n2 can't reach each other; n1 reaches both.
    fleet.members.set_link_blocked(0, 2, (true, true));
    let (_, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    let action_count = |members: &TestFleet| {
        members
            .histories()
            .values()
            .flatten()
            .filter(|line| matches!(line, LogLine::DutyAction { .. }))
            .count()
    };
    let before = action_count(&fleet.members);
    eventually("further actions", || action_count(&fleet.members) > before + 20);
    fleet.members.set_link_blocked(0, 2, (false, false));
    assert!(wait_for_log_maintainer(&fleet.members, 0).1 >= epoch);
    assert_valid_history(&fleet.members);
}

#[test]
fn a_flapping_partition_breaks_no_lease_and_stops_no_duty() {
    let fleet = start_fleet(3, 0);
    let (holder, _) = wait_for_log_maintainer(&fleet.members, 0);
    let action_count = |members: &TestFleet| {
        members
            .histories()
            .values()
            .flatten()
            .filter(|line| matches!(line, LogLine::DutyAction { .. }))
            .count()
    };
    let before = action_count(&fleet.members);
    for _ in 0..10 {
        for partition in [true, false] {
            fleet.members.partition(holder, (partition, partition));
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    let leader_changes =
        |i: usize| fleet.members.dispatchers[i].log().iter().filter(|line| line.ends_with(" leads")).count();
    println!(
        "{} actions in 6 s, {} leader changes seen",
        action_count(&fleet.members) - before,
        leader_changes(holder)
    );
    eventually("further actions", || action_count(&fleet.members) > before + 40);
    assert_valid_history(&fleet.members);
}

#[test]
fn a_graceful_stop_releases_the_duty_explicitly() {
    let mut fleet = start_fleet(3, 0);
    let (holder, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    let stopped_at = Instant::now();
    fleet.members.dispatchers[holder].signal("TERM");
    let mut acted = None;
    eventually("an action of the next holder", || {
        acted = fleet.members.first_action_after("keeper", epoch);
        acted.is_some()
    });
    // Expiry of the lease takes a second or more. The time itself is no criterion, because a busy machine may be slow.
    let elapsed = stopped_at.elapsed();
    assert!(fleet.members.dispatchers[holder].wait());
    let released = fleet.members.histories().values().flatten().any(|line| {
        // After an explicit release the duty has no holder for a while.
        matches!(line, LogLine::DutyGranted { duty, epoch: granted_epoch, holder, .. } if duty == "keeper" && *granted_epoch == epoch + 1 && holder == "nobody")
    });
    assert!(released, "the duty moved by expiry of its lease, after {elapsed:?}");
    assert_valid_history(&fleet.members);
}

#[test]
fn without_a_majority_no_duty_is_held_and_messages_are_delivered() {
    let mut fleet = start_fleet(3, 1);
    let (_, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    fleet.members.dispatchers[1].kill();
    fleet.members.dispatchers[2].kill();
    eventually("the duty to have no holder", || fleet.members.duty_holder("keeper").is_none());
    for i in [0, 3] {
        for number in 0..5 {
            assert_eq!(fleet.members.dispatchers[i].submit("keyed", &format!("m{i}-{number}"), 7), 202);
        }
    }
    eventually("all calls", || fleet.endpoint.requests().len() == 10);
    assert!(fleet.members.duty_holder("keeper").is_none());
    fleet.members.dispatchers[2].start();
    fleet.members.dispatchers[1].start();
    // The holder may be the same as before: without a majority the duty could not be given to another member.
    wait_for_log_maintainer(&fleet.members, epoch - 1);
    assert_valid_history(&fleet.members);
}

#[test]
fn a_fleet_killed_at_once_and_started_in_another_order_recovers() {
    let mut fleet = start_fleet(3, 1);
    let (_, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    (0..4).for_each(|i| fleet.members.dispatchers[i].kill());
    [3, 1, 0, 2].into_iter().for_each(|i| fleet.members.dispatchers[i].start());
    wait_for_log_maintainer(&fleet.members, epoch - 1);
    eventually("all four members to list each other", || {
        (0..4).all(|i| {
            fleet.members.status(i).is_some_and(|f| f["members"].as_array().map_or(0, Vec::len) == 4)
        })
    });
    assert_valid_history(&fleet.members);
}

#[test]
fn an_upgraded_process_stays_the_same_member() {
    let mut fleet = start_fleet(3, 0);
    for _ in 0..2 {
        for i in 0..3 {
            let mut old = fleet.members.dispatchers[i].upgrade();
            fleet.members.dispatchers[i].submit_once_listed("keyed", &format!("u{i}-{}", old.id()), 7);
            eventually("the new process to be a member", || {
                fleet
                    .members
                    .status(i)
                    .is_some_and(|status| status["member"] == true && status["leader"].is_string())
            });
            let _ = old.kill();
            old.wait().expect("the end of the old process");
        }
    }
    let members = fleet.members.status(0).expect("a fleet")["members"].as_array().map_or(0, Vec::len);
    assert_eq!(members, 3, "the upgrades created no new instance");
    wait_for_log_maintainer(&fleet.members, 0);
    eventually("all calls", || fleet.endpoint.requests().len() == 6);
    assert_valid_history(&fleet.members);
}

#[test]
fn links_that_break_within_frames_or_delay_them_break_no_lease() {
    let fleet = start_fleet(3, 1);
    for round in 0..20 {
        fleet.members.update_relays(|link| {
            (link.resets, link.delay_s) = (link.resets + 1, f64::from(round % 4) * 0.03)
        });
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.members.update_relays(|link| link.delay_s = 0.0);
    wait_for_log_maintainer(&fleet.members, 0);
    assert_valid_history(&fleet.members);
}
