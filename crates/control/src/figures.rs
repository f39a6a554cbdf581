//! What the door shows: counts since this process began, and gauges of now.
//!
//! One type owns every figure. The dispatcher's thread writes, the door's reads; nothing waits for the other.

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// How a message ended, as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Fulfilled,
    /// Refused at the door, or handed back.
    Throttled,
    /// Failed.
    Faulted,
}

/// The ends of one class.
#[derive(Debug, Default)]
struct Class {
    name: String,
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
}

/// The gauges: how things are now, not how often they happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages taken and not ended.
    pub open: u64,
    /// Endpoints in the list.
    pub listed: u64,
    /// Listed endpoints that get nothing now, by hand or by the dispatcher's own choice.
    pub avoided: u64,
}

/// All figures of one process.
#[derive(Debug, Default)]
pub struct Figures {
    classes: Vec<Class>,
    relayed: AtomicU64,
    open: AtomicU64,
    listed: AtomicU64,
    avoided: AtomicU64,
    ready: AtomicBool,
}

impl Figures {
    /// All at 0, for classes of these names.
    pub fn new(classes: &[String]) -> Figures {
        let class = |name: &String| Class { name: name.clone(), ..Class::default() };
        Figures { classes: classes.iter().map(class).collect(), ..Figures::default() }
    }

    /// A message of this class has ended. One of a class that is no longer configured is under no name.
    pub fn ended(&self, class: usize, end: End) {
        let Some(class) = self.classes.get(class) else { return };
        let count = match end {
            End::Fulfilled => &class.fulfilled,
            End::Throttled => &class.throttled,
            End::Faulted => &class.faulted,
        };
        count.fetch_add(1, Relaxed);
    }

    /// So many messages were written whole to an endpoint.
    pub fn relayed(&self, messages: u64) {
        self.relayed.fetch_add(messages, Relaxed);
    }

    /// How things are now.
    pub fn set(&self, gauges: Gauges) {
        self.open.store(gauges.open, Relaxed);
        self.listed.store(gauges.listed, Relaxed);
        self.avoided.store(gauges.avoided, Relaxed);
    }

    /// Whether this process serves.
    pub fn ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// This process serves from now on, or no more.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Relaxed);
    }

    /// The lines of all figures.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for class in &self.classes {
            for (what, count) in [
                ("fulfilled", &class.fulfilled),
                ("throttled", &class.throttled),
                ("faulted", &class.faulted),
            ] {
                let _ = writeln!(text, "app.{what}.{}:{}|c", class.name, count.load(Relaxed));
            }
        }
        let _ = writeln!(text, "app.relayed:{}|c", self.relayed.load(Relaxed));
        for (what, gauge) in [
            ("open_requests", &self.open),
            ("registry_entries", &self.listed),
            ("out_of_rotation", &self.avoided),
        ] {
            let _ = writeln!(text, "app.{what}:{}|g", gauge.load(Relaxed));
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_stands_under_its_class() {
        let figures = Figures::new(&["a".into(), "b".into()]);
        figures.ended(0, End::Fulfilled);
        figures.ended(1, End::Throttled);
        figures.ended(1, End::Throttled);
        figures.ended(1, End::Faulted);
        figures.ended(7, End::Faulted);
        figures.relayed(4);
        figures.set(Gauges { open: 5, listed: 6, avoided: 2 });
        assert_eq!(
            figures.lines(),
            "app.fulfilled.a:1|c\napp.throttled.a:0|c\napp.faulted.a:0|c\napp.fulfilled.b:0|c\n\
             app.throttled.b:2|c\napp.faulted.b:1|c\napp.relayed:4|c\napp.open_requests:5|g\n\
             app.registry_entries:6|g\napp.out_of_rotation:2|g\n"
        );
    }
}
