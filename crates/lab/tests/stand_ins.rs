//! The stand-ins themselves: what they say they do is what a peer meets.

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

/// Far longer than anything takes that is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let waited = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, waited).await.unwrap_or_else(|_| panic!("never came: {what}"));
}

async fn start(script: impl fawnspoke_lab::endpoint::CallHandler) -> (Endpoint, Recorder) {
    let recorder = Recorder::new(10_000);
    let numbers = Arc::new(AtomicU64::new(0));
    let endpoint =
        Endpoint::start("e", 7, &[any()], ConnectionLimits::default(), script, recorder.clone(), numbers)
            .await
            .unwrap();
    (endpoint, recorder)
}

fn call(id: &str) -> Vec<u8> {
    format!("POST /receive HTTP/1.1\r\nRequest-Id: {id}\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi")
        .into()
}

async fn connect(at: SocketAddr) -> HttpConnection {
    HttpConnection::connect(at, PATIENCE).await.unwrap()
}

async fn ask(wire: &mut HttpConnection, id: &str) -> io::Result<u16> {
    wire.write(&call(id)).await?;
    timeout(PATIENCE, wire.read_response()).await?.map(|answer| answer.status())
}

fn ends(recorder: &Recorder) -> Vec<CallEnd> {
    let end = |entry: &Entry| if let Event::CallEnded { end, .. } = entry.event { Some(end) } else { None };
    recorder.entries().iter().filter_map(end).collect()
}

fn partner(text: &str, keyed: &[&str]) -> (Arc<Partner>, Recorder) {
    partner_that_remembers(text, keyed, 3_600_000_000)
}

fn partner_that_remembers(text: &str, keyed: &[&str], window: Micros) -> (Arc<Partner>, Recorder) {
    let text = format!(
        "length_s = 1.0\n[dispatchers]\ncount = 1\n[clients]\nrate = 1.0\n[[class]]\nname = \"c\"\neffect = \"safe\"\n\
         share = 1.0\naim_s = 1.0\ndeadline_s = 1.0\n[[partner]]\nname = \"p\"\nshare = 1.0\nendpoints = 1\n{text}"
    );
    let spec: scenario::Partner = Scenario::parse("p", &text).unwrap().partners.remove(0);
    let (ledger, recorder) = (Arc::new(MessageRegistry::default()), Recorder::new(100_000));
    for id in keyed {
        ledger.register(id, 7, Micros::MAX, Effect::Keyed, window);
    }
    (Arc::new(Partner::new(spec, Recovery::default(), 7, 3, 1, ledger, recorder.clone())), recorder)
}

async fn open(partner: &Arc<Partner>, recorder: &Recorder) -> Endpoint {
    let door = PartnerEndpoint(partner.clone(), 0);
    Endpoint::start("e", 7, &[any()], ConnectionLimits::default(), door, recorder.clone(), Arc::default())
        .await
        .unwrap()
}

#[tokio::test]
async fn a_call_that_was_given_up_runs_on_and_is_on_record() {
    struct Slow;
    impl fawnspoke_lab::endpoint::CallHandler for Slow {
        fn handle(&self, _: &fawnspoke_lab::endpoint::Call) -> Reply {
            Reply::status(200).delayed(Duration::from_millis(50))
        }
        fn processed(&self, call: &fawnspoke_lab::endpoint::Call, _: &Reply) {
            assert_eq!(call.items[0].id, "m");
            RAN.store(1, std::sync::atomic::Ordering::SeqCst);
        }
    }
    static RAN: AtomicU64 = AtomicU64::new(0);
    let (endpoint, recorder) = start(Slow).await;
    let mut wire = connect(endpoint.address(0).unwrap()).await;
    wire.write(&call("m")).await.unwrap();
    until("the call", || recorder.with_entries(|entries| !entries.is_empty())).await;
    drop(wire);
    until("its end", || ends(&recorder) == [CallEnd::Closed]).await;
    until("its work", || RAN.load(std::sync::atomic::Ordering::SeqCst) == 1).await;
}

#[tokio::test]
async fn a_cut_answer_is_told_by_its_first_line() {
    let (endpoint, recorder) = start(|call: &fawnspoke_lab::endpoint::Call| {
        Reply::immediate(EndpointResponse::Truncated(200, if call.items[0].id == "line" { 30 } else { 9 }))
    })
    .await;
    for (id, end) in [("line", CallEnd::Truncated(200)), ("half", CallEnd::Broken)] {
        let mut wire = connect(endpoint.address(0).unwrap()).await;
        ask(&mut wire, id).await.unwrap_err();
        until("the end", || ends(&recorder).last() == Some(&end)).await;
    }
}

