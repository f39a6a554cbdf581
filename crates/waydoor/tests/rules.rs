//! The six rules and the ordinary path, through the public interface.

mod common;

use common::*;
use waydoor::*;

#[test]
fn rule_1_a_message_without_an_endpoint_is_refused_in_time() {
    let mut stage = Stage::new(settings());
    stage.take(1, 0, 99);
    assert!(stage.round().is_empty());
    stage.now += 19.0;
    stage.round();
    assert!(!stage.refused(1), "there is still hope");
    stage.now = 1019.99;
    stage.round();
    assert!(stage.refused(1));
}

#[test]
fn rule_1_a_timer_is_set_for_the_answer() {
    let mut stage = Stage::new(settings());
    stage.take(1, 0, 99);
    stage.round();
    let timer = stage.actions.iter().find_map(|a| match a {
        Action::SetTimer { at, .. } => Some(*at),
        _ => None,
    });
    assert!(timer.is_some_and(|at| at < 1020.0), "{timer:?}");
}

#[test]
fn rule_1_no_attempt_outlives_the_message() {
    let mut stage = Stage::new(settings());
    for class in 0..3 {
        stage.take(class as u64, class, 1 + class as u32);
    }
    stage.now += 19.0;
    for sent in stage.round() {
        assert!(sent.timeout < 1.0, "{sent:?}");
    }
}

#[test]
fn rule_2_an_unsafe_message_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionReset, Outcome::Cancelled] {
        let mut stage = Stage::new(settings());
        stage.take(1, 2, 1);
        assert_eq!(stage.round().len(), 1);
        stage.end(1, 1, 0, outcome, 0.2);
        assert!(stage.round().is_empty());
        assert!(stage.failed(1), "{outcome:?}");
    }
}

#[test]
fn rule_2_an_unsafe_message_that_never_ran_goes_again() {
    let mut stage = Stage::new(settings());
    stage.take(1, 2, 1);
    assert_eq!(stage.round().len(), 1);
    stage.end(1, 1, 0, Outcome::Overloaded, 0.05);
    let later = stage.until(1005.0);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].1.id, 1);
}

#[test]
fn rule_2_a_keyed_message_goes_again_only_inside_its_window() {
    let mut stage = Stage::new(settings());
    stage.take(1, 1, 1);
    assert_eq!(stage.round().len(), 1);
    stage.now += 11.9;
    stage.end(1, 1, 0, Outcome::TimedOut, 11.9);
    assert!(stage.round().is_empty());
    assert!(stage.refused(1), "all endpoints share the memory, so a refusal is lawful");
}

#[test]
fn rule_2_a_keyed_message_stays_in_its_zone_and_fails_where_keys_are_kept_by_zone() {
    let mut own = settings();
    own.classes[1].effect = Effect::Keyed { window: 12.0, by_zone: true };
    let mut stage = Stage::new(own);
    let other = EndpointEntry { zone: 1, ..entry(11, 1) };
    stage.event(Event::ListUpdate(vec![other]));
    stage.take(1, 1, 1);
    let first = stage.round();
    stage.now += 0.2;
    stage.end(1, first[0].endpoint, 0, Outcome::Error, 0.2);
    let again = stage.until(1001.5);
    assert!(!again.is_empty());
    assert_eq!(again[0].1.endpoint, first[0].endpoint);
    stage.end(1, first[0].endpoint, 1, Outcome::TimedOut, 0.2);
    stage.now = 1012.0;
    stage.round();
    assert!(stage.failed(1));
}

#[test]
fn rule_3_nothing_goes_to_a_draining_or_gone_endpoint() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut stage = Stage::new(settings());
        stage.event(Event::ListUpdate(vec![EndpointEntry { state: listed, ..entry(1, 1) }]));
        stage.take(1, 0, 1);
        assert!(stage.until(1010.0).is_empty());
        stage.event(Event::ListUpdate(vec![entry(1, 1)]));
        assert_eq!(stage.round().len(), 1, "back on the list");
    }
}

#[test]
fn rule_3_a_whole_list_replaces_the_old_one() {
    let mut stage = Stage::new(settings());
    stage.event(Event::ListSnapshot(vec![entry(2, 2)]));
    stage.take(1, 0, 1);
    assert!(stage.until(1005.0).is_empty());
}

#[test]
fn rule_3_the_list_is_asked_for_again_after_each_failure() {
    let mut own = settings();
    own.discovery_mode = DiscoveryMode::Subscription { max_renewal_interval: 10.0 };
    let mut stage = Stage::new(own);
    stage.dispatcher = Dispatcher::new(
        Settings { discovery_mode: DiscoveryMode::Subscription { max_renewal_interval: 10.0 }, ..settings() },
        1,
    )
    .unwrap();
    let mut asked = 0;
    let end = stage.now + 10.0;
    while stage.now < end {
        stage.round();
        if stage.actions.contains(&Action::Subscribe) {
            asked += 1;
            stage.event(Event::ListFailed);
        }
        stage.now += 0.05;
    }
    assert!((4..30).contains(&asked), "{asked}");
}

