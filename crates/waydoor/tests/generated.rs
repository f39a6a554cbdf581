//! Randomly generated deployments: value decay, effects of a repeat, tenants, rate limits, batches, endpoint
//! lists, sizes. Each is simulated with a small model of the destinations. The delivery rules must hold in
//! all of them, no valid configuration may be rejected, and no message may expire that could have been sent.
//!
//! `GENERATED_CASES=2000 cargo test --release -p waydoor --test generated -- --nocapture` runs more cases and prints
//! how many had which features.

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
    let values = (0.5..4.0, 1.5..8.0, 0.1..5.0, 0.0..0.8);
    (values, effect(), prop::bool::weighted(0.15)).prop_map(
        |((target_latency, deadline_multiple, value, late_value_share), effect, ordered)| Class {
            target_latency,
            deadline: target_latency * deadline_multiple,
            value,
            late_value_share,
            effect,
            ordered,
        },
    )
}

fn limit() -> impl Strategy<Value = RateLimit> {
    prop_oneof![
        Just(RateLimit::Concurrency),
        Just(RateLimit::TokenBucket),
        (1.0..2.0).prop_map(|length| RateLimit::FixedWindow { length }),
    ]
}

fn kind() -> impl Strategy<Value = DestinationProfile> {
    let max_batch = prop_oneof![3 => Just(1), 1 => 2..6usize];
    (limit(), any::<bool>(), 0.0..1.0, 0.05..0.4, prop::bool::weighted(0.25), max_batch).prop_map(
        |(limit, rejected_calls_count, retry_after_share, mean_latency, independent_endpoints, max_batch)| {
            DestinationProfile {
                limit,
                rejected_calls_count,
                retry_after_share,
                mean_latency,
                settings: DestinationKind { independent_endpoints, max_batch },
            }
        },
    )
}

