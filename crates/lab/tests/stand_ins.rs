//! Tests of the stand-ins: their observable behaviour matches what they record.

use fawnspoke_lab::endpoint::{ConnectionLimits, Endpoint, EndpointResponse, Reply, SocketState};
use fawnspoke_lab::http::HttpConnection;
use fawnspoke_lab::message_registry::MessageRegistry;
use fawnspoke_lab::partner::{Partner, PartnerEndpoint, PartnerFault};
use fawnspoke_lab::platform::{EndpointEntry, Platform};
use fawnspoke_lab::record::*;
use fawnspoke_lab::scenario::{self, Recovery, Scenario};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of all waits, far above the time that any of them should take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn eventually(description: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out waiting for: {description}"));
}

async fn start(handler: impl fawnspoke_lab::endpoint::CallHandler) -> (Endpoint, Recorder) {
    let recorder = Recorder::new(10_000);
    let call_numbers = Arc::new(AtomicU64::new(0));
    let endpoint = Endpoint::start(
        "e",
        7,
        &[any_port()],
        ConnectionLimits::default(),
        handler,
        recorder.clone(),
        call_numbers,
    )
    .await
    .unwrap();
    (endpoint, recorder)
}

fn call_bytes(id: &str) -> Vec<u8> {
    format!("POST /receive HTTP/1.1\r\nRequest-Id: {id}\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi")
        .into()
}

async fn connect(address: SocketAddr) -> HttpConnection {
    HttpConnection::connect(address, WAIT_TIMEOUT).await.unwrap()
}

async fn send_call(connection: &mut HttpConnection, id: &str) -> io::Result<u16> {
    connection.write(&call_bytes(id)).await?;
    timeout(WAIT_TIMEOUT, connection.read_response()).await?.map(|response| response.status())
}

fn call_ends(recorder: &Recorder) -> Vec<CallEnd> {
    let end = |entry: &Entry| if let Event::CallEnded { end, .. } = entry.event { Some(end) } else { None };
    recorder.entries().iter().filter_map(end).collect()
}

fn partner(settings: &str, keyed_ids: &[&str]) -> (Arc<Partner>, Recorder) {
    partner_with_key_window(settings, keyed_ids, 3_600_000_000)
}

fn partner_with_key_window(
    settings: &str, keyed_ids: &[&str], key_window: Micros,
) -> (Arc<Partner>, Recorder) {
    let text = format!(
        "length_s = 1.0\n[dispatchers]\ncount = 1\n[clients]\nrate = 1.0\n[[class]]\nname = \"c\"\neffect = \"safe\"\n\
         share = 1.0\naim_s = 1.0\ndeadline_s = 1.0\n[[partner]]\nname = \"p\"\nshare = 1.0\nendpoints = 1\n{settings}"
    );
    let spec: scenario::Partner = Scenario::parse("p", &text).unwrap().partners.remove(0);
    let (registry, recorder) = (Arc::new(MessageRegistry::default()), Recorder::new(100_000));
    for id in keyed_ids {
        registry.register(id, 7, Micros::MAX, Effect::Keyed, key_window);
    }
    (Arc::new(Partner::new(spec, Recovery::default(), 7, 3, 1, registry, recorder.clone())), recorder)
}

async fn start_endpoint(partner: &Arc<Partner>, recorder: &Recorder) -> Endpoint {
    let handler = PartnerEndpoint(partner.clone(), 0);
    Endpoint::start(
        "e",
        7,
        &[any_port()],
        ConnectionLimits::default(),
        handler,
        recorder.clone(),
        Arc::default(),
    )
    .await
    .unwrap()
}

