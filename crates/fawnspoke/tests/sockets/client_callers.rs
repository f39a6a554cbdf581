//! Callers that hold clients' connections with a part of a request, beside clients whose requests come in pieces.

use crate::support::*;
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A client waits this long for its response (protocol page); on sockets each limit is 50 ms longer.
const RESPONSE_LIMIT: Duration = Duration::from_millis(450);
/// The two pieces of a client's request come this far apart.
const PIECE_DELAY: Duration = Duration::from_millis(50);
/// Most connections of clients at a time where `sockets` is 1,024: half of what the dispatcher's other parts leave.
const MAX_CLIENTS: usize = 434;
/// Descriptors of connections to endpoints and to discovery, which come and go.
const OTHER_DESCRIPTORS: usize = 32;
const CLIENTS: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn request(id: &str) -> String {
    format!(
        "POST /keyed HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: keyed\r\n\
         Idempotency-Key: {id}\r\nRequest-Timeout-Ms: 15000\r\nContent-Length: 1\r\nX-Consignee: dest=7\r\n\r\nx"
    )
}

/// Connects and sends the first `length` bytes of a request.
fn open_held(address: SocketAddr, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.write_all(&request("held").as_bytes()[..length]);
    stream.set_nonblocking(true).expect("a socket");
    stream
}

/// Holds `count` connections and opens a new one at once for each that the dispatcher ends. It closes its own side of an
/// ended connection only when `keep_ended` newer ones have ended.
fn hold_connections(address: SocketAddr, count: usize, keep_ended: usize, stop: &AtomicBool) -> usize {
    let lengths = request("held").len();
    let open = |number: usize| open_held(address, number * 7 % lengths);
    let mut connections: Vec<TcpStream> = (0..count).map(open).collect();
    let (mut ended, mut ended_count) = (std::collections::VecDeque::new(), 0);
    while !stop.load(Ordering::SeqCst) {
        for (number, connection) in connections.iter_mut().enumerate() {
            if !is_open(connection, &mut Vec::new()) {
                ended.push_back(std::mem::replace(connection, open(number)));
                ended_count += 1;
                if ended.len() > keep_ended {
                    ended.pop_front();
                }
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    ended_count
}

/// What a client heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    Status(u16),
    /// The connection ended without a response.
    Closed,
    /// Nothing within the time that a client waits.
    Nothing,
}

/// Submits a message on a new connection, in two pieces.
fn submit_in_pieces(address: SocketAddr, id: &str, cut: usize) -> Heard {
    let text = request(id);
    let (first, rest) = text.as_bytes().split_at(cut % text.len());
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(RESPONSE_LIMIT)).expect("a socket");
    let _ = stream.write_all(first);
    thread::sleep(PIECE_DELAY);
    let _ = stream.write_all(rest);
    let mut response = [0; 512];
    match stream.read(&mut response) {
        Ok(length) if length > 12 => {
            let status = std::str::from_utf8(&response[9..12]).ok().and_then(|text| text.parse().ok());
            Heard::Status(status.expect("a status"))
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Heard::Nothing,
        _ => Heard::Closed,
    }
}

/// Clients submit messages beside held connections for `length`; checks what they are told.
fn play(holders: usize, keep_ended: usize, length: Duration) {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.control_enabled = true;
    dispatcher.start();
    let address = dispatcher.client_address();
    let descriptors_before = dispatcher.open_descriptors();
    let stop = &AtomicBool::new(false);
    let (heard, ended, descriptors) = thread::scope(|scope| {
        let held = scope.spawn(move || hold_connections(address, holders, keep_ended, stop));
        let submit = move |client: usize| {
            let mut heard = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("c{client}-{}", heard.len());
                let result = submit_in_pieces(address, &id, 13 * heard.len() + client);
                heard.push((id, result));
            }
            heard
        };
        let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || submit(client))).collect();
        let (started_at, mut descriptors) = (Instant::now(), 0);
        while started_at.elapsed() < length {
            descriptors = descriptors.max(dispatcher.open_descriptors());
            thread::sleep(POLL_INTERVAL);
        }
        stop.store(true, Ordering::SeqCst);
        let heard: Vec<(String, Heard)> =
            clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
        (heard, held.join().expect("no panic"), descriptors)
    });
    let count = |wanted: Heard| heard.iter().filter(|(_, heard)| *heard == wanted).count();
    println!(
        "{holders} holders ({keep_ended} kept): {} messages, {} taken, {} refused, {} closed, {} unanswered; \
         {ended} held connections ended; {descriptors} descriptors",
        heard.len(),
        count(Heard::Status(202)),
        count(Heard::Status(503)),
        count(Heard::Closed),
        count(Heard::Nothing)
    );
    assert_eq!(count(Heard::Closed), 0, "closed without a response");
    // Other processes of the machine may delay some responses.
    assert!(count(Heard::Nothing) * 10 <= heard.len(), "responses after more than {RESPONSE_LIMIT:?}");
    let most = descriptors_before + MAX_CLIENTS + OTHER_DESCRIPTORS;
    assert!(descriptors <= most, "{descriptors} descriptors, {descriptors_before} before");
    // What is told is true: a message that was taken is delivered once, one that was refused is not sent.
    let taken: BTreeSet<&str> =
        heard.iter().filter(|(_, heard)| *heard == Heard::Status(202)).map(|(id, _)| &**id).collect();
    eventually("all messages that were taken", || endpoint.message_ids().len() >= taken.len());
    let called = endpoint.message_ids();
    let refused = |id: &str| heard.iter().any(|(other, heard)| other == id && *heard == Heard::Status(503));
    assert!(called.iter().all(|id| !refused(id)));
    let called: BTreeSet<&str> = called.iter().map(|id| &**id).collect();
    assert!(taken.is_subset(&called));
}

/// Guards against clients that are closed or not answered for the sake of callers that connect after them.
#[test]
fn clients_are_answered_beside_20_held_connections() {
    play(20, 0, Duration::from_secs(4));
}

/// Guards against an event loop that is busy for longer than a client waits with looking for connections to close.
#[test]
fn clients_are_answered_beside_1000_held_connections() {
    play(1000, 0, Duration::from_secs(6));
}

/// Guards against connections that stay open, beyond the limit, until callers close their side.
#[test]
fn descriptors_stay_bounded_beside_callers_that_never_close() {
    play(1000, 4000, Duration::from_secs(6));
}

/// Guards against callers that the kernel drops, and that connect a second later, while a process accepts none for a moment.
#[test]
fn callers_wait_in_the_queue_of_a_stopped_process() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.control_enabled = true;
    dispatcher.start();
    let addresses = [dispatcher.client_address(), dispatcher.control_address().expect("a control port")];
    dispatcher.signal("STOP");
    for address in addresses {
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(500));
        let connected: Vec<TcpStream> = (0..1000).map_while(|number| connect(number).ok()).collect();
        assert_eq!(connected.len(), 1000, "{address}");
    }
    dispatcher.signal("CONT");
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
}