/// Sends to a destination in the first seconds after an outage of the given kind, with much held for it.
fn sent_after_outage(outcome: Outcome) -> usize {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    for id in 100..140 {
        stage.take(id, 0, 1);
    }
    let mut attempts = std::collections::BTreeMap::new();
    let back = stage.now + 8.0;
    let mut after = 0;
    let mut first_served = None;
    while first_served.is_none_or(|at| stage.now < at + 3.0) && stage.now < 1018.0 {
        for sent in stage.round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            let outcome = if stage.now < back { outcome } else { Outcome::Served };
            after += usize::from(stage.now >= back);
            stage.end(sent.id, sent.endpoint, *attempt, outcome, 0.01);
            *attempt += 1;
            if outcome == Outcome::Served {
                first_served.get_or_insert(stage.now);
            }
        }
        for action in stage.actions.clone() {
            if let Action::Probe(endpoint) = action {
                after += usize::from(stage.now >= back);
                stage.event(Event::ProbeEnded { endpoint, outcome, latency: 0.01, rate_limit_report: None });
            }
        }
        stage.now += 0.05;
    }
    assert!(first_served.is_some(), "the return is seen after {outcome:?}");
    after
}

#[test]
fn rule_4_a_returning_destination_gets_its_budget_only() {
    for outcome in [
        Outcome::Error,
        Outcome::ConnectFailed,
        Outcome::ConnectionReset,
        Outcome::TimedOut,
        Outcome::Overloaded,
    ] {
        let sent = sent_after_outage(outcome);
        // multiple x mean share over the window x rate x window, all of it even for one of two dispatchers.
        let budget = 1.5 * (0.25 + 0.75 * 0.15) * 8.0 * 3.0;
        assert!((1..=budget as usize).contains(&sent), "{sent} sent after {outcome:?}, budget {budget}");
    }
}

/// A dispatcher with little for a place sees few calls fail in a short outage.
#[test]
fn rule_4_two_failures_and_a_gap_are_an_outage() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    for id in [2, 3] {
        stage.take(id, 1, 1);
    }
    let sent = stage.round();
    assert_eq!(sent.len(), 2);
    stage.now += 0.8;
    for sent in sent {
        stage.end(sent.id, sent.endpoint, 0, Outcome::TimedOut, 0.8);
        stage.event(Event::Withdrawn(MessageId(sent.id)));
    }
    stage.round();
    // Back 3 s after the last served call, with much to send.
    stage.now += 2.0;
    for id in 100..160 {
        stage.take(id, 0, 1);
    }
    let (end, mut all) = (stage.now + 3.0, 0);
    while stage.now < end {
        for sent in stage.round() {
            all += 1;
            stage.end(sent.id, sent.endpoint, 0, Outcome::Served, 0.01);
        }
        stage.now += 0.05;
    }
    let budget = 1.5 * (0.25 + 0.75 * 0.15) * 8.0 * 3.0;
    assert!((1..=budget as usize).contains(&all), "{all} sent, budget {budget}");
}

#[test]
fn rule_5_messages_of_a_key_go_one_at_a_time_in_order_with_rest() {
    let mut stage = Stage::new(settings());
    for id in 1..=3 {
        stage.take_keyed(id, 3, 1, Some(7));
    }
    stage.take_keyed(4, 3, 2, Some(8));
    let sent: Vec<_> = stage.round().iter().map(|s| s.id).collect();
    assert_eq!(sent.len(), 2);
    assert!(sent.contains(&1) && sent.contains(&4));
    stage.now += 0.2;
    stage.end(1, 1, 0, Outcome::Served, 0.2);
    let sent = stage.round();
    assert_eq!(sent.iter().map(|s| s.id).collect::<Vec<_>>(), [2]);
    // The second message ends while it may still run: the key rests for the third.
    stage.now += 0.2;
    let ended = stage.now;
    stage.event(Event::AttemptEnded(AttemptEnd {
        id: MessageId(2),
        endpoint: EndpointId(1),
        attempt: 0,
        outcome: Outcome::ConnectionReset,
        retry_after: None,
        settled: true,
        latency: 0.2,
        rate_limit_report: None,
        connection_reused: false,
        connection_kept: true,
    }));
    let later = stage.until(ended + 6.0);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].1.id, 3);
    assert!(later[0].0 >= ended + 2.0);
}

#[test]
fn rule_6_a_told_wait_binds_all_messages() {
    let mut stage = Stage::new(settings());
    stage.take(1, 0, 1);
    stage.round();
    stage.end_waiting(1, 1, 0, Outcome::Overloaded, 0.05, Some(3.0));
    stage.take(2, 2, 1);
    stage.take(3, 0, 2);
    assert_eq!(stage.round().iter().map(|s| s.id).collect::<Vec<_>>(), [3], "others are not bound");
    let later = stage.until(1006.0);
    assert!(!later.is_empty());
    assert!(later.iter().all(|(at, _)| *at >= 1003.0), "{later:?}");
    assert!(!stage.actions.iter().any(|a| matches!(a, Action::Probe(_))));
}

