//! The registry of a run's messages, shared by clients and partners: destination, deadline and effect of each.

use crate::record::{Effect, Micros};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

struct Registration {
    destination: u32,
    deadline: Micros,
    effect: Effect,
    key_window: Micros,
    attempts: u32,
}

/// Whether a partner may process an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCheck {
    /// It may.
    Allowed,
    /// No client has submitted the message for this destination.
    Unknown,
    /// The message's deadline has passed.
    Expired,
    /// The message has had all its attempts.
    AttemptsExhausted,
}

/// The messages of a run, by id.
#[derive(Default)]
pub struct MessageRegistry(Mutex<HashMap<String, Registration>>);

impl MessageRegistry {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Registration>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a message that is about to be submitted.
    pub fn register(&self, id: &str, destination: u32, deadline: Micros, effect: Effect, key_window: Micros) {
        let registration = Registration { destination, deadline, effect, key_window, attempts: 0 };
        self.lock().insert(id.into(), registration);
    }

    /// Checks an attempt at a partner, and counts it unless the message is unknown or expired.
    pub fn record_attempt(&self, id: &str, destination: u32, now: Micros, max_attempts: u32) -> AttemptCheck {
        let mut registrations = self.lock();
        let Some(registration) =
            registrations.get_mut(id).filter(|registration| registration.destination == destination)
        else {
            return AttemptCheck::Unknown;
        };
        if now > registration.deadline {
            return AttemptCheck::Expired;
        }
        registration.attempts += 1;
        if registration.attempts > max_attempts {
            AttemptCheck::AttemptsExhausted
        } else {
            AttemptCheck::Allowed
        }
    }

    /// What a repeat of a message does, and for how long its key is remembered.
    pub fn effect(&self, id: &str) -> Option<(Effect, Micros)> {
        self.lock().get(id).map(|registration| (registration.effect, registration.key_window))
    }
}
