//! waydoor makes the decisions of a delivery service for outbound messages to other firms' systems.
//!
//! It does no I/O: feed a [`Dispatcher`] what happened with [`Dispatcher::handle`], then ask once for
//! what to do with [`Dispatcher::decide`]. All decisions live in one module.
//!
//! ```
//! use waydoor::*;
//!
//! let settings = Settings {
//!     dispatchers: 1,
//!     slots: 4,
//!     room: 100,
//!     attempts: 3,
//!     keepalive: None,
//!     probes: false,
//!     cancel: false,
//!     zone: 0,
//!     classes: vec![Class {
//!         aim: 2.0,
//!         deadline: 20.0,
//!         worth: 1.0,
//!         late_share: 0.0,
//!         effect: Effect::Safe,
//!         ordered: false,
//!     }],
//!     kinds: vec![Kind { routes_apart: false, batch: 1 }],
//!     decay: Decay::ByHalf,
//!     listing: Listing::Pushed,
//!     rates_listed: false,
//!     returning: ReturnRule { cold_share: 0.2, cold_time: 10.0, multiple: 2.0, window: 3.0 },
//!     key_rest: 0.0,
//!     tenants: Vec::new(),
//!     over_share_worth: 1.0,
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7)?;
//! let endpoint = EndpointId(1);
//! let destination = DestinationId(1);
//! let listed = Listed::Ready;
//! let mut actions = Vec::new();
//!
//! // One round: all that happened, then one decision.
//! dispatcher.handle(
//!     0.0,
//!     Event::ListWhole(vec![Entry { endpoint, destination, kind: 0, zone: 0, rate: 5.0, listed }]),
//! );
//! let message = Message { id: MessageId(1), class: 0, destination, deadline: 20.0, key: None,
//!     tenant: 0, over_share: None };
//! dispatcher.handle(0.0, Event::Taken(message));
//! dispatcher.decide(0.0, &mut actions);
//! let sent = actions.iter().any(|a| matches!(a, Action::Send { id: MessageId(1), .. }));
//! assert!(sent);
//!
//! // The next round, when the call has ended.
//! actions.clear();
//! dispatcher.handle(
//!     0.3,
//!     Event::Ended(AttemptEnd {
//!         id: MessageId(1),
//!         endpoint,
//!         attempt: 0,
//!         outcome: Outcome::Served,
//!         wait: None,
//!         closed: true,
//!         latency: 0.3,
//!         allowance: None,
//!         reused: false,
//!         kept: true,
//!     }),
//! );
//! dispatcher.decide(0.3, &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! # Ok::<(), SettingsError>(())
//! ```

mod choice;
mod interface;
mod state;

pub use interface::*;
pub use state::{Dispatcher, Outstanding};