#[test]
fn rule_6_a_told_wait_binds_one_route_where_they_are_apart() {
    let mut stage = Stage::new(settings());
    let route = |id| EndpointEntry { kind: 1, ..entry(id, 5) };
    stage.event(Event::ListUpdate(vec![route(51), route(52)]));
    stage.take(1, 0, 5);
    let first = stage.round()[0].endpoint;
    stage.end_waiting(1, first, 0, Outcome::Overloaded, 0.05, Some(3.0));
    let later = stage.until(1002.0);
    assert!(!later.is_empty(), "the other route is free");
    assert!(later.iter().all(|(_, sent)| sent.endpoint != first));
}

#[test]
fn never_two_attempts_of_one_message_are_out() {
    let mut stage = Stage::new(settings());
    stage.take(1, 0, 1);
    assert_eq!(stage.round().len(), 1);
    assert!(stage.until(1015.0).is_empty());
}

#[test]
fn when_slots_are_full_the_highest_rank_leaves_first() {
    let mut own = settings();
    own.max_concurrent_calls = 1;
    own.classes[1].value = 5.0;
    let mut stage = Stage::new(own);
    stage.take(1, 0, 1);
    assert_eq!(stage.round().len(), 1);
    stage.take(2, 0, 2);
    stage.now += 1.0;
    stage.take(3, 0, 2);
    stage.take(4, 1, 2);
    assert!(stage.round().is_empty(), "all slots are full");
    let mut left = Vec::new();
    let mut out = (1, 1);
    for _ in 0..3 {
        stage.end(out.0, out.1, 0, Outcome::Served, 0.2);
        let sent = stage.round();
        out = (sent[0].id, sent[0].endpoint);
        left.push(out.0);
    }
    assert_eq!(left, [4, 3, 2], "worth first, then the newest");
}

/// The order in which three messages leave that were taken a second apart while their destination had told a wait.
fn order_after_a_wait(decay: ValueDecay, slots: usize) -> Vec<u64> {
    let mut stage = Stage::new(Settings { decay, max_concurrent_calls: slots, ..settings() });
    stage.take(1, 0, 1);
    assert_eq!(stage.round().len(), 1);
    stage.end_waiting(1, 1, 0, Outcome::Overloaded, 0.05, Some(4.0));
    stage.until(stage.now + 1.0);
    stage.take(2, 0, 1);
    stage.until(stage.now + 1.0);
    stage.take(3, 0, 1);
    let mut left = Vec::new();
    while left.len() < 3 && stage.now < 1015.0 {
        stage.now += 0.05;
        for sent in stage.round() {
            left.push(sent.id);
            stage.end(sent.id, sent.endpoint, u32::from(sent.id == 1), Outcome::Served, 0.05);
        }
    }
    left
}

#[test]
fn what_a_place_held_up_leaves_by_its_deadlines_where_worth_falls_evenly() {
    assert_eq!(order_after_a_wait(ValueDecay::Linear, 8), [1, 2, 3], "slots to spare: none may be lost");
    assert_eq!(order_after_a_wait(ValueDecay::Linear, 1), [3, 2, 1], "a single slot goes by the rank");
    assert_eq!(
        order_after_a_wait(ValueDecay::Exponential, 8),
        [3, 2, 1],
        "the fresh one loses more by waiting"
    );
}

/// A stage on which customer 0 may hand in a message a second here, and customer 1 as many as it likes.
fn shares(decay: ValueDecay, room: usize) -> Stage {
    let tenants = vec![Tenant { quota: 2.0 }, Tenant { quota: 1e6 }];
    Stage::new(Settings {
        tenants,
        over_quota_value: 0.05,
        decay,
        max_messages: room,
        max_concurrent_calls: 1,
        ..settings()
    })
}

fn hand_in(stage: &mut Stage, id: u64, tenant: usize) {
    let (id, destination) = (MessageId(id), HOME);
    let deadline = stage.now + 20.0;
    let (key, over_share) = (None, None);
    stage.event(Event::Accepted(Message {
        id,
        class: 0,
        destination,
        deadline,
        key,
        tenant,
        over_quota: over_share,
    }));
}

#[test]
fn what_is_beyond_its_customers_share_makes_place_first() {
    for decay in [ValueDecay::Linear, ValueDecay::Exponential] {
        let mut stage = shares(decay, 31);
        // Ten seconds of the share stand open, and one message is out.
        for id in 0..30 {
            hand_in(&mut stage, id, 0);
        }
        stage.round();
        for id in 30..45 {
            hand_in(&mut stage, id, 1);
        }
        stage.round();
        let gone: Vec<_> = (0..45).filter(|id| stage.refused(*id)).collect();
        assert_eq!(gone.len(), 15, "{gone:?}");
        assert!(gone.iter().all(|id| (10..30).contains(id)), "beyond the share and nothing else: {gone:?}");
    }
}

