//! Deployments drawn at random: how worth falls, what a repeat does, customers, limits, batches, lists, sizes. A
//! small model of the destinations plays each; the six rules hold on all of them, no configuration of the form is
//! refused, and nothing runs out that could have gone.
//!
//! `GENERATED_CASES=2000 cargo test --release -p waydoor --test generated -- --nocapture` plays more and counts them.

mod common;

use common::world::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::cell::RefCell;
use std::collections::BTreeMap;
use waydoor::*;

fn effect() -> impl Strategy<Value = Effect> {
    let keyed = (2.0..15.0, any::<bool>()).prop_map(|(window, by_zone)| Effect::Keyed { window, by_zone });
    prop_oneof![Just(Effect::Safe), keyed, Just(Effect::Unsafe)]
}

fn class() -> impl Strategy<Value = Class> {
    let figures = (0.5..4.0, 1.5..8.0, 0.1..5.0, 0.0..0.8);
    (figures, effect(), prop::bool::weighted(0.15)).prop_map(
        |((aim, times, worth, late_share), effect, ordered)| Class {
            target_latency: aim,
            deadline: aim * times,
            value: worth,
            late_value_share: late_share,
            effect,
            ordered,
        },
    )
}

fn limit() -> impl Strategy<Value = Limit> {
    prop_oneof![Just(Limit::None), Just(Limit::Rate), (1.0..2.0).prop_map(|span| Limit::Window { span }),]
}

fn kind() -> impl Strategy<Value = KindOf> {
    let batch = prop_oneof![3 => Just(1), 1 => 2..6usize];
    (limit(), any::<bool>(), 0.0..1.0, 0.05..0.4, prop::bool::weighted(0.25), batch).prop_map(
        |(limit, refused_count, tells_wait, latency, routes_apart, batch)| KindOf {
            limit,
            refused_count,
            tells_wait,
            latency,
            traits: DestinationKind { independent_endpoints: routes_apart, max_batch: batch },
        },
    )
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let how = prop_oneof![Just(How::Errors), Just(How::Silent), Just(How::Shut), Just(How::Gone)];
    (how, 0..60usize, 3.0..10.0, 2.0..9.0).prop_map(|(how, destination, from, length)| {
        // A place that refuses all for a moment is, from outside, one at its limit: spans are as long.
        let length = length + if how == How::Shut { 4.0 } else { 0.0 };
        Trouble { how, destination, from, until: from + length }
    })
}

fn deployment() -> impl Strategy<Value = Deployment> {
    let sizes = (
        prop_oneof![6 => 2..6u32, 2 => 6..13u32, 1 => 13..31u32],
        prop_oneof![4 => 2..12usize, 1 => 12..61usize],
        1.2..3.0,
        3.0..7.0,
        1..9u32,
    );
    let customers = (prop::collection::vec(0.1..1.0, 0..4), 0.0..1.0, 0.3..1.3);
    let list = (any::<bool>(), any::<bool>(), prop::bool::weighted(0.3), prop::bool::weighted(0.5));
    let parts = (
        prop::collection::vec(class(), 1..5),
        prop::collection::vec(kind(), 1..4),
        prop::collection::vec(trouble(), 0..4),
    );
    let load = prop_oneof![0.2..0.7, 0.7..1.3];
    let rest = (any::<bool>(), load, 1.0..8.0, any::<u64>());
    let cold = (0.15..0.6, 4.0..14.0, 1.5..3.0, 2.0..4.0);
    (sizes, customers, list, parts, rest, cold).prop_map(
        |(sizes, (customers, over_share_worth, quota), list, (classes, kinds, troubles), rest, cold)| {
            let (dispatchers, destinations, slots_room, hold, attempts) = sizes;
            let (pushed, rates_listed, probes, replaced) = list;
            let (even, load, rate, seed) = rest;
            let (cold_share, cold_time, multiple, window) = cold;
            Deployment {
                dispatchers,
                destinations,
                slots_room,
                hold,
                attempts,
                customers,
                over_share_worth,
                quota,
                pushed,
                rates_listed,
                probes,
                replaced,
                classes,
                kinds,
                troubles,
                decay: if even { ValueDecay::Linear } else { ValueDecay::Exponential },
                load,
                rate,
                seed,
                returning: SlowStart {
                    cold_capacity_share: cold_share,
                    warm_up_time: cold_time,
                    overload_multiple: multiple,
                    overload_window: window,
                },
            }
        },
    )
}

