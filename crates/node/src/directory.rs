//! The listed endpoints: their names and addresses, and whether messages may be sent to them.

use crate::config::Config;
use crate::log;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use waydoor::{DestinationId, EndpointEntry, EndpointId, EndpointState, Event};

/// A listed endpoint: its address, and whether it may receive messages.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    #[serde(rename = "dest")]
    pub destination: u32,
    /// Its destination's kind, an index of the settings' kinds.
    pub kind: usize,
    pub zone: u16,
    /// Whether messages may be sent to it now.
    pub ready: bool,
    /// Whether the list has it in service, apart from operators' suspensions and the fleet's
    /// restrictions.
    up: bool,
    /// Whether an operator has suspended it.
    #[serde(rename = "held")]
    suspended: bool,
    rate: f64,
}

/// Maximum number of endpoint names that are remembered; beyond it the oldest is dropped.
const MAX_KNOWN_NAMES: usize = 1024;

/// The names of endpoints that were ever listed, as far as they are remembered.
#[derive(Default, Deserialize, Serialize)]
struct KnownNames {
    known: HashSet<String>,
    /// The same names, the oldest first.
    order: VecDeque<String>,
}

impl KnownNames {
    fn add(&mut self, name: &str) {
        if self.known.contains(name) {
            return;
        }
        self.known.insert(name.to_string());
        self.order.push_back(name.to_string());
        if self.order.len() > MAX_KNOWN_NAMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

/// The endpoints that are listed. Of an endpoint that was removed from the list only the name is kept,
/// since new names keep appearing.
#[derive(Default, Deserialize, Serialize)]
pub struct Directory {
    #[serde(rename = "hosts")]
    ids_by_name: HashMap<String, EndpointId>,
    #[serde(rename = "places")]
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    names: KnownNames,
    seq: u64,
    #[serde(rename = "named")]
    last_id: u64,
    /// Destinations that the fleet restricts. This is not handed over to another process.
    #[serde(skip)]
    restricted: HashSet<u32>,
}

/// A list in discovery's format.
#[derive(Deserialize)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// Whether endpoints that are not in `hosts` are gone.
    whole: bool,
    #[serde(deserialize_with = "parse_hosts")]
    hosts: Vec<Host>,
}

/// An entry of the list.
#[derive(Deserialize)]
struct Host {
    host: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(rename = "site")]
    zone: String,
    #[serde(rename = "class")]
    kind: String,
    #[serde(rename = "block")]
    destination: u32,
    health: Health,
    #[serde(rename = "share")]
    rate: f64,
}