#[tokio::test]
async fn a_machine_that_is_gone_says_nothing_and_resets_when_it_is_back() {
    let (endpoint, recorder) = start(|_: &fawnspoke_lab::endpoint::Call| Reply::status(200)).await;
    let at = endpoint.address(0).unwrap();
    let mut open = connect(at).await;
    assert_eq!(ask(&mut open, "a").await.unwrap(), 200);
    endpoint.set_socket_state(SocketState::Silent).await.unwrap();
    let mut late = connect(at).await;
    late.write(&call("b")).await.unwrap();
    open.write(&call("c")).await.unwrap();
    assert!(timeout(Duration::from_millis(200), open.read_response()).await.is_err(), "silent");
    endpoint.set_socket_state(SocketState::Open).await.unwrap();
    assert!(timeout(PATIENCE, open.read_response()).await.unwrap().is_err());
    assert!(timeout(PATIENCE, late.read_response()).await.unwrap().is_err());
    let mut fresh = connect(at).await;
    assert_eq!(ask(&mut fresh, "d").await.unwrap(), 200);
    let calls = recorder.entries().iter().filter(|entry| matches!(entry.event, Event::Call { .. })).count();
    assert_eq!(calls, 2, "what came while it was gone never came");
}

#[tokio::test]
async fn a_process_that_is_gone_refuses_and_comes_back_at_its_address() {
    let (endpoint, _) = start(|_: &fawnspoke_lab::endpoint::Call| Reply::status(200)).await;
    let at = endpoint.address(0).unwrap();
    let mut open = connect(at).await;
    assert_eq!(ask(&mut open, "a").await.unwrap(), 200);
    endpoint.set_socket_state(SocketState::Refusing).await.unwrap();
    assert!(timeout(PATIENCE, open.read_response()).await.unwrap().is_err());
    // The listener ends with its task, a moment later.
    let refused = async { while HttpConnection::connect(at, PATIENCE).await.is_ok() {} };
    timeout(PATIENCE, refused).await.unwrap();
    endpoint.set_socket_state(SocketState::Open).await.unwrap();
    assert_eq!(ask(&mut connect(at).await, "b").await.unwrap(), 200);
}

#[tokio::test]
async fn a_full_table_of_connections_turns_calls_away() {
    let traits = ConnectionLimits { max_connections: 1, idle_timeout: None };
    let script = |_: &fawnspoke_lab::endpoint::Call| Reply::status(200);
    let recorder = Recorder::new(100);
    let endpoint = Endpoint::start("e", 7, &[any()], traits, script, recorder, Arc::default()).await.unwrap();
    let at = endpoint.address(0).unwrap();
    let (mut one, mut two) = (connect(at).await, connect(at).await);
    assert_eq!(ask(&mut one, "a").await.unwrap(), 200);
    until("both", || endpoint.counters().accepted_connections.load(std::sync::atomic::Ordering::SeqCst) == 2)
        .await;
    assert_eq!(ask(&mut two, "b").await.unwrap(), 503);
    drop(one);
    until("one", || endpoint.counters().closed_connections.load(std::sync::atomic::Ordering::SeqCst) == 1)
        .await;
    assert_eq!(ask(&mut two, "c").await.unwrap(), 200);
}

#[tokio::test]
async fn a_partner_remembers_keys_and_knows_its_messages() {
    let (partner, recorder) = partner("capacity = 1000.0\nservice_ms = [1.0, 1.0]\n", &["m"]);
    let endpoint = open(&partner, &recorder).await;
    let mut wire = connect(endpoint.address(0).unwrap()).await;
    for status in [200, 200, 200, 504] {
        assert_eq!(ask(&mut wire, "m").await.unwrap(), status);
    }
    assert_eq!(ask(&mut wire, "nobody's").await.unwrap(), 400);
    let effect = |entry: &Entry| {
        if let Event::MessageProcessed { took_effect, .. } = entry.event { Some(took_effect) } else { None }
    };
    let effects: Vec<bool> = recorder.entries().iter().filter_map(effect).collect();
    assert_eq!(effects, [true, false, false], "a repeat is dropped");
}

/// A key is looked up when its call comes, however late that call is worked on.
#[tokio::test]
async fn a_partner_that_is_slow_forgets_no_key_meanwhile() {
    let text = "capacity = 1000.0\nservice_ms = [1500.0, 1500.0]\n";
    let (partner, recorder) = partner_that_remembers(text, &["m"], 1_000_000);
    let endpoint = open(&partner, &recorder).await;
    let mut wire = connect(endpoint.address(0).unwrap()).await;
    for _ in 0..2 {
        assert_eq!(ask(&mut wire, "m").await.unwrap(), 200);
    }
    let effect = |entry: &Entry| {
        if let Event::MessageProcessed { took_effect, .. } = entry.event { Some(took_effect) } else { None }
    };
    let effects: Vec<bool> = recorder.entries().iter().filter_map(effect).collect();
    assert_eq!(effects, [true, false], "the repeat came 1 ms after the first one's end");
}