#[tokio::test]
async fn an_abandoned_call_still_runs_and_is_recorded() {
    struct SlowHandler;
    impl fawnspoke_lab::endpoint::CallHandler for SlowHandler {
        fn handle(&self, _: &fawnspoke_lab::endpoint::Call) -> Reply {
            Reply::status(200).delayed(Duration::from_millis(50))
        }
        fn processed(&self, call: &fawnspoke_lab::endpoint::Call, _: &Reply) {
            assert_eq!(call.items[0].id, "m");
            PROCESSED.store(1, std::sync::atomic::Ordering::SeqCst);
        }
    }
    static PROCESSED: AtomicU64 = AtomicU64::new(0);
    let (endpoint, recorder) = start(SlowHandler).await;
    let mut connection = connect(endpoint.address(0).unwrap()).await;
    connection.write(&call_bytes("m")).await.unwrap();
    eventually("the call is recorded", || recorder.with_entries(|entries| !entries.is_empty())).await;
    drop(connection);
    eventually("the end of the call is recorded", || call_ends(&recorder) == [CallEnd::Closed]).await;
    eventually("the call is processed", || PROCESSED.load(std::sync::atomic::Ordering::SeqCst) == 1).await;
}

#[tokio::test]
async fn a_truncated_response_is_recorded_with_its_status_line() {
    let (endpoint, recorder) = start(|call: &fawnspoke_lab::endpoint::Call| {
        Reply::immediate(EndpointResponse::Truncated(200, if call.items[0].id == "line" { 30 } else { 9 }))
    })
    .await;
    for (id, end) in [("line", CallEnd::Truncated(200)), ("half", CallEnd::Broken)] {
        let mut connection = connect(endpoint.address(0).unwrap()).await;
        send_call(&mut connection, id).await.unwrap_err();
        eventually("the end of the call is recorded", || call_ends(&recorder).last() == Some(&end)).await;
    }
}

#[tokio::test]
async fn an_unreachable_machine_is_silent_and_resets_connections_once_it_is_back() {
    let (endpoint, recorder) = start(|_: &fawnspoke_lab::endpoint::Call| Reply::status(200)).await;
    let address = endpoint.address(0).unwrap();
    let mut open = connect(address).await;
    assert_eq!(send_call(&mut open, "a").await.unwrap(), 200);
    endpoint.set_socket_state(SocketState::Silent).await.unwrap();
    let mut late = connect(address).await;
    late.write(&call_bytes("b")).await.unwrap();
    open.write(&call_bytes("c")).await.unwrap();
    assert!(timeout(Duration::from_millis(200), open.read_response()).await.is_err(), "silent");
    endpoint.set_socket_state(SocketState::Open).await.unwrap();
    assert!(timeout(WAIT_TIMEOUT, open.read_response()).await.unwrap().is_err());
    assert!(timeout(WAIT_TIMEOUT, late.read_response()).await.unwrap().is_err());
    let mut new = connect(address).await;
    assert_eq!(send_call(&mut new, "d").await.unwrap(), 200);
    let calls = recorder.entries().iter().filter(|entry| matches!(entry.event, Event::Call { .. })).count();
    assert_eq!(calls, 2, "calls sent while the machine was unreachable must not arrive");
}

#[tokio::test]
async fn a_stopped_process_refuses_connections_and_returns_at_its_address() {
    let (endpoint, _) = start(|_: &fawnspoke_lab::endpoint::Call| Reply::status(200)).await;
    let address = endpoint.address(0).unwrap();
    let mut open = connect(address).await;
    assert_eq!(send_call(&mut open, "a").await.unwrap(), 200);
    endpoint.set_socket_state(SocketState::Refusing).await.unwrap();
    assert!(timeout(WAIT_TIMEOUT, open.read_response()).await.unwrap().is_err());
    // The listener ends with its task, a moment later.
    let refused = async { while HttpConnection::connect(address, WAIT_TIMEOUT).await.is_ok() {} };
    timeout(WAIT_TIMEOUT, refused).await.unwrap();
    endpoint.set_socket_state(SocketState::Open).await.unwrap();
    assert_eq!(send_call(&mut connect(address).await, "b").await.unwrap(), 200);
}

