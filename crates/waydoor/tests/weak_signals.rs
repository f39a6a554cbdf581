//! Troubles that look alike are told apart as far as a sender can tell.

mod common;

use common::*;
use waydoor::*;

/// Takes a safe message and tells whether it is sent at once.
fn goes(stage: &mut Stage, id: u64) -> bool {
    stage.take(id, 0, 1);
    stage.round().iter().any(|sent| sent.id == id)
}

#[test]
fn failures_overtaken_by_a_served_call_do_not_shut() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    assert!(goes(&mut stage, 2) && goes(&mut stage, 3));
    stage.now += 0.3;
    assert!(goes(&mut stage, 4));
    stage.now += 0.2;
    stage.end(4, 1, 0, Outcome::Served, 0.2);
    stage.now += 1.5;
    for lost in [2, 3] {
        stage.end(lost, 1, 0, Outcome::TimedOut, 2.0);
        stage.event(Event::Withdrawn(MessageId(lost)));
    }
    assert!(goes(&mut stage, 5));
}

#[test]
fn quick_errors_shut() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    for id in [2, 3] {
        assert!(goes(&mut stage, id));
        stage.now += 0.05;
        stage.end(id, 1, 0, Outcome::Error, 0.05);
        stage.event(Event::Withdrawn(MessageId(id)));
    }
    assert!(!goes(&mut stage, 4), "only trials go there");
    assert_eq!(stage.until(1003.0).first().map(|(_, sent)| sent.id), Some(4), "a trial follows");
}

#[test]
fn silence_holds_back_before_any_time_out() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    stage.now += 0.5;
    assert!(goes(&mut stage, 2));
    stage.until(stage.now + 1.3);
    assert!(!goes(&mut stage, 3), "unanswered for too long");
    stage.end(2, 1, 0, Outcome::Served, 1.3);
    assert_eq!(stage.round().len(), 1, "it was only slow");
}

#[test]
fn a_destination_at_its_limit_is_paused_but_not_shut() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    assert!(goes(&mut stage, 2));
    stage.end(2, 1, 0, Outcome::Overloaded, 0.03);
    assert!(stage.round().is_empty(), "a pause");
    let later = stage.until(1003.0);
    assert_eq!(later.first().map(|(_, sent)| sent.id), Some(2));
    stage.end(2, 1, 1, Outcome::Served, 0.1);
    stage.now += 1.0;
    assert!(goes(&mut stage, 3), "no ramp after a mere limit");
}

#[test]
fn a_full_table_of_connections_is_no_outage() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    assert!(goes(&mut stage, 2));
    for id in [3, 4, 5] {
        assert!(goes(&mut stage, id));
        stage.end(id, 1, 0, Outcome::ConnectFailed, 0.02);
        stage.event(Event::Withdrawn(MessageId(id)));
        stage.now += 0.2;
    }
    assert!(goes(&mut stage, 6));
}

#[test]
fn a_slow_but_serving_destination_stays_open_and_gets_longer_time_outs() {
    let mut stage = Stage::new(settings());
    let mut timeouts = Vec::new();
    for id in 1..6 {
        stage.take(id, 0, 1);
        let sent = stage.round();
        assert_eq!(sent.len(), 1, "message {id}");
        timeouts.push(sent[0].timeout);
        stage.now += 1.1;
        stage.end(id, 1, 0, Outcome::Served, 1.1);
    }
    assert!(timeouts[4] > 1.5 * timeouts[0], "{timeouts:?}");
}

#[test]
fn a_recovered_destination_is_not_frozen_out() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    for id in [2, 3] {
        assert!(goes(&mut stage, id));
        stage.now += 0.2;
        stage.end(id, 1, 0, Outcome::ConnectionReset, 0.1);
        stage.event(Event::Withdrawn(MessageId(id)));
    }
    stage.now += 20.0;
    assert!(goes(&mut stage, 4), "a trial at once");
    stage.now += 0.2;
    stage.end(4, 1, 0, Outcome::Served, 0.2);
    stage.now += 10.5;
    for id in 5..10 {
        assert!(goes(&mut stage, id), "warm again");
    }
}

#[test]
fn no_unsafe_message_is_a_trial_unless_a_probe_vouched() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    for id in [2, 3] {
        assert!(goes(&mut stage, id));
        stage.now += 0.2;
        stage.end(id, 1, 0, Outcome::Error, 0.1);
        stage.event(Event::Withdrawn(MessageId(id)));
    }
    stage.take(4, 2, 1);
    let mut probed = None;
    while probed.is_none() && stage.now < 1010.0 {
        assert!(stage.round().is_empty());
        probed = stage.actions.contains(&Action::Probe(EndpointId(1))).then_some(stage.now);
        stage.now += 0.05;
    }
    assert!(probed.is_some());
    let endpoint = EndpointId(1);
    stage.event(Event::ProbeEnded {
        endpoint,
        outcome: Outcome::Served,
        latency: 0.1,
        rate_limit_report: None,
    });
    assert_eq!(stage.until(1010.0).first().map(|(_, sent)| sent.id), Some(4));
}

#[test]
fn trials_of_a_silent_destination_do_not_fill_the_slots() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    stage.now += 0.5;
    for id in 10..30 {
        stage.take(id, 0, 1);
    }
    // Nothing is ever answered; each attempt ends at its time-out.
    let mut out: Vec<(Sent, Seconds, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let mut most = 0;
    while stage.now < 1015.0 {
        for sent in stage.round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            out.push((sent, stage.now + sent.timeout, *attempt));
            *attempt += 1;
        }
        if stage.now > 1005.0 {
            most = most.max(out.len());
        }
        stage.now += 0.05;
        let (due, still) = out.into_iter().partition(|(_, at, _)| stage.now >= *at);
        out = still;
        for (sent, _, attempt) in due {
            stage.end(sent.id, sent.endpoint, attempt, Outcome::TimedOut, sent.timeout);
        }
    }
    assert!((1..=2).contains(&most), "{most} of 8 slots");
}
