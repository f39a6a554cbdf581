//! A duty handed on: by word, and by time after a kill, a stall and cuts of every kind.

use super::*;
use fawnspoke_lab::history::LogLine;
use std::time::{Duration, Instant};

#[test]
fn a_killed_holders_duty_goes_on() {
    let mut stage = started(3, 0);
    let (holder, epoch) = next_keeper(&stage.members, 0);
    stage.members.dispatchers[holder].kill();
    let (next, later) = next_keeper(&stage.members, epoch);
    assert!(next != holder && later > epoch);
    // The killed one comes back, takes nothing back, and follows.
    stage.members.dispatchers[holder].start();
    eventually("its return", || {
        stage.members.status(holder).is_some_and(|fleet| fleet["leader"].is_string())
    });
    assert_eq!(stage.members.duty_holder("keeper").map(|(who, _)| who), Some(next));
    clean(&stage.members);
}

#[test]
fn a_holder_that_is_stopped_acts_no_more_once_another_has() {
    let stage = started(3, 0);
    for _ in 0..3 {
        let (holder, epoch) = next_keeper(&stage.members, 0);
        // The keeper acts twenty times a second: it is stopped anywhere between its look and its act.
        stage.members.dispatchers[holder].signal("STOP");
        let mut acted = None;
        eventually("another holder's act", || {
            acted = stage.members.first_action_after("keeper", epoch);
            acted.is_some()
        });
        std::thread::sleep(Duration::from_millis(1200));
        stage.members.dispatchers[holder].signal("CONT");
        eventually("that it learns of it", || {
            let histories = stage.members.histories();
            histories[&format!("n{holder}")]
                .iter()
                .any(|line| matches!(line, LogLine::DutyGranted { duty, epoch: under, .. } if duty == "keeper" && *under > epoch))
        });
    }
    clean(&stage.members);
}

#[test]
fn a_holder_cut_off_either_way_loses_its_duty_and_another_acts() {
    let stage = started(3, 1);
    for cut in [(true, false), (false, true), (true, true)] {
        let (holder, epoch) = next_keeper(&stage.members, 0);
        stage.members.partition(holder, cut);
        eventually("another holder's act", || stage.members.first_action_after("keeper", epoch).is_some());
        stage.members.partition(holder, (false, false));
        eventually("one leader for all", || {
            let leaders: Vec<_> = (0..4).map(|i| stage.members.leader(i)).collect();
            leaders[0].is_some() && leaders.iter().all(|leader| *leader == leaders[0])
        });
    }
    clean(&stage.members);
}

#[test]
fn a_triangle_with_one_side_missing_keeps_its_keeper() {
    let stage = started(3, 0);
    // n0 and n2 don't see each other, n1 sees both.
    stage.members.set_link_blocked(0, 2, (true, true));
    let (_, epoch) = next_keeper(&stage.members, 0);
    let acts = |members: &TestFleet| {
        members
            .histories()
            .values()
            .flatten()
            .filter(|line| matches!(line, LogLine::DutyAction { .. }))
            .count()
    };
    let before = acts(&stage.members);
    eventually("that work is done", || acts(&stage.members) > before + 20);
    stage.members.set_link_blocked(0, 2, (false, false));
    assert!(next_keeper(&stage.members, 0).1 >= epoch);
    clean(&stage.members);
}

