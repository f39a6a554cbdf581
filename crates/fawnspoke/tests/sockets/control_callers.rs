//! Callers that hold connections of the control port without a whole line, beside operators whose lines come in pieces.

use crate::support::*;
use fawnspoke_control::protocol::Request;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a caller holds a connection with no whole line (operators' page, "A door for operators").
const HOLD_TIME: Duration = Duration::from_secs(4);
/// An answer is owed in 1 s; on sockets each limit is 50 ms longer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1050);
/// The two pieces of an operator's line come this far apart.
const PIECE_DELAY: Duration = Duration::from_millis(50);
/// On-call page: a caller without a whole line keeps its connection for this long, however many others come.
const MIN_CONNECTED: Duration = Duration::from_millis(100);
/// On-call page: most callers at a time where `sockets` is 1,024.
const MAX_CALLERS: usize = 128;
const OPERATORS: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A connection that never brings a whole line.
struct HeldConnection {
    stream: TcpStream,
    opened_at: Instant,
    received: Vec<u8>,
}

/// The end of a connection that the server closed.
#[derive(Debug)]
struct Disconnection {
    age: Duration,
    response: String,
}

impl HeldConnection {
    /// Connects and sends the first `length` bytes of a line.
    fn open(address: SocketAddr, length: usize) -> HeldConnection {
        let opened_at = Instant::now();
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(&b"SUSPEND e"[..length]).expect("a part of a line");
        stream.set_nonblocking(true).expect("a socket");
        HeldConnection { stream, opened_at, received: Vec::new() }
    }

    /// How the server closed it, if it did.
    fn poll(&mut self) -> Option<Disconnection> {
        if is_open(&mut self.stream, &mut self.received) {
            return None;
        }
        let response = String::from_utf8_lossy(&self.received).into_owned();
        Some(Disconnection { age: self.opened_at.elapsed(), response })
    }
}

/// Holds `count` connections, each for 4 s, and opens a new one at once for each that ends. Returns those that the server
/// closed.
fn hold_connections(address: SocketAddr, count: usize, stop: &AtomicBool) -> Vec<Disconnection> {
    // Lines are cut at any byte.
    let open = |number: usize| HeldConnection::open(address, number % 10);
    let mut connections: Vec<HeldConnection> = (0..count).map(open).collect();
    let mut disconnections = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        for (number, connection) in connections.iter_mut().enumerate() {
            let disconnection = connection.poll();
            if disconnection.is_some() || connection.opened_at.elapsed() > HOLD_TIME {
                *connection = open(number);
            }
            disconnections.extend(disconnection);
        }
        thread::sleep(POLL_INTERVAL);
    }
    disconnections
}

/// The answer to an operator's call, and how long it took from when its line was whole.
#[derive(Debug)]
struct Answer {
    request: Request,
    response: String,
    took: Duration,
}

impl Answer {
    fn is_true(&self) -> bool {
        match self.request {
            Request::Metrics => self.response.starts_with("app.") && self.response.ends_with("EOT\n"),
            _ => self.response.starts_with("SUCCESS") && self.response.ends_with('\n'),
        }
    }
}

/// Sends a request whose line is cut at the byte `cut`.
fn call_in_pieces(address: SocketAddr, request: Request, cut: usize) -> Answer {
    let line = request.to_line();
    let (first, rest) = line.as_bytes().split_at(cut % line.len());
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a socket");
    stream.write_all(first).expect("the first piece");
    thread::sleep(PIECE_DELAY);
    let whole_at = Instant::now();
    let mut response = String::new();
    // A server that closes the connection too early shows in the response.
    let _ = stream.write_all(rest).and_then(|()| stream.read_to_string(&mut response).map(drop));
    Answer { request, response, took: whole_at.elapsed() }
}

/// Calls of one operator until `stop`.
fn operate(address: SocketAddr, operator: usize, stop: &AtomicBool) -> Vec<Answer> {
    let requests = [Request::Status, Request::Metrics, Request::Restore("e".into())];
    let mut answers = Vec::new();
    for (number, request) in requests.iter().cycle().enumerate() {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        answers.push(call_in_pieces(address, request.clone(), number + operator));
    }
    answers
}

/// Operators call beside `holders` connections for `length`; checks what all of them are told.
fn play(holders: usize, length: Duration) {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.control_enabled = true;
    dispatcher.start();
    let address = dispatcher.control_address().expect("a control port");
    let ready = |answer: Answer| answer.is_true();
    eventually("the ready status", || ready(call_in_pieces(address, Request::Status, 0)));
    let descriptors_before = dispatcher.open_descriptors();
    let stop = &AtomicBool::new(false);
    let (answers, disconnections, descriptors) = thread::scope(|scope| {
        let held = scope.spawn(move || hold_connections(address, holders, stop));
        let operators: Vec<_> =
            (0..OPERATORS).map(|operator| scope.spawn(move || operate(address, operator, stop))).collect();
        let (started_at, mut descriptors) = (Instant::now(), 0);
        while started_at.elapsed() < length {
            descriptors = descriptors.max(dispatcher.open_descriptors());
            thread::sleep(POLL_INTERVAL);
        }
        stop.store(true, Ordering::SeqCst);
        let answers: Vec<Answer> =
            operators.into_iter().flat_map(|operator| operator.join().expect("no panic")).collect();
        (answers, held.join().expect("no panic"), descriptors)
    });
    let untrue: Vec<&Answer> = answers.iter().filter(|answer| !answer.is_true()).collect();
    let late = answers.iter().filter(|answer| answer.took > ANSWER_LIMIT).count();
    let worst = answers.iter().map(|answer| answer.took).max().unwrap_or_default();
    let youngest = disconnections.iter().map(|end| end.age).min();
    println!(
        "{holders} holders: {} answers, {} untrue, {late} late, worst {worst:?}; {} disconnections, youngest {youngest:?}; \
         {descriptors} descriptors, {descriptors_before} before",
        answers.len(),
        untrue.len(),
        disconnections.len()
    );
    assert!(untrue.is_empty(), "{untrue:#?}");
    assert!(answers.len() >= OPERATORS, "{} answers", answers.len());
    // Other processes of the machine may delay some answers.
    assert!(
        late * 10 <= answers.len(),
        "{late} of {} answers after more than {ANSWER_LIMIT:?}",
        answers.len()
    );
    for end in &disconnections {
        assert!(end.age >= MIN_CONNECTED, "{end:?}");
        assert!(end.response.starts_with("FAILURE") && end.response.ends_with('\n'), "{end:?}");
    }
    assert!(
        descriptors <= descriptors_before + MAX_CALLERS + 1,
        "{descriptors}, {descriptors_before} before"
    );
}

/// Guards against a FAILURE to an operator whose line is under way, for the sake of callers that connect after it.
#[test]
fn operators_are_answered_truly_beside_20_callers_that_hold_connections() {
    play(20, Duration::from_secs(6));
}

/// The same where the callers are as many as there are connections.
#[test]
fn operators_are_answered_truly_beside_150_callers_that_hold_connections() {
    play(150, Duration::from_secs(6));
}

/// The same where most callers wait for a connection, and connect anew as soon as they are disconnected.
#[test]
fn operators_are_answered_truly_beside_1000_callers_that_connect_anew_at_once() {
    play(1000, Duration::from_secs(6));
}
