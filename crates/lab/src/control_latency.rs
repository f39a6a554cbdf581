//! How soon a dispatcher's door answers while the dispatcher is saturated, without and beside callers that say nothing.

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

/// A question is asked so often, the kinds in turn.
const EVERY: Duration = Duration::from_millis(5);
/// An answer that takes longer is none.
const PATIENCE: Duration = Duration::from_secs(5);
/// Bad callers that leave and come anew, and how often.
const TURN: usize = 20;
const TURN_EVERY: Duration = Duration::from_millis(50);

/// The times of answers in microseconds, and the questions that got none.
#[derive(Clone, Debug)]
pub struct Answers {
    /// From the connection's start to the whole answer.
    pub times: Histogram<u64>,
    /// Without an answer in 5 s.
    pub none: u64,
}

impl fmt::Display for Answers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |quantile| self.times.value_at_quantile(quantile) as f64 / 1000.0;
        let (count, worst) = (self.times.len(), self.times.max() as f64 / 1000.0);
        write!(
            f,
            "{count} answers, p50 {:.2} ms, p99 {:.2} ms, worst {worst:.2} ms; {} none",
            at(0.5),
            at(0.99),
            self.none
        )
    }
}

/// Asks the door for as long as `during` takes, beside so many bad callers.
pub fn asked<T>(at: SocketAddr, bad: usize, during: impl FnOnce() -> T) -> (Answers, T) {
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let asking = scope.spawn(|| ask_until(at, &over));
        if bad > 0 {
            scope.spawn(|| misbehave(at, bad, &over));
        }
        let done = during();
        over.store(true, Ordering::SeqCst);
        // A thread that panicked tells its own story.
        let answers = asking.join().unwrap_or_else(|_| Answers { times: histogram(), none: u64::MAX });
        (answers, done)
    })
}

fn histogram() -> Histogram<u64> {
    // Three digits, up to a minute in microseconds: the bounds are sound.
    Histogram::new_with_max(60_000_000, 3).expect("sound bounds")
}

fn ask_until(at: SocketAddr, over: &AtomicBool) -> Answers {
    let calls = [Request::Status, Request::Metrics, Request::Restore("nobody".into())];
    let mut answers = Answers { times: histogram(), none: 0 };
    for call in calls.iter().cycle() {
        if over.load(Ordering::SeqCst) {
            break;
        }
        let began = Instant::now();
        match send_request(at, call, PATIENCE) {
            Ok(_) => answers.times.saturating_record(began.elapsed().as_micros() as u64),
            Err(_) => answers.none += 1,
        }
        thread::sleep(EVERY.saturating_sub(began.elapsed()));
    }
    answers
}

/// Callers that hold a connection with no whole call: nothing, a part, no text, a line without an end.
fn misbehave(at: SocketAddr, count: usize, over: &AtomicBool) {
    let mut callers = VecDeque::new();
    let words: [&[u8]; 4] = [b"", b"SUSP", &[0; 64], &[b'x'; 4096]];
    let come = |callers: &mut VecDeque<TcpStream>, i: usize| {
        if let Ok(mut stream) = TcpStream::connect_timeout(&at, PATIENCE) {
            // One that was hung up on has said enough.
            let _ = stream.write_all(words[i % words.len()]);
            callers.push_back(stream);
        }
    };
    (0..count).for_each(|i| come(&mut callers, i));
    while !over.load(Ordering::SeqCst) {
        for i in 0..TURN.min(count) {
            callers.pop_front();
            come(&mut callers, i);
        }
        thread::sleep(TURN_EVERY);
    }
}