#[test]
fn a_share_comes_back_with_time_and_binds_nobody_unknown() {
    let mut stage = shares(ValueDecay::Linear, 40);
    for id in 0..10 {
        hand_in(&mut stage, id, 0);
    }
    stage.now += 5.0;
    for id in 10..20 {
        hand_in(&mut stage, id, 0);
    }
    for id in 20..45 {
        hand_in(&mut stage, id, 7);
    }
    stage.round();
    let gone: Vec<_> = (0..45).filter(|id| stage.refused(*id)).collect();
    assert_eq!(gone, [0, 15, 16, 17, 18, 19], "five more were inside the share; then the oldest of all");
}

#[test]
fn an_unsafe_call_is_waited_for_as_long_as_its_message_lives() {
    let mut stage = Stage::new(settings());
    stage.take(1, 2, 1);
    stage.take(2, 0, 2);
    let sent = stage.round();
    let timeout = |id: u64| sent.iter().find(|sent| sent.id == id).map_or(0.0, |sent| sent.timeout);
    assert!((19.5..20.0).contains(&timeout(1)), "its time-out would be its end: {sent:?}");
    assert!(timeout(2) < 5.0, "another call is harmless: {sent:?}");
}

#[test]
fn a_destination_holds_three_quarters_of_the_slots_at_most() {
    let mut stage = Stage::new(settings());
    for id in 0..20 {
        stage.take(id, 0, 1);
    }
    assert_eq!(stage.round().len(), 6);
    stage.take(30, 0, 2);
    assert_eq!(stage.round().len(), 1);
}

#[test]
fn what_cannot_be_delivered_any_more_is_refused_unsent() {
    let mut stage = Stage::new(settings());
    let (id, destination) = (MessageId(1), DestinationId(1));
    stage.event(Event::Accepted(Message {
        id,
        class: 0,
        destination,
        deadline: stage.now + 0.1,
        key: None,
        tenant: 0,
        over_quota: None,
    }));
    assert!(stage.round().is_empty());
    assert!(stage.refused(1));
}

#[test]
fn messages_for_a_kind_that_batches_share_a_call() {
    let mut own = settings();
    own.max_concurrent_calls = 2;
    own.kinds[0].max_batch = 3;
    let mut stage = Stage::new(own);
    for id in 0..3 {
        stage.take(id, 0, 1);
    }
    assert_eq!(stage.round().len(), 3);
    stage.take(9, 0, 2);
    assert_eq!(stage.round().len(), 1, "the three hold one slot");
    stage.take(10, 0, 3);
    assert!(stage.round().is_empty(), "two calls are out");
}

#[test]
fn rule_3_a_saved_list_is_no_subscription() {
    // Incident i01344f: the saved list of an earlier life was taken for the answer to a subscription.
    let own =
        Settings { discovery_mode: DiscoveryMode::Subscription { max_renewal_interval: 10.0 }, ..settings() };
    let mut stage = Stage::new(own);
    stage.round();
    assert!(stage.actions.contains(&Action::Subscribe));
    // Once answered it stands, and is asked for anew within the rule's time.
    stage.event(Event::ListUpdate(vec![]));
    let mut asked = Vec::new();
    while stage.now < 1030.0 {
        stage.now += 0.05;
        stage.round();
        if stage.actions.contains(&Action::Subscribe) {
            asked.push(stage.now);
            stage.event(Event::ListUpdate(vec![]));
        }
    }
    assert!(asked[0] < 1010.0 && asked[0] > 1003.0, "{asked:?}");
    assert!(asked.windows(2).all(|pair| pair[1] - pair[0] < 10.0), "{asked:?}");
}

#[test]
fn many_senders_leave_room_at_a_small_limit_whose_refusals_count() {
    // Incident i7b7f9f: twelve senders retried at a limit of four a second, and nobody was ever served.
    let own = Settings { dispatcher_count: 12, ..settings() };
    let mut stage = Stage::new(own);
    stage.event(Event::ListUpdate(vec![EndpointEntry { rate: 4.0, ..entry(1, 1) }]));
    let mut attempts = std::collections::BTreeMap::new();
    let mut late = 0;
    for step in 0..600 {
        if step % 20 == 0 {
            stage.take(step, 0, 1);
        }
        for sent in stage.round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            stage.end(sent.id, sent.endpoint, *attempt, Outcome::Overloaded, 0.03);
            *attempt += 1;
            late += usize::from(step >= 300);
        }
        stage.now += 0.05;
    }
    // Twelve such senders in 15 s must stay under the 60 calls that the limit lets through.
    assert!((1..=5).contains(&late), "{late} calls of one sender");
}

