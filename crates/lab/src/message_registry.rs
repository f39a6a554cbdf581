//! What clients and partners both know of messages: which there are, where they go, and until when.

use crate::record::{Effect, Micros};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

struct Ticket {
    dest: u32,
    deadline: Micros,
    effect: Effect,
    window: Micros,
    tries: u32,
}

/// What stands against a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Fine,
    /// No client has handed it in for this destination.
    Unknown,
    /// Its time is up.
    Over,
    /// It has had all its attempts.
    Spent,
}

/// The messages of a run.
#[derive(Default)]
pub struct Ledger(Mutex<HashMap<String, Ticket>>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Ticket>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A message is about to be handed in.
    pub fn enter(&self, id: &str, dest: u32, deadline: Micros, effect: Effect, window: Micros) {
        let ticket = Ticket { dest, deadline, effect, window, tries: 0 };
        self.lock().insert(id.into(), ticket);
    }

    /// One try at a partner.
    pub fn try_once(&self, id: &str, dest: u32, now: Micros, most: u32) -> Verdict {
        let mut tickets = self.lock();
        let Some(ticket) = tickets.get_mut(id).filter(|ticket| ticket.dest == dest) else {
            return Verdict::Unknown;
        };
        if now > ticket.deadline {
            return Verdict::Over;
        }
        ticket.tries += 1;
        if ticket.tries > most { Verdict::Spent } else { Verdict::Fine }
    }

    /// What a repeat of a message does, and for how long its key is remembered.
    pub fn effect(&self, id: &str) -> Option<(Effect, Micros)> {
        self.lock().get(id).map(|ticket| (ticket.effect, ticket.window))
    }
}