fn outage() -> impl Strategy<Value = Outage> {
    let kind = prop_oneof![
        Just(OutageKind::Errors),
        Just(OutageKind::Unresponsive),
        Just(OutageKind::Overloaded),
        Just(OutageKind::ConnectionRefused)
    ];
    (kind, 0..60usize, 3.0..10.0, 2.0..9.0).prop_map(|(kind, destination, start, length)| {
        // A short outage that rejects every call cannot be distinguished from a rate limit, whose windows are
        // as long.
        let length = length + if kind == OutageKind::Overloaded { 4.0 } else { 0.0 };
        Outage { kind, destination, start, end: start + length }
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
    let tenant_sizes = (prop::collection::vec(0.1..1.0, 0..4), 0.0..1.0, 0.3..1.3);
    let listing = (any::<bool>(), any::<bool>(), prop::bool::weighted(0.3), prop::bool::weighted(0.5));
    let parts = (
        prop::collection::vec(class(), 1..5),
        prop::collection::vec(kind(), 1..4),
        prop::collection::vec(outage(), 0..4),
    );
    let relative_load = prop_oneof![0.2..0.7, 0.7..1.3];
    let other = (any::<bool>(), relative_load, 1.0..8.0, any::<u64>());
    let slow_start = (0.15..0.6, 4.0..14.0, 1.5..3.0, 2.0..4.0);
    (sizes, tenant_sizes, listing, parts, other, slow_start).prop_map(
        |(
            sizes,
            (tenant_sizes, over_quota_value, quota_over_load),
            listing,
            (classes, kinds, outages),
            other,
            slow_start,
        )| {
            let (dispatchers, destinations, slot_headroom, queue_seconds, attempts) = sizes;
            let (list_pushed, use_listed_rates, probes, endpoints_replaced) = listing;
            let (linear_decay, relative_load, average_rate, seed) = other;
            let (cold_capacity_share, warm_up_time, overload_multiple, overload_window) = slow_start;
            Deployment {
                dispatchers,
                destinations,
                slot_headroom,
                queue_seconds,
                attempts,
                tenant_sizes,
                over_quota_value,
                quota_over_load,
                list_pushed,
                use_listed_rates,
                probes,
                endpoints_replaced,
                classes,
                kinds,
                outages,
                decay: if linear_decay { ValueDecay::Linear } else { ValueDecay::Exponential },
                relative_load,
                average_rate,
                seed,
                slow_start: SlowStart {
                    cold_capacity_share,
                    warm_up_time,
                    overload_multiple,
                    overload_window,
                },
            }
        },
    )
}

/// Names of the features that a deployment has.
fn features(deployment: &Deployment) -> Vec<&'static str> {
    let all = [
        ("linear value decay", deployment.decay == ValueDecay::Linear),
        ("exponential value decay", deployment.decay == ValueDecay::Exponential),
        ("tenants", !deployment.tenant_sizes.is_empty()),
        ("unsafe class", deployment.classes.iter().any(|class| class.effect == Effect::Unsafe)),
        ("keyed class", deployment.classes.iter().any(|class| matches!(class.effect, Effect::Keyed { .. }))),
        ("ordered class", deployment.classes.iter().any(|class| class.ordered)),
        (
            "fixed-window limit",
            deployment.kinds.iter().any(|kind| matches!(kind.limit, RateLimit::FixedWindow { .. })),
        ),
        (
            "rejected calls count against the limit",
            deployment
                .kinds
                .iter()
                .any(|kind| kind.rejected_calls_count && kind.limit != RateLimit::Concurrency),
        ),
        ("batches", deployment.kinds.iter().any(|kind| kind.settings.max_batch > 1)),
        ("independent endpoints", deployment.kinds.iter().any(|kind| kind.settings.independent_endpoints)),
        ("list by subscription", !deployment.list_pushed),
        ("more than 12 dispatchers", deployment.dispatchers > 12),
        ("overload", deployment.relative_load > 1.0),
        ("outages", !deployment.outages.is_empty()),
        ("endpoints replaced", deployment.endpoints_replaced),
    ];
    all.iter().filter(|(_, present)| *present).map(|(name, _)| *name).collect()
}

#[test]
fn generated_deployments_keep_the_rules_and_no_sendable_message_expires() {
    let cases = std::env::var("GENERATED_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let config =
        ProptestConfig { cases, failure_persistence: None, max_shrink_iters: 200, ..Default::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let (counts, totals) = (RefCell::new(BTreeMap::new()), RefCell::new(Totals::default()));
    let outcome = TestRunner::new_with_rng(config, rng).run(&deployment(), |deployment| {
        for feature in features(&deployment) {
            *counts.borrow_mut().entry(feature).or_insert(0) += 1;
        }
        let result = Simulation::run(&deployment);
        totals.borrow_mut().add(&result.totals);
        prop_assert!(result.violations.is_empty(), "{:#?}", result.violations);
        Ok(())
    });
    println!("{cases} deployments: {:?}\n{:?}", totals.borrow(), counts.borrow());
    if let Err(error) = outcome {
        panic!("{error}");
    }
    let Totals { accepted, served, .. } = *totals.borrow();
    assert!(
        served * 2 > accepted,
        "less than half was delivered, so the check shows little: {served} of {accepted}"
    );
}

/// Settings with one value out of range are rejected with an error that names the setting, never with a
/// panic.
#[test]
fn an_invalid_deployment_is_rejected_with_the_name_of_the_setting() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let invalid_value = prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0)];
    let strategy = (deployment(), 0..9usize, invalid_value);
    let outcome =
        TestRunner::new_with_rng(config, rng).run(&strategy, |(deployment, setting_index, invalid_value)| {
            let mut settings = deployment.settings();
            prop_assert!(Dispatcher::new(settings.clone(), 1).is_ok());
            let expected = match setting_index {
                0 => {
                    settings.max_concurrent_calls = 0;
                    "slots"
                }
                1 => {
                    settings.classes[0].target_latency = invalid_value;
                    "classes[0].aim"
                }
                2 => {
                    settings.classes[0].late_value_share = invalid_value;
                    "classes[0].late_share"
                }
                3 => {
                    settings.slow_start.overload_window = invalid_value;
                    "returning.window"
                }
                4 => {
                    settings.keepalive = Some(invalid_value);
                    "keepalive"
                }
                5 => {
                    settings.tenants = vec![Tenant { quota: 1.0 }, Tenant { quota: invalid_value }];
                    "tenants[1].quota"
                }
                6 => {
                    settings.over_quota_value = invalid_value;
                    "over_share_worth"
                }
                7 => {
                    settings.discovery_mode =
                        DiscoveryMode::Subscription { max_renewal_interval: invalid_value };
                    "listing.ask_within"
                }
                _ => {
                    settings.order_key_cooldown = invalid_value;
                    "key_rest"
                }
            };
            let error = Dispatcher::new(settings, 1).err();
            prop_assert_eq!(error.map(|error| error.name), Some(expected.to_string()));
            Ok(())
        });
    outcome.unwrap();
}