#[test]
fn lost_calls_do_not_shut_a_destination() {
    // Incident if48d6a: a quarter of the calls got no answer, the others were served at the usual pace.
    let mut stage = Stage::new(settings());
    let mut out: Vec<(u64, u64, f64, f64)> = Vec::new();
    let (mut served, mut taken) = (0, 0);
    for step in 0..800u64 {
        if step % 10 == 0 {
            taken += 1;
            stage.take(step, 0, 1);
        }
        for sent in stage.round() {
            out.push((sent.id, sent.endpoint, stage.now, sent.timeout));
        }
        stage.now += 0.05;
        let now = stage.now;
        let mut still = Vec::new();
        for (id, endpoint, at, timeout) in std::mem::take(&mut out) {
            let lost = (id / 10) % 4 == 3;
            if lost && now - at >= timeout {
                stage.end(id, endpoint, 0, Outcome::TimedOut, now - at);
                // Its next attempts stay lost; the client gives it up.
                stage.event(Event::Withdrawn(MessageId(id)));
            } else if !lost && now - at >= 0.2 {
                served += 1;
                stage.end(id, endpoint, 0, Outcome::Served, 0.2);
            } else {
                still.push((id, endpoint, at, timeout));
            }
        }
        out = still;
    }
    assert!(served as f64 > 0.7 * taken as f64, "{served} of {taken}");
}

#[test]
fn spoilt_answers_count_for_repeats_and_not_for_health() {
    let mut stage = Stage::new(settings());
    stage.take(1, 2, 1);
    assert_eq!(stage.round().len(), 1);
    stage.end(1, 1, 0, Outcome::MalformedResponse, 0.1);
    stage.round();
    assert!(stage.failed(1), "an unsafe message may have run");
    // As many failures would have shut the place long ago.
    for attempt in 0..5 {
        if attempt == 0 {
            stage.take(2, 0, 1);
        }
        assert_eq!(stage.round().len(), 1, "attempt {attempt} goes at once");
        stage.end(2, 1, attempt, Outcome::MalformedResponse, 0.1);
    }
}

#[test]
fn a_rejected_call_is_taken_apart() {
    let mut settings = settings();
    settings.kinds[0].max_batch = 5;
    let mut stage = Stage::new(settings);
    for id in 1..=3 {
        stage.take(id, 2, 1);
    }
    assert_eq!(stage.round().len(), 3);
    for id in 1..=3 {
        stage.end(id, 1, 0, Outcome::InvalidRequest, 0.01);
    }
    // None of them ran: each goes once more, in a call of its own.
    let again = stage.round();
    assert_eq!(again.len(), 3);
    assert!(stage.actions.iter().all(|a| !matches!(a, Action::Send { unbatched: false, .. })));
    stage.end(1, 1, 1, Outcome::Served, 0.1);
    stage.end(2, 1, 1, Outcome::InvalidRequest, 0.01);
    stage.end(3, 1, 1, Outcome::Served, 0.1);
    assert!(stage.round().is_empty());
    assert!(stage.failed(2), "it would fare no better another time");
}

#[test]
fn a_place_without_a_limit_gets_no_more_at_once_than_it_took() {
    let mut stage = Stage::new(Settings { max_concurrent_calls: 100, ..settings() });
    let uncounted = Some(RateLimitReport { rate: 0.0, remaining_share: None });
    let end = |stage: &mut Stage, sent: &Sent, attempt, outcome, latency| {
        stage.event(Event::AttemptEnded(AttemptEnd {
            id: MessageId(sent.id),
            endpoint: EndpointId(sent.endpoint),
            attempt,
            outcome,
            retry_after: None,
            settled: outcome == Outcome::Served,
            latency,
            rate_limit_report: uncounted,
            connection_reused: false,
            connection_kept: true,
        }));
    };
    stage.take(1, 0, 1);
    let first = stage.round();
    end(&mut stage, &first[0], 0, Outcome::Served, 0.1);
    for id in 2..42 {
        stage.take(id, 0, 1);
    }
    let burst = stage.round();
    assert_eq!(burst.len(), 40, "nothing is known of its room");
    // It takes five and refuses the others; all refusals come in one round.
    stage.now += 0.02;
    burst[5..].iter().for_each(|sent| end(&mut stage, sent, 0, Outcome::Overloaded, 0.02));
    stage.round();
    stage.now += 0.08;
    burst[..5].iter().for_each(|sent| end(&mut stage, sent, 0, Outcome::Served, 0.1));
    let again = stage.until(stage.now + 3.0);
    assert!((5..10).contains(&again.len()), "{} at once", again.len());
}

#[test]
fn closed_idle_connections_are_no_outage() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    stage.take(2, 0, 1);
    let reset = |stage: &mut Stage, attempt, reused| {
        stage.now += 0.1;
        assert_eq!(stage.round().len(), 1, "attempt {attempt} goes at once");
        stage.event(Event::AttemptEnded(AttemptEnd {
            id: MessageId(2),
            endpoint: EndpointId(1),
            attempt,
            outcome: Outcome::ConnectionReset,
            retry_after: None,
            settled: false,
            latency: 0.001,
            rate_limit_report: None,
            connection_reused: reused,
            connection_kept: false,
        }));
    };
    (0..3).for_each(|attempt| reset(&mut stage, attempt, true));
    // On new connections they tell of the place.
    (3..5).for_each(|attempt| reset(&mut stage, attempt, false));
    assert!(stage.round().is_empty());
}

