//! The decisions of a delivery service that sends messages to systems of other organisations.
//!
//! The crate does no I/O. Pass events to a [`Dispatcher`] with [`Dispatcher::handle`], and call
//! [`Dispatcher::decide`] once after them for the actions to take. All decisions are made in the module
//! `policy`.
//!
//! ```
//! use waydoor::*;
//!
//! let settings = Settings {
//!     dispatcher_count: 1,
//!     max_concurrent_calls: 4,
//!     max_messages: 100,
//!     max_attempts: 3,
//!     keepalive: None,
//!     probes: false,
//!     cancel: false,
//!     zone: 0,
//!     classes: vec![Class {
//!         target_latency: 2.0,
//!         deadline: 20.0,
//!         value: 1.0,
//!         late_value_share: 0.0,
//!         effect: Effect::Safe,
//!         ordered: false,
//!     }],
//!     kinds: vec![DestinationKind { independent_endpoints: false, max_batch: 1 }],
//!     decay: ValueDecay::Exponential,
//!     discovery_mode: DiscoveryMode::Pushed,
//!     use_listed_rates: false,
//!     slow_start: SlowStart {
//!         cold_capacity_share: 0.2,
//!         warm_up_time: 10.0,
//!         overload_multiple: 2.0,
//!         overload_window: 3.0,
//!     },
//!     order_key_cooldown: 0.0,
//!     tenants: Vec::new(),
//!     over_quota_value: 1.0,
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7)?;
//! let endpoint = EndpointId(1);
//! let destination = DestinationId(1);
//! let state = EndpointState::Ready;
//! let mut actions = Vec::new();
//!
//! // A round: all events, then the decisions.
//! dispatcher.handle(
//!     0.0,
//!     Event::ListSnapshot(vec![EndpointEntry { endpoint, destination, kind: 0, zone: 0, rate: 5.0, state }]),
//! );
//! let message = Message { id: MessageId(1), class: 0, destination, deadline: 20.0, key: None,
//!     tenant: 0, over_quota: None };
//! dispatcher.handle(0.0, Event::Accepted(message));
//! dispatcher.decide(0.0, &mut actions);
//! let sent = actions.iter().any(|a| matches!(a, Action::Send { id: MessageId(1), .. }));
//! assert!(sent);
//!
//! // The next round, after the call has ended.
//! actions.clear();
//! dispatcher.handle(
//!     0.3,
//!     Event::AttemptEnded(AttemptEnd {
//!         id: MessageId(1),
//!         endpoint,
//!         attempt: 0,
//!         outcome: Outcome::Served,
//!         retry_after: None,
//!         settled: true,
//!         latency: 0.3,
//!         rate_limit_report: None,
//!         connection_reused: false,
//!         connection_kept: true,
//!     }),
//! );
//! dispatcher.decide(0.3, &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! # Ok::<(), SettingsError>(())
//! ```

mod interface;
mod policy;
mod state;

pub use interface::*;
pub use state::{Dispatcher, InFlightAttempt};