#[tokio::test]
async fn a_partner_tells_waits_above_its_limit() {
    let limit = "limit = \"window\"\nlimit_per_s = 2.0\nwindow_s = 3600.0\ntells_wait = true\n";
    let (partner, recorder) = partner(&format!("capacity = 1e9\nservice_ms = [1.0, 1.0]\n{limit}"), &[]);
    let endpoint = open(&partner, &recorder).await;
    let mut wire = connect(endpoint.address(0).unwrap()).await;
    let mut refused = None;
    // Each call counts, also those that it can't use.
    for _ in 0..7201 {
        wire.write(&call("x")).await.unwrap();
        let answer = wire.read_response().await.unwrap();
        if answer.status() == 429 {
            refused = answer.header("retry-after").map(|wait| wait.parse::<f64>().unwrap());
            break;
        }
    }
    assert!(refused.is_some_and(|wait| wait > 0.0 && wait <= 3600.0), "{refused:?}");
    let wait = recorder.entries().iter().rev().find_map(|entry| match entry.event {
        Event::CallEnded { retry_after, .. } => retry_after,
        _ => None,
    });
    assert!(wait.is_some_and(|wait| wait > 0));
}

#[tokio::test]
async fn answers_that_bring_more_are_good_and_requests_that_are_reset_never_ran() {
    let (partner, recorder) = partner("capacity = 1e6\nservice_ms = [1.0, 1.0]\nextras = 1.0\n", &["m"]);
    let endpoint = open(&partner, &recorder).await;
    // Three tries a message; each answer is drawn by chance among four.
    for _ in 0..3 {
        let mut wire = connect(endpoint.address(0).unwrap()).await;
        wire.write(&call("m")).await.unwrap();
        let piece = timeout(PATIENCE, wire.read_available()).await.unwrap().unwrap();
        let text = String::from_utf8_lossy(&piece).into_owned();
        let copies = text.matches("HTTP/1.1 200 OK\r\n").count();
        let more = text.starts_with("HTTP/1.1 103") || text.ends_with("noise") || text.contains("{x1:");
        assert!(copies == 2 || (copies == 1 && more), "{text}");
    }
    until("their ends", || ends(&recorder) == [CallEnd::Answered(200); 3]).await;

    let (partner, recorder) =
        self::partner("capacity = 1e6\nservice_ms = [1.0, 1.0]\nrequest_resets = 1.0\n", &["m"]);
    let endpoint = open(&partner, &recorder).await;
    ask(&mut connect(endpoint.address(0).unwrap()).await, "m").await.unwrap_err();
    assert!(recorder.entries().is_empty(), "it never ran");
}

#[tokio::test]
async fn a_cold_partner_falls_over_when_it_is_pushed() {
    let text = "capacity = 10.0\nservice_ms = [1.0, 1.0]\nqueue_ms = 0.0\n";
    for (push, falls) in [(3, false), (200, true)] {
        let (partner, recorder) = partner(text, &[]);
        let endpoint = open(&partner, &recorder).await;
        let mut wire = connect(endpoint.address(0).unwrap()).await;
        partner.set_fault(PartnerFault::RejectAll);
        assert_eq!(ask(&mut wire, "x").await.unwrap(), 503);
        partner.recover();
        // All are on their way before the first answer is awaited: it takes no time that warms it.
        let pushed: Vec<u8> = (0..push).flat_map(|_| call("x")).collect();
        wire.write(&pushed).await.unwrap();
        until("all of them", || {
            let calls = recorder.with_entries(|entries| {
                entries.iter().filter(|e| matches!(e.event, Event::Call { .. })).count()
            });
            partner.has_collapsed() || calls > push
        })
        .await;
        assert_eq!(partner.has_collapsed(), falls);
    }
}