/// Reads the entries of a list one by one, and skips those that are invalid: of an entry that is not one only the text is
/// kept in memory.
fn parse_hosts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Host>, D::Error> {
    struct Hosts;

    impl<'de> Visitor<'de> for Hosts {
        type Value = Vec<Host>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("an array of entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<Host>, A::Error> {
            let mut hosts = Vec::new();
            while let Some(entry) = entries.next_element::<&RawValue>()? {
                match serde_json::from_str(entry.get()) {
                    Ok(host) => hosts.push(host),
                    Err(error) => log::info_limited(format_args!("discovery: entry skipped: {error}")),
                }
            }
            Ok(hosts)
        }
    }

    deserializer.deserialize_seq(Hosts)
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Health {
    Up,
    Draining,
    Removed,
}

impl ListedEndpoint {
    /// Updates whether messages may be sent there; returns whether that has changed.
    fn update_ready(&mut self, restricted: &HashSet<u32>) -> bool {
        let ready = self.up && !self.suspended && !restricted.contains(&self.destination);
        std::mem::replace(&mut self.ready, ready) != ready
    }

    /// The entry for the decision core.
    fn entry(&self, endpoint: EndpointId) -> EndpointEntry {
        let state = if self.ready { EndpointState::Ready } else { EndpointState::Draining };
        entry(endpoint, *self, self.rate, state)
    }
}

impl Directory {
    /// The endpoint, if it is listed.
    pub fn get(&self, endpoint: EndpointId) -> Option<ListedEndpoint> {
        self.endpoints.get(&endpoint).copied()
    }

    /// Whether a message for `destination` may be sent to this endpoint at this address, as listed now.
    pub fn may_receive(&self, endpoint: EndpointId, at: SocketAddr, destination: u32) -> bool {
        self.ready_address(endpoint) == Some(at)
            && self.endpoints.get(&endpoint).is_some_and(|p| p.destination == destination)
    }

    /// The endpoint's address, if it may receive messages.
    pub fn ready_address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints
            .get(&endpoint)
            .filter(|endpoint_info| endpoint_info.ready)
            .map(|endpoint_info| endpoint_info.address)
    }

    /// Whether a list has named this endpoint, now or earlier.
    pub fn ever_listed(&self, host: &str) -> bool {
        self.ids_by_name.contains_key(host) || self.names.known.contains(host)
    }

    /// The endpoint of this name, if it may receive messages.
    pub fn ready_endpoint(&self, host: &str) -> Option<EndpointId> {
        let endpoint = self.ids_by_name.get(host)?;
        self.ready_address(*endpoint).map(|_| *endpoint)
    }

    /// The listed endpoints, and whether each may receive messages according to the list, operators and
    /// the fleet.
    pub fn listed(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.endpoints.iter().map(|(id, endpoint_info)| (*id, endpoint_info.ready))
    }

    /// Suspends an endpoint, or ends its suspension. Returns the entry for the decision core if that
    /// changes whether messages may be sent there.
    pub fn set_suspended(&mut self, host: &str, suspended: bool) -> Option<EndpointEntry> {
        let endpoint = *self.ids_by_name.get(host)?;
        let endpoint_info = self.endpoints.get_mut(&endpoint)?;
        endpoint_info.suspended = suspended;
        endpoint_info.update_ready(&self.restricted).then(|| endpoint_info.entry(endpoint))
    }

    /// Stops sending to a destination, or resumes. Returns the changed entries for the decision core.
    pub fn set_restricted(&mut self, destination: u32, restricted: bool) -> Vec<EndpointEntry> {
        if restricted {
            self.restricted.insert(destination);
        } else {
            self.restricted.remove(&destination);
        }
        let endpoints =
            self.endpoints.iter_mut().filter(|(_, endpoint_info)| endpoint_info.destination == destination);
        let changed = endpoints.filter_map(|(id, endpoint_info)| {
            endpoint_info.update_ready(&self.restricted).then(|| endpoint_info.entry(*id))
        });
        changed.collect()
    }

    /// Any endpoint of a destination.
    pub fn any_endpoint_of(&self, destination: u32) -> Option<EndpointId> {
        self.endpoints
            .iter()
            .find(|(_, endpoint_info)| endpoint_info.destination == destination)
            .map(|(id, _)| *id)
    }

    /// Whether the endpoints of a destination are independent, each with its own outages.
    pub fn has_independent_endpoints(&self, config: &Config, destination: u32) -> bool {
        let endpoint_info =
            self.endpoints.values().find(|endpoint_info| endpoint_info.destination == destination);
        let kind = endpoint_info.and_then(|endpoint_info| config.settings.kinds.get(endpoint_info.kind));
        kind.is_some_and(|kind| kind.independent_endpoints)
    }

    /// The sequence number of the list.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Applies a list; an entry that cannot be parsed is skipped. An endpoint that is `suspended` by an
    /// operator is draining, whatever the list says. Returns the event for the decision core, and the
    /// endpoints whose connections can no longer be used.
    pub fn apply(
        &mut self, list: List, kinds: &[String], zones: &[String], is_suspended: &dyn Fn(&str) -> bool,
    ) -> (Event, Vec<EndpointId>) {
        let mut entries = Vec::new();
        let mut listed_ids = Vec::new();
        let previous = self.endpoints.clone();
        for host in list.hosts {
            let Some(kind) = kinds.iter().position(|kind| *kind == host.kind) else {
                log::info_limited(format_args!(
                    "discovery: entry skipped: {} has an unknown class",
                    host.host
                ));
                continue;
            };
            let zone = zones.iter().position(|zone| *zone == host.zone).unwrap_or(zones.len()) as u16;
            let (up, rate) = (host.health == Health::Up, host.rate);
            let suspended = is_suspended(&host.host);
            let mut endpoint_info = ListedEndpoint {
                address: host.address,
                destination: host.destination,
                kind,
                zone,
                ready: false,
                up,
                suspended,
                rate,
            };
            endpoint_info.update_ready(&self.restricted);
            let ready = endpoint_info.ready;
            self.names.add(&host.host);
            // A host that serves another destination now is another endpoint.
            let previous_id = self.ids_by_name.get(&host.host).copied();
            let reassigned = previous_id.filter(|old| {
                self.endpoints
                    .get(old)
                    .is_some_and(|endpoint_info| endpoint_info.destination != host.destination)
            });
            entries.extend(reassigned.and_then(|old| self.remove(old)));
            // Of two endpoints at one address, the one that is up owns it: the other has left, though
            // no list has said so yet. Messages that are sent there for it would reach the wrong endpoint.
            let same_address = self
                .endpoints
                .iter()
                .find(|(id, p)| p.address == endpoint_info.address && previous_id != Some(**id));
            let same_address = same_address.map(|(id, endpoint_info)| (*id, endpoint_info.up));
            let gone = host.health == Health::Removed || (!up && same_address.is_some_and(|(_, up)| up));
            if let Some((other, _)) = same_address.filter(|_| !gone) {
                entries.extend(self.remove(other));
            }
            let endpoint = *self.ids_by_name.entry(host.host).or_insert_with(|| {
                self.last_id += 1;
                EndpointId(self.last_id)
            });
            self.endpoints.insert(endpoint, endpoint_info);
            listed_ids.push(endpoint);
            if gone {
                entries.extend(self.remove(endpoint));
            } else {
                let state = if ready { EndpointState::Ready } else { EndpointState::Draining };
                entries.push(entry(endpoint, endpoint_info, rate, state));
            }
        }
        if list.whole {
            // An endpoint that a full list does not name is gone.
            let unlisted: Vec<_> =
                self.endpoints.keys().filter(|id| !listed_ids.contains(id)).copied().collect();
            for endpoint in unlisted {
                self.remove(endpoint);
            }
        }
        self.seq = list.seq;
        let unusable = previous
            .iter()
            .filter(|(id, endpoint_info)| self.ready_address(**id) != Some(endpoint_info.address));
        let unusable = unusable.map(|(id, _)| *id).collect();
        let event = if list.whole { Event::ListSnapshot(entries) } else { Event::ListUpdate(entries) };
        (event, unusable)
    }

    /// Removes an endpoint; returns the entry for the decision core.
    fn remove(&mut self, endpoint: EndpointId) -> Option<EndpointEntry> {
        self.ids_by_name.retain(|_, id| *id != endpoint);
        let endpoint_info = self.endpoints.remove(&endpoint)?;
        Some(entry(endpoint, endpoint_info, f64::NAN, EndpointState::Removed))
    }
}

