//! What an earlier life left, and the end of this one.

mod common;

use common::*;
use waydoor::*;

fn resumed(stage: &mut Stage, id: u64, class: usize, attempts: u32, ran_ago: Option<f64>) {
    let (id, destination) = (MessageId(id), HOME);
    let message = Message { id, class, destination, deadline: stage.now + 9.0, key: None };
    let may_have_run = ran_ago.map(|ago| (stage.now - ago, 0));
    let taken = stage.now - 11.0;
    stage.event(Event::Resumed { message, taken, attempts, may_have_run });
}

#[test]
fn a_resumed_message_goes_on_with_its_next_attempt() {
    let mut stage = Stage::new(settings());
    resumed(&mut stage, 1, 1, 2, Some(5.0));
    let sent = stage.round();
    assert_eq!(sent.len(), 1, "the key is still remembered");
    stage.now += 0.2;
    stage.end(1, sent[0].endpoint, 2, Outcome::Served, 0.2);
    assert!(stage.round().is_empty());
    assert!(!stage.refused(1) && !stage.failed(1));
}

#[test]
fn what_may_have_run_is_ended_by_its_class() {
    let mut stage = Stage::new(settings());
    resumed(&mut stage, 1, 2, 1, Some(1.0));
    resumed(&mut stage, 2, 2, 1, None);
    resumed(&mut stage, 3, 1, 1, Some(11.9));
    resumed(&mut stage, 4, 99, 1, Some(1.0));
    resumed(&mut stage, 5, 99, 0, None);
    let sent: Vec<u64> = stage.round().iter().map(|sent| sent.id).collect();
    assert_eq!(sent, [2], "one unsafe message surely never ran");
    assert!(stage.failed(1), "the other may have");
    assert!(stage.refused(3), "its key may be forgotten before it arrives");
    assert!(stage.failed(4), "nobody knows what its repeat would do");
    assert!(stage.refused(5));
}

#[test]
fn used_attempts_stay_used() {
    let mut stage = Stage::new(settings());
    resumed(&mut stage, 1, 0, 6, None);
    assert!(stage.round().is_empty());
    assert!(stage.refused(1));
}

#[test]
fn no_call_outlives_the_dispatcher() {
    let mut stage = Stage::new(settings());
    stage.event(Event::Closing(stage.now + 3.0));
    stage.take(1, 0, 1);
    let sent = stage.round();
    assert!(sent.len() == 1 && sent[0].timeout <= 3.0);
    stage.now += 2.5;
    stage.end(1, sent[0].endpoint, 0, Outcome::Served, 0.2);
    stage.take(2, 0, 1);
    assert!(stage.round().is_empty(), "held for the next life");
    assert!(!stage.refused(2) && !stage.failed(2));
}

#[test]
fn who_is_told_to_come_again_waits_for_those_before() {
    let mut stage = Stage::new(settings());
    let alone = stage.dispatcher.come_back(stage.now, HOME);
    for id in 1..=40 {
        stage.take(id, 0, 1);
    }
    stage.round();
    let behind = stage.dispatcher.come_back(stage.now, HOME);
    assert!(alone > 0.0 && behind > alone, "{alone} {behind}");
}