#[tokio::test]
async fn calls_beyond_the_maximum_of_connections_are_rejected() {
    let limits = ConnectionLimits { max_connections: 1, idle_timeout: None };
    let handler = |_: &fawnspoke_lab::endpoint::Call| Reply::status(200);
    let recorder = Recorder::new(100);
    let endpoint =
        Endpoint::start("e", 7, &[any_port()], limits, handler, recorder, Arc::default()).await.unwrap();
    let address = endpoint.address(0).unwrap();
    let (mut first, mut second) = (connect(address).await, connect(address).await);
    assert_eq!(send_call(&mut first, "a").await.unwrap(), 200);
    eventually("both connections are accepted", || {
        endpoint.counters().accepted_connections.load(std::sync::atomic::Ordering::SeqCst) == 2
    })
    .await;
    assert_eq!(send_call(&mut second, "b").await.unwrap(), 503);
    drop(first);
    eventually("one connection is closed", || {
        endpoint.counters().closed_connections.load(std::sync::atomic::Ordering::SeqCst) == 1
    })
    .await;
    assert_eq!(send_call(&mut second, "c").await.unwrap(), 200);
}

#[tokio::test]
async fn a_partner_remembers_keys_and_rejects_unknown_messages() {
    let (partner, recorder) = partner("capacity = 1000.0\nservice_ms = [1.0, 1.0]\n", &["m"]);
    let endpoint = start_endpoint(&partner, &recorder).await;
    let mut connection = connect(endpoint.address(0).unwrap()).await;
    for status in [200, 200, 200, 504] {
        assert_eq!(send_call(&mut connection, "m").await.unwrap(), status);
    }
    assert_eq!(send_call(&mut connection, "nobody's").await.unwrap(), 400);
    let effect = |entry: &Entry| {
        if let Event::MessageProcessed { took_effect, .. } = entry.event { Some(took_effect) } else { None }
    };
    let effects: Vec<bool> = recorder.entries().iter().filter_map(effect).collect();
    assert_eq!(effects, [true, false, false], "a repeat is dropped");
}

/// A key is looked up at the arrival of its call, however late that call is processed.
#[tokio::test]
async fn a_slow_partner_checks_the_key_at_the_arrival_of_a_call() {
    let settings = "capacity = 1000.0\nservice_ms = [1500.0, 1500.0]\n";
    let (partner, recorder) = partner_with_key_window(settings, &["m"], 1_000_000);
    let endpoint = start_endpoint(&partner, &recorder).await;
    let mut connection = connect(endpoint.address(0).unwrap()).await;
    for _ in 0..2 {
        assert_eq!(send_call(&mut connection, "m").await.unwrap(), 200);
    }
    let effect = |entry: &Entry| {
        if let Event::MessageProcessed { took_effect, .. } = entry.event { Some(took_effect) } else { None }
    };
    let effects: Vec<bool> = recorder.entries().iter().filter_map(effect).collect();
    assert_eq!(effects, [true, false], "the repeat arrived 1 ms after the end of the first call");
}

#[tokio::test]
async fn a_partner_sends_retry_after_above_its_rate_limit() {
    let limit_settings = "limit = \"window\"\nlimit_per_s = 2.0\nwindow_s = 3600.0\ntells_wait = true\n";
    let (partner, recorder) =
        partner(&format!("capacity = 1e9\nservice_ms = [1.0, 1.0]\n{limit_settings}"), &[]);
    let endpoint = start_endpoint(&partner, &recorder).await;
    let mut connection = connect(endpoint.address(0).unwrap()).await;
    let mut retry_after_s = None;
    // Each call counts against the limit, including those with an unknown message.
    for _ in 0..7201 {
        connection.write(&call_bytes("x")).await.unwrap();
        let response = connection.read_response().await.unwrap();
        if response.status() == 429 {
            retry_after_s = response.header("retry-after").map(|seconds| seconds.parse::<f64>().unwrap());
            break;
        }
    }
    assert!(retry_after_s.is_some_and(|seconds| seconds > 0.0 && seconds <= 3600.0), "{retry_after_s:?}");
    let recorded = recorder.entries().iter().rev().find_map(|entry| match entry.event {
        Event::CallEnded { retry_after, .. } => retry_after,
        _ => None,
    });
    assert!(recorded.is_some_and(|micros| micros > 0));
}

