//! Clients that send at full speed, also under ever new names, beside clients with small messages.

use crate::crowd::head;
use crate::process_memory::peak_bytes;
use crate::{LEAST_MEMORY_MB, RESPONSE_LIMIT, new_dispatcher, run_alone, submit_small};
use fawnspoke_control::client;
use fawnspoke_control::protocol::Request;
use fawnspoke_lab::blocking::{Endpoint, Platform, Reply};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const FLOODERS: usize = 4;
/// Answers of the control port are owed within this time.
const CONTROL_LIMIT: Duration = Duration::from_secs(1);

/// What a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flood {
    /// Many requests in each write, whose answers it never reads.
    UnreadGets,
    /// One request after another, each to another path.
    NewPaths,
    /// Heads that are none.
    Garbage,
    /// One invalid message after another, with ever new ids, classes and header names.
    InvalidMessages,
    /// One message after another to destinations that no list names, with ever new ids, keys and tenants.
    UnknownDestinations,
    /// One small message after another, with ever new ids and keys.
    Messages,
    /// Lines to the control port.
    ControlLines,
}

impl Flood {
    fn bytes(self, number: u64) -> Vec<u8> {
        let id = format!("flood{number}");
        match self {
            Flood::UnreadGets => b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n".repeat(50),
            Flood::NewPaths => format!("GET /{id} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes(),
            Flood::Garbage => format!("\0\x01 {id}\r\n\r\n").into_bytes(),
            Flood::InvalidMessages => {
                let text = head("keyed", &id, &format!("x-{id}: {id}\r\n"), 1)
                    .replace("Timeout-Ms: 1000", "Timeout-Ms: x");
                format!("{text}x").into_bytes()
            }
            Flood::UnknownDestinations => {
                let text = head("keyed", &id, &format!("Tenant: {id}\r\n"), 1)
                    .replace("dest=7", &format!("dest={number}0"));
                format!("{text}x").into_bytes()
            }
            Flood::Messages => format!("{}x", head("keyed", &id, "", 1)).into_bytes(),
            Flood::ControlLines => format!("SUSPEND {id}\n").into_bytes(),
        }
    }

    /// Sends at full speed until `stop`; returns the number of writes.
    fn run(self, address: SocketAddr, flooder: u64, stop: &AtomicBool) -> u64 {
        let mut stream: Option<TcpStream> = None;
        let mut response = [0; 4096];
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            let Some(mut open) = stream.take().or_else(|| TcpStream::connect(address).ok()) else { continue };
            let timeout = Some(Duration::from_millis(50));
            let _ = open.set_read_timeout(timeout).and_then(|()| open.set_write_timeout(timeout));
            let _ = open.set_nodelay(true);
            count += 1;
            let written = open.write_all(&self.bytes(flooder << 32 | count));
            let answered = self == Flood::UnreadGets || matches!(open.read(&mut response), Ok(1..));
            stream = (written.is_ok() && answered).then_some(open);
        }
        count
    }
}

fn play(flood: Flood) {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = new_dispatcher(LEAST_MEMORY_MB, &platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.control_enabled = true;
    dispatcher.config["settings"]["limits"]["open_cap"] = 500.into();
    dispatcher.start();
    let (address, control) =
        (dispatcher.client_address(), dispatcher.control_address().expect("a control port"));
    let target = if flood == Flood::ControlLines { control } else { address };
    let stop = &AtomicBool::new(false);
    let (latencies, controls, count) = thread::scope(|scope| {
        let flooders: Vec<_> = (0..FLOODERS as u64)
            .map(|flooder| scope.spawn(move || flood.run(target, flooder, stop)))
            .collect();
        let clients = [("new", false), ("kept", true)]
            .map(|(name, on_one)| scope.spawn(move || submit_small(address, name, on_one, stop)));
        let controls = scope.spawn(move || {
            let mut latencies = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let started_at = Instant::now();
                let answer = client::send_request(control, &Request::Status, 2 * CONTROL_LIMIT);
                latencies.push(answer.is_ok().then(|| started_at.elapsed()));
                thread::sleep(Duration::from_millis(100));
            }
            latencies
        });
        thread::sleep(Duration::from_secs(3));
        stop.store(true, Ordering::SeqCst);
        let latencies: Vec<_> =
            clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
        let count: u64 = flooders.into_iter().map(|flooder| flooder.join().expect("no panic")).sum();
        (latencies, controls.join().expect("no panic"), count)
    });
    let peak = peak_bytes(dispatcher.process_id().expect("a process"));
    let worst =
        |latencies: &[Option<Duration>]| latencies.iter().flatten().max().copied().unwrap_or_default();
    // Where the flood fills the queue, small messages are answered 503 in time.
    let unanswered = latencies.iter().filter(|latency| latency.is_none()).count();
    println!(
        "{flood:?}: {count} writes, peak {:.1} MB; {} small messages, {unanswered} without 202, worst {:?}; control port: {} \
         answers, worst {:?}",
        peak as f64 / 1e6,
        latencies.len(),
        worst(&latencies),
        controls.len(),
        worst(&controls),
    );
    assert!(peak <= LEAST_MEMORY_MB * 1_000_000, "{flood:?}: {peak} bytes");
    assert!(latencies.len() >= 30, "{flood:?}: {} answers", latencies.len());
    let late =
        latencies.iter().filter(|latency| latency.is_none_or(|latency| latency > RESPONSE_LIMIT)).count();
    assert!(
        flood == Flood::Messages || late * 10 <= latencies.len(),
        "{flood:?}: {late} late of {}",
        latencies.len()
    );
    let late =
        controls.iter().filter(|latency| latency.is_none_or(|latency| latency > CONTROL_LIMIT)).count();
    assert_eq!(late, 0, "{flood:?}: late answers of the control port");
}

/// Guards against other clients that wait for one that sends at full speed, and against memory that grows with each new name.
#[test]
fn floods_delay_no_other_client_and_take_no_memory() {
    let _alone = run_alone();
    for flood in [
        Flood::UnreadGets,
        Flood::NewPaths,
        Flood::Garbage,
        Flood::InvalidMessages,
        Flood::UnknownDestinations,
        Flood::Messages,
        Flood::ControlLines,
    ] {
        play(flood);
    }
}