fn entry(
    endpoint: EndpointId, endpoint_info: ListedEndpoint, rate: f64, state: EndpointState,
) -> EndpointEntry {
    let ListedEndpoint { destination, kind, zone, .. } = endpoint_info;
    EndpointEntry { endpoint, destination: DestinationId(destination), kind, zone, rate, state }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn parse(list: &Value) -> List {
        serde_json::from_str(&list.to_string()).unwrap()
    }

    /// Name, port, destination and health.
    type HostFixture<'a> = (&'a str, u16, u32, &'a str);

    fn directory(lists: &[(bool, &[HostFixture])]) -> (Directory, Vec<Event>) {
        let mut directory = Directory::default();
        let events = lists.iter().enumerate().map(|(i, (whole, hosts))| {
            let hosts = hosts.iter().map(|(host, port, block, health)| {
                serde_json::json!({"host": host, "dial": format!("127.0.0.1:{port}"), "site": "a",
                    "class": "k", "block": block, "health": health, "share": 1.0})
            });
            let list = json!({"seq": i, "whole": whole, "hosts": hosts.collect::<Vec<_>>()});
            directory.apply(parse(&list), &["k".into()], &["a".into()], &|_| false).0
        });
        let events = events.collect();
        (directory, events)
    }

    fn ready(directory: &Directory) -> Vec<(u16, u32)> {
        directory.endpoints.values().filter(|p| p.ready).map(|p| (p.address.port(), p.destination)).collect()
    }

    #[test]
    fn a_new_endpoint_takes_over_an_address() {
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
                assert_eq!(directory.ids_by_name.len(), 1);
            }
        }
    }

    #[test]
    fn an_invalid_entry_is_skipped() {
        let valid = json!({"host": "one", "dial": "127.0.0.1:1", "site": "a", "class": "k", "block": 7,
            "health": "up", "share": 1.0});
        let list = json!({"seq": 1, "whole": true, "hosts": [[], {}, valid, 5, {"host": "two"}]});
        assert_eq!(parse(&list).hosts.len(), 1);
        assert!(serde_json::from_str::<List>("{\"seq\":1,\"whole\":true,\"hosts\":{}}").is_err());
    }

    #[test]
    fn a_host_with_a_new_destination_is_a_new_endpoint() {
        let (directory, events) =
            directory(&[(true, &[("one", 1, 7, "up")]), (false, &[("one", 1, 8, "up")])]);
        assert_eq!(ready(&directory), [(1, 8)]);
        let Event::ListUpdate(entries) = &events[1] else { panic!("{events:?}") };
        let reported: Vec<_> = entries.iter().map(|e| (e.endpoint.0, e.destination.0, e.state)).collect();
        assert_eq!(reported, [(1, 7, EndpointState::Removed), (2, 8, EndpointState::Ready)]);
    }

    #[test]
    fn endpoints_that_have_left_are_not_retained() {
        let names: Vec<String> = (0..200).map(|i| format!("host-{i}")).collect();
        let hosts: Vec<[HostFixture; 1]> =
            names.iter().enumerate().map(|(i, name)| [(&**name, i as u16 % 10, 7, "up")]).collect();
        let lists: Vec<(bool, &[_])> = hosts.iter().map(|host| (false, &host[..])).collect();
        let (mut directory, _) = directory(&lists);
        assert_eq!((directory.ids_by_name.len(), directory.endpoints.len()), (10, 10));
        let gone = serde_json::json!({"host": "host-199", "dial": "127.0.0.1:9", "site": "a", "class": "k",
            "block": 7, "health": "removed", "share": 1.0});
        let list = json!({"seq": 300, "whole": false, "hosts": [gone]});
        let (_, unusable) = directory.apply(parse(&list), &["k".into()], &["a".into()], &|_| false);
        assert_eq!((directory.ids_by_name.len(), directory.endpoints.len(), unusable.len()), (9, 9, 1));
    }
}