#[test]
fn an_unsafe_message_shares_no_call_with_others() {
    let mut own = settings();
    (own.kinds[0].max_batch, own.max_concurrent_calls) = (5, 1);
    let mut stage = Stage::new(own);
    for (id, class) in [(1, 2), (2, 2), (3, 0), (4, 0)] {
        stage.take(id, class, 1);
    }
    let sent: Vec<_> = stage.round().into_iter().map(|sent| sent.id).collect();
    assert!(sent == [1, 2] || sent == [2, 1] || sent == [3, 4] || sent == [4, 3], "{sent:?}");
}

/// Destination 1 fails twice with unsafe messages, which shuts it; nothing may be probed.
fn shut_without_probes() -> Stage {
    let mut stage = Stage::new(Settings { probes: false, ..settings() });
    for id in 1..3 {
        stage.take(id, 2, 1);
        assert_eq!(stage.round().len(), 1);
        stage.now += 0.1;
        stage.end(id, 1, 0, Outcome::Error, 0.1);
    }
    stage.round();
    stage
}

#[test]
fn an_unsafe_message_is_the_trial_where_nothing_else_can_be() {
    let mut stage = shut_without_probes();
    stage.take(3, 2, 1);
    let taken = stage.now;
    let sent = stage.until(taken + 6.0);
    let (at, first) = sent[0];
    assert!(first.id == 3 && at >= taken + 2.0, "not before its aim has passed: {sent:?}");
    let mut stage = shut_without_probes();
    stage.take(3, 2, 1);
    stage.take(4, 0, 1);
    let sent = stage.until(stage.now + 1.9);
    assert!(sent.iter().all(|(_, sent)| sent.id == 4), "another one is the trial: {sent:?}");
    assert!(!sent.is_empty());
}

#[test]
fn unsafe_calls_that_got_no_answer_keep_no_place_shut() {
    let mut stage = Stage::new(Settings { probes: false, ..settings() });
    for id in 1..4 {
        stage.take(id, 2, 1);
    }
    assert_eq!(stage.round().len(), 3, "they are never answered");
    // By now the place is suspect, and they hold all the trials that it may have out.
    assert!(stage.until(stage.now + 1.5).is_empty());
    stage.take(4, 0, 1);
    let sent = stage.until(stage.now + 6.0);
    assert!(sent.iter().any(|(_, sent)| sent.id == 4), "the place is tried once they are overdue: {sent:?}");
}

#[test]
fn a_door_that_told_that_it_is_shut_comes_back_cold() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    for id in 2..40 {
        stage.take(id, 0, 1);
    }
    let out = stage.round();
    stage.now += 0.05;
    stage.end_waiting(out[0].id, 1, 0, Outcome::Overloaded, 0.05, Some(6.0));
    // One that had got in before is served; it tells nothing of the door.
    stage.end(out[1].id, 1, 0, Outcome::Served, 0.05);
    for sent in &out[2..] {
        stage.end(sent.id, 1, 0, Outcome::Overloaded, 0.05);
    }
    let opens = stage.now + 6.0;
    let mut sends = Vec::new();
    let mut attempts = std::collections::BTreeMap::from([(out[0].id, 1)]);
    out[2..].iter().for_each(|sent| _ = attempts.insert(sent.id, 1));
    while stage.now < opens + 3.0 {
        stage.now += 0.05;
        for sent in stage.round() {
            assert!(stage.now >= opens, "a told wait");
            sends.push(stage.now);
            let attempt = attempts.entry(sent.id).or_insert(0);
            let (number, _) = (*attempt, *attempt += 1);
            stage.end(sent.id, 1, number, Outcome::Served, 0.04);
        }
    }
    // The rule: 1.5 times a quarter of 8 a second, for 3 s.
    assert!((1..=9).contains(&sends.len()), "{} calls in 3 s: {sends:?}", sends.len());
}

#[test]
fn connections_that_break_now_and_then_are_no_outage() {
    let notes = |every: u64| {
        let mut stage = Stage::new(settings());
        let mut told = 0;
        for id in 0..400 {
            stage.take(id, 0, 1);
            while let Some(sent) = stage.round().first().copied() {
                stage.now += 0.05;
                // The place loses one call of so many, and every so often two in a row.
                let lost = id % every == 0 || (id % 40 == 1 && id > 100);
                let outcome = if lost { Outcome::ConnectionReset } else { Outcome::Served };
                stage.end(sent.id, 1, 0, outcome, 0.05);
                stage.dispatcher.handle(stage.now, Event::Withdrawn(MessageId(id)));
            }
            told +=
                stage.actions.iter().filter(|a| matches!(a, Action::Log(t) if t.contains("Shut"))).count();
            stage.now += 0.5;
        }
        told
    };
    assert_eq!(notes(10), 0, "two in a row are chance where one of ten is lost");
    assert!(notes(u64::MAX) == 0, "nor is one");
    let mut stage = Stage::new(settings());
    stage.serve(500, 1);
    for id in 1..3 {
        stage.take(id, 0, 1);
        let sent = stage.round();
        stage.now += 0.05;
        stage.end(id, sent[0].endpoint, 0, Outcome::ConnectionReset, 0.05);
    }
    stage.round();
    let shut = stage.actions.iter().any(|a| matches!(a, Action::Log(t) if t.contains("Shut")));
    assert!(shut, "at a place that loses none they are not");
}