#[test]
fn a_cut_that_opens_and_closes_costs_no_promise_and_work_is_done() {
    let stage = started(3, 0);
    let (holder, _) = next_keeper(&stage.members, 0);
    let acts = |members: &TestFleet| {
        members
            .histories()
            .values()
            .flatten()
            .filter(|line| matches!(line, LogLine::DutyAction { .. }))
            .count()
    };
    let before = acts(&stage.members);
    for _ in 0..10 {
        for cut in [true, false] {
            stage.members.partition(holder, (cut, cut));
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    let changes =
        |i: usize| stage.members.dispatchers[i].log().iter().filter(|line| line.ends_with(" leads")).count();
    println!("{} acts in 6 s, {} changes of the leader seen", acts(&stage.members) - before, changes(holder));
    eventually("that work is done", || acts(&stage.members) > before + 40);
    clean(&stage.members);
}

#[test]
fn an_ordinary_stop_hands_on_by_word() {
    let mut stage = started(3, 0);
    let (holder, epoch) = next_keeper(&stage.members, 0);
    let began = Instant::now();
    stage.members.dispatchers[holder].signal("TERM");
    let mut acted = None;
    eventually("another holder's act", || {
        acted = stage.members.first_action_after("keeper", epoch);
        acted.is_some()
    });
    // By time it would be a second and more; the margin is for a machine that is busy.
    let took = began.elapsed();
    assert!(stage.members.dispatchers[holder].wait());
    let lapse = stage.members.histories().values().flatten().any(|line| {
        // Given up by its word, the duty was nobody's in between.
        matches!(line, LogLine::DutyGranted { duty, epoch: under, holder, .. } if duty == "keeper" && *under == epoch + 1 && holder == "nobody")
    });
    assert!(lapse, "it went on by time, after {took:?}");
    clean(&stage.members);
}

#[test]
fn without_a_majority_nobody_holds_anything_and_all_is_delivered() {
    let mut stage = started(3, 1);
    let (_, epoch) = next_keeper(&stage.members, 0);
    stage.members.dispatchers[1].kill();
    stage.members.dispatchers[2].kill();
    eventually("that nobody holds it", || stage.members.duty_holder("keeper").is_none());
    for i in [0, 3] {
        for number in 0..5 {
            assert_eq!(stage.members.dispatchers[i].submit("keyed", &format!("m{i}-{number}"), 7), 202);
        }
    }
    eventually("all calls", || stage.endpoint.requests().len() == 10);
    assert!(stage.members.duty_holder("keeper").is_none());
    stage.members.dispatchers[2].start();
    stage.members.dispatchers[1].start();
    // It may be the same one: nobody could give it to another.
    next_keeper(&stage.members, epoch - 1);
    clean(&stage.members);
}

#[test]
fn all_stopped_at_once_and_started_in_another_order_go_on() {
    let mut stage = started(3, 1);
    let (_, epoch) = next_keeper(&stage.members, 0);
    (0..4).for_each(|i| stage.members.dispatchers[i].kill());
    [3, 1, 0, 2].into_iter().for_each(|i| stage.members.dispatchers[i].start());
    next_keeper(&stage.members, epoch - 1);
    eventually("all four", || {
        (0..4).all(|i| {
            stage.members.status(i).is_some_and(|f| f["members"].as_array().map_or(0, Vec::len) == 4)
        })
    });
    clean(&stage.members);
}

#[test]
fn an_upgrade_is_one_member() {
    let mut stage = started(3, 0);
    for _ in 0..2 {
        for i in 0..3 {
            let mut old = stage.members.dispatchers[i].upgrade();
            stage.members.dispatchers[i].submit_once_listed("keyed", &format!("u{i}-{}", old.id()), 7);
            eventually("that it speaks again", || {
                stage
                    .members
                    .status(i)
                    .is_some_and(|fleet| fleet["member"] == true && fleet["leader"].is_string())
            });
            let _ = old.kill();
            old.wait().expect("its end");
        }
    }
    let members = stage.members.status(0).expect("a fleet")["members"].as_array().map_or(0, Vec::len);
    assert_eq!(members, 3, "no new birth came of it");
    next_keeper(&stage.members, 0);
    eventually("all calls", || stage.endpoint.requests().len() == 6);
    clean(&stage.members);
}

#[test]
fn links_that_break_in_the_middle_of_frames_and_come_late_cost_time_alone() {
    let stage = started(3, 1);
    for round in 0..20 {
        stage
            .members
            .update_relays(|way| (way.resets, way.delay_s) = (way.resets + 1, f64::from(round % 4) * 0.03));
        std::thread::sleep(Duration::from_millis(100));
    }
    stage.members.update_relays(|way| way.delay_s = 0.0);
    next_keeper(&stage.members, 0);
    clean(&stage.members);
}