fn host(name: &str, state: EndpointState) -> EndpointEntry {
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

/// A watch from a version: its lines, as they come.
struct Watch(HttpConnection, Vec<u8>);

impl Watch {
    async fn start(at: SocketAddr, index: u64) -> Watch {
        let mut wire = connect(at).await;
        let request = format!("GET /registry/instances?stream=1&index={index} HTTP/1.1\r\nHost: d\r\n\r\n");
        wire.write(request.as_bytes()).await.unwrap();
        Watch(wire, Vec::new())
    }

    /// The next line that is not a heartbeat; none where the watch ends before.
    async fn line(&mut self) -> Option<serde_json::Value> {
        timeout(PATIENCE, async {
            loop {
                let text = String::from_utf8_lossy(&self.1).into_owned();
                let line =
                    text.split_inclusive('\n').find(|line| line.starts_with('{') && line.ends_with('\n'));
                if let Some(line) = line {
                    let value = serde_json::from_str(line).unwrap();
                    self.1.clear();
                    return Some(value);
                }
                let piece = self.0.read_available().await.ok()?;
                if piece.is_empty() {
                    return None;
                }
                self.1.extend(piece);
            }
        })
        .await
        .expect("a line or an end")
    }
}

fn told(recorder: &Recorder) -> Vec<(String, EndpointState)> {
    let told = |entry: &Entry| match &entry.event {
        Event::ChangeDelivered { endpoint, state, .. } => Some((endpoint.clone(), *state)),
        _ => None,
    };
    recorder.entries().iter().filter_map(told).collect()
}

#[tokio::test]
async fn the_platform_tells_changes_late_torn_or_not_at_all() {
    let recorder = Recorder::new(1000);
    let (platform, _notices) = Platform::new(vec![host("a", EndpointState::Up)], recorder.clone());
    let at = platform.start_agent(0, any()).await.unwrap();
    assert_eq!(platform.known_list(0)["seq"], 1);
    let mut watch = Watch::start(at, 1).await;
    platform.update_entry(host("b", EndpointState::Up));
    let line = watch.line().await.unwrap();
    assert_eq!(
        (&line["seq"], &line["whole"], &line["hosts"][0]["host"]),
        (&2.into(), &false.into(), &"b".into())
    );
    assert_eq!(told(&recorder), [("b".to_string(), EndpointState::Up)]);
    // Torn: half a line, and the watch ends; nothing is told.
    platform.set_behavior(|mood| mood.truncate_updates = true);
    platform.update_entry(host("a", EndpointState::Draining));
    assert_eq!(watch.line().await, None);
    assert_eq!(told(&recorder).len(), 1);
    platform.set_behavior(|mood| mood.truncate_updates = false);
    // A watch from the version that is known has it as its first line.
    let mut watch = Watch::start(at, 2).await;
    assert_eq!(watch.line().await.unwrap()["hosts"][0]["health"], "draining");
    // Silent: told once it speaks again.
    platform.set_behavior(|mood| mood.silent = true);
    platform.update_entry(host("a", EndpointState::Removed));
    assert!(timeout(Duration::from_millis(200), watch.line()).await.is_err());
    assert_eq!(told(&recorder).len(), 2);
    platform.set_behavior(|mood| mood.silent = false);
    assert_eq!(watch.line().await.unwrap()["hosts"][0]["health"], "removed");
    // The list as the dispatcher has it, for its next life.
    let known = platform.known_list(0);
    assert_eq!((&known["seq"], &known["hosts"][0]["host"]), (&4.into(), &"b".into()));
    assert_eq!(known["hosts"].as_array().unwrap().len(), 1);
    // Late: not before its time.
    platform.set_behavior(|mood| mood.update_delay = Duration::from_millis(150));
    let began = std::time::Instant::now();
    platform.update_entry(host("c", EndpointState::Up));
    watch.line().await.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn the_platform_moves_and_hears_notices() {
    let recorder = Recorder::new(1000);
    let (platform, mut notices) = Platform::new(vec![host("a", EndpointState::Up)], recorder.clone());
    let old = platform.start_agent(0, any()).await.unwrap();
    let mut watch = Watch::start(old, 1).await;
    platform.set_behavior(|mood| mood.silent = true);
    let mut wire = connect(old).await;
    let body = "{\"message\":\"m\",\"outcome\":\"handed_back\",\"retry_in_ms\":5}\n";
    let notice =
        |body: &str| format!("POST /status HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    wire.write(notice(body).as_bytes()).await.unwrap();
    assert_eq!(wire.read_response().await.unwrap().status(), 204, "also while discovery is down");
    assert_eq!(notices.recv().await.unwrap().retry_in_ms, Some(5));
    wire.write(notice("{\"message\":7}").as_bytes()).await.unwrap();
    assert_eq!(wire.read_response().await.unwrap().status(), 400);
    platform.set_behavior(|mood| mood.silent = false);
    let new = platform.start_agent(0, any()).await.unwrap();
    assert_ne!(old, new);
    assert_eq!(watch.line().await, None, "the old address closes what is open");
    let refused = async { while HttpConnection::connect(old, PATIENCE).await.is_ok() {} };
    timeout(PATIENCE, refused).await.unwrap();
    platform.update_entry(host("b", EndpointState::Up));
    assert!(Watch::start(new, 1).await.line().await.is_some());
}