#[test]
fn a_trial_of_a_message_that_is_over_is_no_trial() {
    let mut stage = Stage::new(Settings { probes: false, ..settings() });
    for id in 1..8 {
        stage.take(id, 0, 1);
    }
    let out = stage.round();
    stage.now += 0.05;
    out.iter().for_each(|sent| stage.end(sent.id, 1, 0, Outcome::Error, 0.05));
    let mut first = stage.until(stage.now + 0.3);
    while first.is_empty() {
        first = stage.until(stage.now + 0.05);
    }
    let (at, trial) = first[0];
    stage.event(Event::AttemptEnded(AttemptEnd {
        id: MessageId(trial.id),
        endpoint: EndpointId(1),
        attempt: 1,
        outcome: Outcome::NotSent,
        retry_after: None,
        settled: true,
        latency: 0.01,
        rate_limit_report: None,
        connection_reused: false,
        connection_kept: false,
    }));
    let next = stage.until(at + 0.2);
    assert!(!next.is_empty(), "the next one goes at once");
}

#[test]
fn a_time_out_that_the_messages_end_cut_short_shuts_no_place() {
    let mut stage = Stage::new(settings());
    stage.serve(100, 1);
    for id in 1..6 {
        let deadline = stage.now + 0.5;
        let (id, class, destination) = (MessageId(id), 0, HOME);
        let (key, tenant, over_share) = (None, 0, None);
        stage.event(Event::Accepted(Message {
            id,
            class,
            destination,
            deadline,
            key,
            tenant,
            over_quota: over_share,
        }));
        let sent = stage.round();
        assert!(sent.len() == 1 && sent[0].timeout < 0.5);
        stage.now += sent[0].timeout;
        stage.end(sent[0].id, 1, 0, Outcome::TimedOut, sent[0].timeout);
        stage.round();
        assert!(!stage.actions.iter().any(|a| matches!(a, Action::Log(_))), "{:?}", stage.actions);
    }
}

#[test]
fn a_wait_binds_from_the_first_message_of_a_call_that_tells_it() {
    let mut own = settings();
    own.kinds[0].max_batch = 5;
    let mut stage = Stage::new(own);
    (1..4).for_each(|id| stage.take(id, 0, 1));
    assert_eq!(stage.round().len(), 3, "one call");
    stage.now += 0.05;
    stage.end_waiting(1, 1, 0, Outcome::Overloaded, 0.05, Some(2.0));
    let told = stage.now;
    stage.now += 0.02;
    stage.end(2, 1, 0, Outcome::Served, 0.07);
    stage.take(9, 0, 1);
    assert!(stage.until(told + 1.95).is_empty());
    assert!(!stage.until(told + 4.0).is_empty());
}

#[test]
fn what_can_hardly_end_in_its_time_goes_after_the_others() {
    let mut stage = Stage::new(Settings { decay: ValueDecay::Linear, ..settings() });
    stage.take(100, 0, 1);
    assert_eq!(stage.round().len(), 1);
    stage.end_waiting(100, 1, 0, Outcome::Overloaded, 0.05, Some(1.0));
    stage.event(Event::Withdrawn(MessageId(100)));
    let opens = stage.now + 1.0;
    for (id, left) in [(1, 0.4), (2, 3.0), (3, 2.0)] {
        let (id, class, destination, deadline) = (MessageId(id), 0, HOME, opens + left);
        let (key, tenant, over_share) = (None, 0, None);
        stage.event(Event::Accepted(Message {
            id,
            class,
            destination,
            deadline,
            key,
            tenant,
            over_quota: over_share,
        }));
    }
    let sent: Vec<_> = stage.until(opens + 0.5).into_iter().map(|(_, sent)| sent.id).collect();
    assert_eq!(sent.first(), Some(&3), "the first of those that have the time: {sent:?}");
}

#[test]
fn unsafe_messages_are_not_held_back_for_long_once_a_place_is_back() {
    // Only unsafe ones go there: nothing else would lower its share of failures.
    let mut stage = Stage::new(Settings { probes: false, ..settings() });
    for id in 1..9 {
        stage.take(id, 2, 1);
    }
    let out = stage.round();
    stage.now += 0.1;
    out.iter().for_each(|sent| stage.end(sent.id, 1, 0, Outcome::Error, 0.1));
    stage.round();
    // The next one is the trial, and served: the place is back.
    stage.take(20, 2, 1);
    let (at, trial) = stage.until(stage.now + 6.0)[0];
    stage.now = at + 0.1;
    stage.end(trial.id, 1, 0, Outcome::Served, 0.1);
    stage.take(21, 2, 1);
    let taken = stage.now;
    let sent = stage.until(taken + 6.0);
    assert!(sent.first().is_some_and(|(at, _)| *at < taken + 3.0), "its aim is 2 s: {sent:?}");
}

