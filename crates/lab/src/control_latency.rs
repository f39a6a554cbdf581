//! Measures how fast a dispatcher's control port responds while the dispatcher is under full load, with or without
//! stalled connections at the same time.

use fawnspoke_control::client::send_request;
use fawnspoke_control::protocol::Request;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::fmt;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two requests. The kinds of requests alternate.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Stalled connections that are replaced at a time.
const REPLACED_CONNECTIONS: usize = 20;
/// Interval between two replacements.
const REPLACE_INTERVAL: Duration = Duration::from_millis(50);

/// Response times of the control port, and requests without a response.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    /// Time from opening the connection to the end of the response, in microseconds.
    pub times_us: Histogram<u64>,
    /// Requests that failed or got no response within 5 s.
    pub failures: u64,
}

impl fmt::Display for ResponseTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |quantile| self.times_us.value_at_quantile(quantile) as f64 / 1000.0;
        let (count, worst) = (self.times_us.len(), self.times_us.max() as f64 / 1000.0);
        write!(
            f,
            "{count} responses, p50 {:.2} ms, p99 {:.2} ms, worst {worst:.2} ms; {} failed",
            at(0.5),
            at(0.99),
            self.failures
        )
    }
}

/// Sends requests to the control port for as long as `work` runs, while `stalled_connections` connections never send a
/// complete request.
pub fn measure_latency<T>(
    address: SocketAddr, stalled_connections: usize, work: impl FnOnce() -> T,
) -> (ResponseTimes, T) {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let requests = scope.spawn(|| send_requests(address, &stop));
        if stalled_connections > 0 {
            scope.spawn(|| hold_stalled_connections(address, stalled_connections, &stop));
        }
        let result = work();
        stop.store(true, Ordering::SeqCst);
        // A panic of the thread has been printed already; the failure count marks the results as invalid.
        let responses =
            requests.join().unwrap_or_else(|_| ResponseTimes { times_us: histogram(), failures: u64::MAX });
        (responses, result)
    })
}

fn histogram() -> Histogram<u64> {
    // Up to one minute in microseconds with three significant digits: always valid bounds.
    Histogram::new_with_max(60_000_000, 3).expect("bounds that are valid")
}

/// Sends requests at a fixed interval until `stop` is set.
fn send_requests(address: SocketAddr, stop: &AtomicBool) -> ResponseTimes {
    let kinds = [Request::Status, Request::Metrics, Request::Restore("nobody".into())];
    let mut responses = ResponseTimes { times_us: histogram(), failures: 0 };
    for request in kinds.iter().cycle() {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let started_at = Instant::now();
        match send_request(address, request, REQUEST_TIMEOUT) {
            Ok(_) => responses.times_us.saturating_record(started_at.elapsed().as_micros() as u64),
            Err(_) => responses.failures += 1,
        }
        thread::sleep(REQUEST_INTERVAL.saturating_sub(started_at.elapsed()));
    }
    responses
}

/// Holds connections open that never send a complete request, and replaces some of them at an interval. They send
/// nothing, part of a command, binary data, or a long line without an end.
fn hold_stalled_connections(address: SocketAddr, count: usize, stop: &AtomicBool) {
    let mut connections = VecDeque::new();
    let partial_requests: [&[u8]; 4] = [b"", b"SUSP", &[0; 64], &[b'x'; 4096]];
    let open = |connections: &mut VecDeque<TcpStream>, i: usize| {
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT) {
            // The server may have closed the connection already.
            let _ = stream.write_all(partial_requests[i % partial_requests.len()]);
            connections.push_back(stream);
        }
    };
    (0..count).for_each(|i| open(&mut connections, i));
    while !stop.load(Ordering::SeqCst) {
        for i in 0..REPLACED_CONNECTIONS.min(count) {
            connections.pop_front();
            open(&mut connections, i);
        }
        thread::sleep(REPLACE_INTERVAL);
    }
}