#[tokio::test]
async fn responses_with_extra_data_count_and_reset_requests_never_run() {
    let (partner, recorder) = partner("capacity = 1e6\nservice_ms = [1.0, 1.0]\nextras = 1.0\n", &["m"]);
    let endpoint = start_endpoint(&partner, &recorder).await;
    // A message has three attempts; each response is one of four random variants.
    for _ in 0..3 {
        let mut connection = connect(endpoint.address(0).unwrap()).await;
        connection.write(&call_bytes("m")).await.unwrap();
        let bytes = timeout(WAIT_TIMEOUT, connection.read_available()).await.unwrap().unwrap();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let copies = text.matches("HTTP/1.1 200 OK\r\n").count();
        let has_extra = text.starts_with("HTTP/1.1 103") || text.ends_with("noise") || text.contains("{x1:");
        assert!(copies == 2 || (copies == 1 && has_extra), "{text}");
    }
    eventually("the ends of the calls are recorded", || call_ends(&recorder) == [CallEnd::Answered(200); 3])
        .await;

    let (partner, recorder) =
        self::partner("capacity = 1e6\nservice_ms = [1.0, 1.0]\nrequest_resets = 1.0\n", &["m"]);
    let endpoint = start_endpoint(&partner, &recorder).await;
    send_call(&mut connect(endpoint.address(0).unwrap()).await, "m").await.unwrap_err();
    assert!(recorder.entries().is_empty(), "a reset request must not run");
}

#[tokio::test]
async fn a_cold_partner_collapses_when_it_is_overloaded() {
    let settings = "capacity = 10.0\nservice_ms = [1.0, 1.0]\nqueue_ms = 0.0\n";
    for (call_count, collapses) in [(3, false), (200, true)] {
        let (partner, recorder) = partner(settings, &[]);
        let endpoint = start_endpoint(&partner, &recorder).await;
        let mut connection = connect(endpoint.address(0).unwrap()).await;
        partner.set_fault(PartnerFault::RejectAll);
        assert_eq!(send_call(&mut connection, "x").await.unwrap(), 503);
        partner.recover();
        // All calls are sent before the first response is read, so that the partner has no time to warm up.
        let requests: Vec<u8> = (0..call_count).flat_map(|_| call_bytes("x")).collect();
        connection.write(&requests).await.unwrap();
        eventually("all calls arrive or the partner collapses", || {
            let calls = recorder.with_entries(|entries| {
                entries.iter().filter(|entry| matches!(entry.event, Event::Call { .. })).count()
            });
            partner.has_collapsed() || calls > call_count
        })
        .await;
        assert_eq!(partner.has_collapsed(), collapses);
    }
}

fn entry(name: &str, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        addresses: vec!["127.0.0.1:9".parse().unwrap()],
        zone: "lab".into(),
        destination_kind: "k".into(),
        destination: 7,
        state,
        rate_limit_per_s: 1.0,
    }
}

/// A watch from a version of the list: its connection, and the bytes read so far.
struct Watch(HttpConnection, Vec<u8>);

impl Watch {
    async fn start(address: SocketAddr, index: u64) -> Watch {
        let mut connection = connect(address).await;
        let request = format!("GET /registry/instances?stream=1&index={index} HTTP/1.1\r\nHost: d\r\n\r\n");
        connection.write(request.as_bytes()).await.unwrap();
        Watch(connection, Vec::new())
    }

    /// Reads the next line that is not a heartbeat; `None` where the watch ends before.
    async fn next_update(&mut self) -> Option<serde_json::Value> {
        timeout(WAIT_TIMEOUT, async {
            loop {
                let text = String::from_utf8_lossy(&self.1).into_owned();
                let line =
                    text.split_inclusive('\n').find(|line| line.starts_with('{') && line.ends_with('\n'));
                if let Some(line) = line {
                    let value = serde_json::from_str(line).unwrap();
                    self.1.clear();
                    return Some(value);
                }
                let bytes = self.0.read_available().await.ok()?;
                if bytes.is_empty() {
                    return None;
                }
                self.1.extend(bytes);
            }
        })
        .await
        .expect("an update or the end of the watch")
    }
}

fn delivered_changes(recorder: &Recorder) -> Vec<(String, EndpointState)> {
    let delivered_change = |entry: &Entry| match &entry.event {
        Event::ChangeDelivered { endpoint, state, .. } => Some((endpoint.clone(), *state)),
        _ => None,
    };
    recorder.entries().iter().filter_map(delivered_change).collect()
}