#[test]
fn what_a_place_loses_for_long_is_not_usual_beyond_a_fifth() {
    let mut stage = Stage::new(settings());
    let mut id = 0;
    let mut visit = |stage: &mut Stage, outcome: Outcome| {
        id += 1;
        stage.take(id, 0, 1);
        let taken = stage.now;
        while stage.round().is_empty() {
            stage.now += 0.05;
            assert!(stage.now < taken + 6.0, "message {id}");
        }
        let waited = stage.now - taken;
        stage.now += 0.1;
        stage.end(id, 1, 0, outcome, 0.1);
        stage.event(Event::Withdrawn(MessageId(id)));
        stage.round();
        // A place that is out is tried after a while.
        waited > 0.2
    };
    // It loses more and more, so slowly that each share comes to look usual.
    for served in [9, 6, 4, 3, 2, 2, 1, 1] {
        for _ in 0..120 {
            for _ in 0..served {
                visit(&mut stage, Outcome::Served);
            }
            visit(&mut stage, Outcome::Error);
        }
    }
    visit(&mut stage, Outcome::Served);
    stage.now += 15.0;
    visit(&mut stage, Outcome::Served);
    visit(&mut stage, Outcome::Served);
    let row = (0..20).find(|_| visit(&mut stage, Outcome::Error));
    assert!(row.is_some_and(|row| row <= 4), "out after a row of four at the latest: {row:?}");
}

/// One call at destination 1 is never answered; `overtaken`: a later one there is. Then all slots are taken and one
/// message waits. Whether the first call is broken off.
fn broken_off(class: usize, overtaken: bool, cancel: bool) -> (bool, Stage) {
    let mut stage = Stage::new(Settings { max_concurrent_calls: 2, cancel, ..settings() });
    stage.take(1, class, 1);
    assert_eq!(stage.round().len(), 1);
    stage.now += 1.0;
    if overtaken {
        stage.take(2, 0, 1);
        assert_eq!(stage.round().len(), 1);
        stage.now += 0.1;
        stage.end(2, 1, 0, Outcome::Served, 0.1);
    }
    // Beyond seven means also where nothing was learned, and before the time-out.
    stage.now += 0.85;
    stage.take(3, 0, 2);
    assert_eq!(stage.round().len(), 1);
    stage.take(4, 0, 2);
    assert!(stage.round().is_empty(), "all slots are taken");
    let off = Action::CancelAttempt { id: MessageId(1), attempt: 0 };
    (stage.actions.contains(&off), stage)
}

#[test]
fn a_call_that_others_overtook_makes_place_and_goes_again() {
    let (off, mut stage) = broken_off(1, true, true);
    assert!(off);
    stage.round();
    assert!(!stage.actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })), "once");
    stage.end(1, 1, 0, Outcome::Cancelled, 1.8);
    let sent: Vec<u64> = stage.until(stage.now + 1.0).into_iter().map(|(_, sent)| sent.id).collect();
    assert!(sent.contains(&1) || sent.contains(&4), "the slot is used again: {sent:?}");
    // What may not run twice is waited for; without a sign of life the place may be slow; where it is not allowed.
    assert!(!broken_off(2, true, true).0);
    assert!(!broken_off(1, false, true).0);
    assert!(!broken_off(1, true, false).0);
}

#[test]
fn what_operators_had_out_is_tried_first_and_returns_cold() {
    let listed = |listed| Event::ListUpdate(vec![EndpointEntry { state: listed, ..entry(1, 1) }]);
    let back = |restarted: bool| {
        let mut stage = Stage::new(settings());
        stage.serve(1, 1);
        stage.event(listed(EndpointState::Draining));
        for id in 10..16 {
            stage.take(id, 0, 1);
        }
        assert!(stage.until(stage.now + 1.0).is_empty(), "nothing goes to what is out");
        stage.event(listed(EndpointState::Ready));
        if restarted {
            stage.event(Event::EndpointRestored(EndpointId(1)));
        }
        let first = stage.round().len();
        stage.now += 0.1;
        stage.end(if first == 1 { trial(&stage) } else { 10 }, 1, 0, Outcome::Served, 0.1);
        (first, stage.until(stage.now + 0.5).len())
    };
    let (first, then) = back(true);
    assert_eq!(first, 1, "one trial");
    assert!(then <= 2, "{then} calls in half a second to a place that is cold");
    let (first, then) = back(false);
    assert!(first > 1, "{first} at once, {then} in the next half second to one that only drained");
}

/// The message that went out last.
fn trial(stage: &Stage) -> u64 {
    let sent = stage.actions.iter().find_map(|action| match action {
        Action::Send { id, .. } => Some(id.0),
        _ => None,
    });
    sent.unwrap()
}
