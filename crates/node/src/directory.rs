//! The endpoints as listed now: who they are, where, and what may go there.

use crate::config::Config;
use crate::log;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use waydoor::{DestinationId, EndpointEntry, EndpointId, EndpointState, Event};

/// Where an endpoint is and what may go there.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Place {
    pub dial: SocketAddr,
    pub dest: u32,
    /// Its destination's kind, an index of the settings' kinds.
    pub kind: usize,
    pub zone: u16,
    pub ready: bool,
    /// What the list says of it, orders of operators and bounds aside.
    up: bool,
    /// Out by hand.
    held: bool,
    rate: f64,
}

/// Names of endpoints that lists have told; beyond this many the oldest is forgotten.
const NAMES_MOST: usize = 1024;

/// Who was ever listed, as far as that is remembered.
#[derive(Default, Deserialize, Serialize)]
struct Names {
    known: HashSet<String>,
    order: VecDeque<String>,
}

impl Names {
    fn add(&mut self, name: &str) {
        if self.known.contains(name) {
            return;
        }
        self.known.insert(name.to_string());
        self.order.push_back(name.to_string());
        if self.order.len() > NAMES_MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

/// The endpoints that are listed and not gone. Names come ever new: nothing is kept of one that has left but its name.
#[derive(Default, Deserialize, Serialize)]
pub struct Directory {
    hosts: HashMap<String, EndpointId>,
    places: BTreeMap<EndpointId, Place>,
    names: Names,
    seq: u64,
    named: u64,
    /// Destinations held back by a bound, which no other process of this dispatcher knows.
    #[serde(skip)]
    back: HashSet<u32>,
}

/// A list in discovery's form.
#[derive(Deserialize)]
pub struct List {
    seq: u64,
    whole: bool,
    hosts: Vec<Value>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    site: String,
    class: String,
    block: u32,
    health: Health,
    share: f64,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Health {
    Up,
    Draining,
    Removed,
}

impl Place {
    /// Whether anything may go there; whether that has changed.
    fn judge(&mut self, back: &HashSet<u32>) -> bool {
        let ready = self.up && !self.held && !back.contains(&self.dest);
        std::mem::replace(&mut self.ready, ready) != ready
    }

    /// The entry that tells the decisions.
    fn entry(&self, endpoint: EndpointId) -> EndpointEntry {
        let listed = if self.ready { EndpointState::Ready } else { EndpointState::Draining };
        entry(endpoint, *self, self.rate, listed)
    }
}

impl Directory {
    pub fn place(&self, endpoint: EndpointId) -> Option<Place> {
        self.places.get(&endpoint).copied()
    }

    /// Whether a message for `dest` may go to the endpoint at this address as listed now.
    pub fn open(&self, endpoint: EndpointId, at: SocketAddr, dest: u32) -> bool {
        self.ready_at(endpoint) == Some(at) && self.places.get(&endpoint).is_some_and(|p| p.dest == dest)
    }

    /// Where the endpoint is, if it may get anything.
    pub fn ready_at(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.places.get(&endpoint).filter(|place| place.ready).map(|place| place.dial)
    }

    /// Whether a list has named this endpoint, now or earlier.
    pub fn ever_listed(&self, host: &str) -> bool {
        self.hosts.contains_key(host) || self.names.known.contains(host)
    }

    /// The endpoint of this name, where it may get something.
    pub fn serving(&self, host: &str) -> Option<EndpointId> {
        let endpoint = self.hosts.get(host)?;
        self.ready_at(*endpoint).map(|_| *endpoint)
    }

    /// The endpoints in the list, and whether each may get anything as far as list and orders go.
    pub fn listed(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.places.iter().map(|(id, place)| (*id, place.ready))
    }

    /// An endpoint is out by hand from now on, or no more. The entry tells the decisions, where that changes what
    /// may go there.
    pub fn hold(&mut self, host: &str, held: bool) -> Option<EndpointEntry> {
        let endpoint = *self.hosts.get(host)?;
        let place = self.places.get_mut(&endpoint)?;
        place.held = held;
        place.judge(&self.back).then(|| place.entry(endpoint))
    }

    /// Nothing goes to a destination from now on, or that is no more so. The entries tell the decisions.
    pub fn hold_back(&mut self, destination: u32, back: bool) -> Vec<EndpointEntry> {
        if back {
            self.back.insert(destination);
        } else {
            self.back.remove(&destination);
        }
        let there = self.places.iter_mut().filter(|(_, place)| place.dest == destination);
        let changed = there.filter_map(|(id, place)| place.judge(&self.back).then(|| place.entry(*id)));
        changed.collect()
    }

    /// One endpoint of a destination.
    pub fn endpoint_of(&self, destination: u32) -> Option<EndpointId> {
        self.places.iter().find(|(_, place)| place.dest == destination).map(|(id, _)| *id)
    }

    /// Whether the endpoints of a destination are routes of their own, each with its own outages.
    pub fn routes_apart(&self, config: &Config, destination: u32) -> bool {
        let place = self.places.values().find(|place| place.dest == destination);
        let kind = place.and_then(|place| config.settings.kinds.get(place.kind));
        kind.is_some_and(|kind| kind.independent_endpoints)
    }

    /// The version of the list.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Takes one list; an entry that cannot be read is left out. An endpoint that is `held` by hand is draining,
    /// whatever the list says. Returns the event for the decisions, and the endpoints to which connections are of
    /// no more use.
    pub fn enrol(
        &mut self, list: List, kinds: &[String], zones: &[String], held: &dyn Fn(&str) -> bool,
    ) -> (Event, Vec<EndpointId>) {
        let mut entries = Vec::new();
        let mut named = Vec::new();
        let before = self.places.clone();
        for value in list.hosts {
            let host = match Host::deserialize(&value) {
                Ok(host) => host,
                Err(error) => {
                    log::info_limited(format_args!("discovery: entry left out: {error}"));
                    continue;
                }
            };
            let Some(kind) = kinds.iter().position(|kind| *kind == host.class) else {
                log::info_limited(format_args!(
                    "discovery: entry left out: {} is of no known class",
                    host.host
                ));
                continue;
            };
            let zone = zones.iter().position(|zone| *zone == host.site).unwrap_or(zones.len()) as u16;
            let (up, rate) = (host.health == Health::Up, host.share);
            let held = held(&host.host);
            let mut place =
                Place { dial: host.dial, dest: host.block, kind, zone, ready: false, up, held, rate };
            place.judge(&self.back);
            let ready = place.ready;
            self.names.add(&host.host);
            // One that serves another destination now is another endpoint.
            let old = self.hosts.get(&host.host).copied();
            let moved = old.filter(|old| self.places.get(old).is_some_and(|place| place.dest != host.block));
            entries.extend(moved.and_then(|old| self.leave(old)));
            // Of two at one address the one that is up holds it: the other has made place, though no list
            // has said so yet. What was sent there for it would come to the wrong one.
            let there = self.places.iter().find(|(id, p)| p.dial == place.dial && old != Some(**id));
            let there = there.map(|(id, place)| (*id, place.up));
            let gone = host.health == Health::Removed || (!up && there.is_some_and(|(_, up)| up));
            if let Some((other, _)) = there.filter(|_| !gone) {
                entries.extend(self.leave(other));
            }
            let endpoint = *self.hosts.entry(host.host).or_insert_with(|| {
                self.named += 1;
                EndpointId(self.named)
            });
            self.places.insert(endpoint, place);
            named.push(endpoint);
            if gone {
                entries.extend(self.leave(endpoint));
            } else {
                let listed = if ready { EndpointState::Ready } else { EndpointState::Draining };
                entries.push(entry(endpoint, place, rate, listed));
            }
        }
        if list.whole {
            // What it does not name is gone.
            let unnamed: Vec<_> = self.places.keys().filter(|id| !named.contains(id)).copied().collect();
            for endpoint in unnamed {
                self.leave(endpoint);
            }
        }
        self.seq = list.seq;
        let left = before.iter().filter(|(id, place)| self.ready_at(**id) != Some(place.dial));
        let left = left.map(|(id, _)| *id).collect();
        let event = if list.whole { Event::ListSnapshot(entries) } else { Event::ListUpdate(entries) };
        (event, left)
    }

    /// Forgets an endpoint; the entry tells the decisions.
    fn leave(&mut self, endpoint: EndpointId) -> Option<EndpointEntry> {
        self.hosts.retain(|_, id| *id != endpoint);
        let place = self.places.remove(&endpoint)?;
        Some(entry(endpoint, place, f64::NAN, EndpointState::Removed))
    }
}

fn entry(endpoint: EndpointId, place: Place, rate: f64, listed: EndpointState) -> EndpointEntry {
    let Place { dest, kind, zone, .. } = place;
    EndpointEntry { endpoint, destination: DestinationId(dest), kind, zone, rate, state: listed }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Name, port, block and health.
    type Line<'a> = (&'a str, u16, u32, &'a str);

    fn directory(lists: &[(bool, &[Line])]) -> (Directory, Vec<Event>) {
        let mut directory = Directory::default();
        let events = lists.iter().enumerate().map(|(i, (whole, hosts))| {
            let hosts = hosts.iter().map(|(host, port, block, health)| {
                serde_json::json!({"host": host, "dial": format!("127.0.0.1:{port}"), "site": "a",
                    "class": "k", "block": block, "health": health, "share": 1.0})
            });
            let list = List { seq: i as u64, whole: *whole, hosts: hosts.collect() };
            directory.enrol(list, &["k".into()], &["a".into()], &|_| false).0
        });
        let events = events.collect();
        (directory, events)
    }

    fn ready(directory: &Directory) -> Vec<(u16, u32)> {
        directory.places.values().filter(|p| p.ready).map(|p| (p.dial.port(), p.dest)).collect()
    }

    #[test]
    fn a_newcomer_takes_the_address_over() {
        let one = ("one", 1, 7, "up");
        for later in [
            &[("two", 1, 8, "up")][..],
            &[("two", 1, 8, "up"), ("one", 1, 7, "draining")],
            &[("one", 1, 7, "removed"), ("two", 1, 8, "up")],
            &[("two", 1, 8, "up"), ("one", 1, 7, "removed")],
        ] {
            for whole in [false, true] {
                let (directory, _) = directory(&[(true, &[one]), (whole, later)]);
                assert_eq!(ready(&directory), [(1, 8)], "{later:?}");
                assert_eq!(directory.hosts.len(), 1);
            }
        }
    }

    #[test]
    fn a_host_that_serves_another_destination_is_another_endpoint() {
        let (directory, events) =
            directory(&[(true, &[("one", 1, 7, "up")]), (false, &[("one", 1, 8, "up")])]);
        assert_eq!(ready(&directory), [(1, 8)]);
        let Event::ListUpdate(entries) = &events[1] else { panic!("{events:?}") };
        let told: Vec<_> = entries.iter().map(|e| (e.endpoint.0, e.destination.0, e.state)).collect();
        assert_eq!(told, [(1, 7, EndpointState::Removed), (2, 8, EndpointState::Ready)]);
    }

    #[test]
    fn names_that_are_ever_new_leave_nothing_behind() {
        let names: Vec<String> = (0..200).map(|i| format!("host-{i}")).collect();
        let hosts: Vec<[Line; 1]> =
            names.iter().enumerate().map(|(i, name)| [(&**name, i as u16 % 10, 7, "up")]).collect();
        let lists: Vec<(bool, &[_])> = hosts.iter().map(|host| (false, &host[..])).collect();
        let (mut directory, _) = directory(&lists);
        assert_eq!((directory.hosts.len(), directory.places.len()), (10, 10));
        let gone = serde_json::json!({"host": "host-199", "dial": "127.0.0.1:9", "site": "a", "class": "k",
            "block": 7, "health": "removed", "share": 1.0});
        let list = List { seq: 300, whole: false, hosts: vec![gone] };
        let (_, left) = directory.enrol(list, &["k".into()], &["a".into()], &|_| false);
        assert_eq!((directory.hosts.len(), directory.places.len(), left.len()), (9, 9, 1));
    }
}