#[tokio::test]
async fn the_platform_delivers_changes_late_truncated_or_not_at_all() {
    let recorder = Recorder::new(1000);
    let (platform, _notices) = Platform::new(vec![entry("a", EndpointState::Up)], recorder.clone());
    let address = platform.start_agent(0, any_port()).await.unwrap();
    assert_eq!(platform.known_list(0)["seq"], 1);
    let mut watch = Watch::start(address, 1).await;
    platform.update_entry(entry("b", EndpointState::Up));
    let update = watch.next_update().await.unwrap();
    assert_eq!(
        (&update["seq"], &update["whole"], &update["hosts"][0]["host"]),
        (&2.into(), &false.into(), &"b".into())
    );
    assert_eq!(delivered_changes(&recorder), [("b".to_string(), EndpointState::Up)]);
    // Truncated: half a line, and the watch ends; no change counts as delivered.
    platform.set_behavior(|behavior| behavior.truncate_updates = true);
    platform.update_entry(entry("a", EndpointState::Draining));
    assert_eq!(watch.next_update().await, None);
    assert_eq!(delivered_changes(&recorder).len(), 1);
    platform.set_behavior(|behavior| behavior.truncate_updates = false);
    // A new watch from the known version gets the change as its first line.
    let mut watch = Watch::start(address, 2).await;
    assert_eq!(watch.next_update().await.unwrap()["hosts"][0]["health"], "draining");
    // Silent: the change is delivered once the platform answers again.
    platform.set_behavior(|behavior| behavior.silent = true);
    platform.update_entry(entry("a", EndpointState::Removed));
    assert!(timeout(Duration::from_millis(200), watch.next_update()).await.is_err());
    assert_eq!(delivered_changes(&recorder).len(), 2);
    platform.set_behavior(|behavior| behavior.silent = false);
    assert_eq!(watch.next_update().await.unwrap()["hosts"][0]["health"], "removed");
    // The list as the dispatcher has it, for its next process.
    let known = platform.known_list(0);
    assert_eq!((&known["seq"], &known["hosts"][0]["host"]), (&4.into(), &"b".into()));
    assert_eq!(known["hosts"].as_array().unwrap().len(), 1);
    // Late: the change is not delivered before the delay.
    platform.set_behavior(|behavior| behavior.update_delay = Duration::from_millis(150));
    let started_at = std::time::Instant::now();
    platform.update_entry(entry("c", EndpointState::Up));
    watch.next_update().await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn an_agent_moves_and_receives_notices() {
    let recorder = Recorder::new(1000);
    let (platform, mut notices) = Platform::new(vec![entry("a", EndpointState::Up)], recorder.clone());
    let old_address = platform.start_agent(0, any_port()).await.unwrap();
    let mut watch = Watch::start(old_address, 1).await;
    platform.set_behavior(|behavior| behavior.silent = true);
    let mut connection = connect(old_address).await;
    let body = "{\"message\":\"m\",\"outcome\":\"handed_back\",\"retry_in_ms\":5}\n";
    let notice =
        |body: &str| format!("POST /status HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    connection.write(notice(body).as_bytes()).await.unwrap();
    assert_eq!(connection.read_response().await.unwrap().status(), 204, "also while discovery is down");
    assert_eq!(notices.recv().await.unwrap().retry_in_ms, Some(5));
    connection.write(notice("{\"message\":7}").as_bytes()).await.unwrap();
    assert_eq!(connection.read_response().await.unwrap().status(), 400);
    platform.set_behavior(|behavior| behavior.silent = false);
    let new_address = platform.start_agent(0, any_port()).await.unwrap();
    assert_ne!(old_address, new_address);
    assert_eq!(watch.next_update().await, None, "the old address closes its open connections");
    let refused = async { while HttpConnection::connect(old_address, WAIT_TIMEOUT).await.is_ok() {} };
    timeout(WAIT_TIMEOUT, refused).await.unwrap();
    platform.update_entry(entry("b", EndpointState::Up));
    assert!(Watch::start(new_address, 1).await.next_update().await.is_some());
}