/// What sorts of deployment were played.
fn sorts(d: &Deployment) -> Vec<&'static str> {
    let all = [
        ("worth falls evenly", d.decay == ValueDecay::Linear),
        ("worth falls by half", d.decay == ValueDecay::Exponential),
        ("customers", !d.customers.is_empty()),
        ("unsafe class", d.classes.iter().any(|c| c.effect == Effect::Unsafe)),
        ("keyed class", d.classes.iter().any(|c| matches!(c.effect, Effect::Keyed { .. }))),
        ("ordered class", d.classes.iter().any(|c| c.ordered)),
        ("limit by window", d.kinds.iter().any(|k| matches!(k.limit, Limit::Window { .. }))),
        ("refused calls count", d.kinds.iter().any(|k| k.refused_count && k.limit != Limit::None)),
        ("batches", d.kinds.iter().any(|k| k.traits.max_batch > 1)),
        ("routes apart", d.kinds.iter().any(|k| k.traits.independent_endpoints)),
        ("list asked for", !d.pushed),
        ("more than 12 dispatchers", d.dispatchers > 12),
        ("overload", d.load > 1.0),
        ("outages", !d.troubles.is_empty()),
        ("endpoints replaced", d.replaced),
    ];
    all.iter().filter(|(_, is)| *is).map(|(name, _)| *name).collect()
}

#[test]
fn generated_deployments_keep_the_rules_and_leave_nothing_behind() {
    let cases = std::env::var("GENERATED_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let config =
        ProptestConfig { cases, failure_persistence: None, max_shrink_iters: 200, ..Default::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let (counts, sums) = (RefCell::new(BTreeMap::new()), RefCell::new(Sums::default()));
    let ran = TestRunner::new_with_rng(config, rng).run(&deployment(), |deployment| {
        for sort in sorts(&deployment) {
            *counts.borrow_mut().entry(sort).or_insert(0) += 1;
        }
        let played = World::play(&deployment);
        sums.borrow_mut().add(&played.sums);
        prop_assert!(played.broken.is_empty(), "{:#?}", played.broken);
        Ok(())
    });
    println!("{cases} deployments: {:?}\n{:?}", sums.borrow(), counts.borrow());
    if let Err(error) = ran {
        panic!("{error}");
    }
    let Sums { taken, served, .. } = *sums.borrow();
    assert!(served * 2 > taken, "most was delivered, or this shows nothing: {served} of {taken}");
}

/// Settings with one figure out of its range are refused by the name of that figure, and never by a panic.
#[test]
fn a_deployment_that_makes_no_sense_is_refused_by_its_key() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let bad = prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0)];
    let strategy = (deployment(), 0..9usize, bad);
    let ran = TestRunner::new_with_rng(config, rng).run(&strategy, |(deployment, which, bad)| {
        let mut settings = deployment.settings();
        prop_assert!(Dispatcher::new(settings.clone(), 1).is_ok());
        let expected = match which {
            0 => {
                settings.max_concurrent_calls = 0;
                "slots"
            }
            1 => {
                settings.classes[0].target_latency = bad;
                "classes[0].aim"
            }
            2 => {
                settings.classes[0].late_value_share = bad;
                "classes[0].late_share"
            }
            3 => {
                settings.slow_start.overload_window = bad;
                "returning.window"
            }
            4 => {
                settings.keepalive = Some(bad);
                "keepalive"
            }
            5 => {
                settings.tenants = vec![Tenant { quota: 1.0 }, Tenant { quota: bad }];
                "tenants[1].quota"
            }
            6 => {
                settings.over_quota_value = bad;
                "over_share_worth"
            }
            7 => {
                settings.discovery_mode = DiscoveryMode::Subscription { max_renewal_interval: bad };
                "listing.ask_within"
            }
            _ => {
                settings.order_key_cooldown = bad;
                "key_rest"
            }
        };
        let error = Dispatcher::new(settings, 1).err();
        prop_assert_eq!(error.map(|error| error.name), Some(expected.to_string()));
        Ok(())
    });
    ran.unwrap();
}
