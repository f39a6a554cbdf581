//! How connections and calls end at their extremes: what was read has its answer, what was not read is not touched, and what an
//! answer told holds, however the rest of it fares.

use crate::manual_endpoint::ManualEndpoint;
use crate::support::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

/// A client's connection that tells how it ends.
fn plain(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

fn request(id: &str, dest: u32) -> String {
    format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\nX-Consignee: dest={dest}\r\n\
         Request-Timeout-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// The status of the next answer; none where the connection ends without one.
fn status(stream: &mut TcpStream) -> Option<u16> {
    let (mut read, mut piece) = (Vec::new(), [0; 1024]);
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut piece) {
            Ok(0) => return None,
            Ok(length) => read.extend_from_slice(&piece[..length]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
            Err(error) => panic!("no answer: {error}"),
        }
    }
    String::from_utf8_lossy(&read).split(' ').nth(1).and_then(|status| status.parse().ok())
}

/// Whether the other side has let go of the connection for good: what is written to it now is answered by a reset.
fn is_reset(stream: &mut TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if stream.take_error().unwrap().is_some() || stream.write_all(b"x").is_err() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// A dispatcher whose address is known, and which stays for a call that is out once it is told to stop.
fn staying() -> (ManualEndpoint, crate::manual_endpoint::Peer, Platform, Dispatcher, SocketAddr) {
    let (gated, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[gated.host("e", 7), draining_endpoint(8)]);
    let at = free_address();
    dispatcher.config["listen"] = at.to_string().into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "out", 7), 202);
    let mut peer = gated.accept();
    assert!(peer.read_request().is_some());
    (gated, peer, platform, dispatcher, at)
}

fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// "A dispatcher may close one between requests; if that crosses a request that it has not read, the client sends it once more":
/// so what comes behind the close must not be read.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_read() {
    let (_gated, _peer, _platform, dispatcher, at) = staying();
    let mut resting: Vec<TcpStream> = (0..8).map(|_| plain(at)).collect();
    for (number, stream) in resting.iter_mut().enumerate() {
        stream.write_all(request(&format!("r{number}"), 8).as_bytes()).unwrap();
        assert_eq!(status(stream), Some(202));
    }
    dispatcher.signal("TERM");
    for stream in &mut resting {
        assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0, "it is closed between requests");
        let _ = stream.write_all(request("crossed", 8).as_bytes());
        assert!(is_reset(stream, Duration::from_millis(150)), "read behind the close, and never answered");
    }
}

/// The same for a new connection on which nothing has come, which is not waited for any longer.
#[test]
fn a_request_that_crosses_the_end_of_a_new_connection_is_not_read() {
    let (_gated, _peer, _platform, _dispatcher, at) = staying();
    let mut new = plain(at);
    assert_eq!(new.read(&mut [0; 1]).unwrap_or(0), 0, "it is closed");
    let _ = new.write_all(request("crossed", 8).as_bytes());
    assert!(is_reset(&mut new, Duration::from_millis(150)), "read behind the close, and never answered");
}

/// "Clients that stop in the middle of a request and stay: they get their error or close within 3 s". What was read has an answer:
/// the rest may be on its way.
#[test]
fn a_request_that_stops_in_the_middle_is_answered_before_its_connection_ends() {
    let (_gated, _peer, _platform, _dispatcher, at) = staying();
    let whole = request("half", 8);
    for length in [5, whole.len() / 2, whole.len() - 2] {
        let begun = Instant::now();
        let mut stream = plain(at);
        stream.write_all(&whole.as_bytes()[..length]).unwrap();
        let status = status(&mut stream);
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
        assert!(status.is_some_and(|status| status >= 400), "{length} bytes: {status:?}");
    }
}

/// A crowd of clients that say nothing: who has begun a request goes last.
#[test]
fn a_crowd_closes_no_connection_in_the_middle_of_a_request() {
    let (gated, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[gated.host("e", 7), draining_endpoint(8)]);
    let at = free_address();
    dispatcher.config["listen"] = at.to_string().into();
    dispatcher.config["limits"]["sockets"] = 64.into();
    dispatcher.start();
    let whole = request("begun", 8);
    let mut begun = plain(at);
    begun.write_all(&whole.as_bytes()[..20]).unwrap();
    thread::sleep(Duration::from_millis(50));
    let crowd: Vec<TcpStream> = (0..150).map(|_| plain(at)).collect();
    thread::sleep(Duration::from_millis(100));
    begun.write_all(&whole.as_bytes()[20..]).unwrap();
    assert_eq!(status(&mut begun), Some(202));
    drop(crowd);
}

/// A wait that was told holds though the rest of its answer never comes, or breaks off.
#[test]
fn a_wait_in_an_answer_that_is_cut_short_is_heeded() {
    const WAIT: Duration = Duration::from_millis(2500);
    for closes in [false, true] {
        let (gated, platform) = (ManualEndpoint::start(), Platform::start());
        let dispatcher = Dispatcher::started(&platform, &[gated.host("e", 7)]);
        assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
        let mut peer = gated.accept();
        assert!(peer.read_request().is_some());
        let told = Instant::now();
        peer.write(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 5\r\n\r\nhe");
        if closes {
            drop(peer);
        } else {
            // Kept open without another byte.
            thread::spawn(move || (thread::sleep(2 * WAIT), drop(peer)));
        }
        // Calls that come within 100 ms are let through.
        thread::sleep(Duration::from_millis(110).saturating_sub(told.elapsed()));
        assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
        let mut next = gated.accept();
        assert!(next.read_request().is_some());
        let early = Duration::from_millis(150);
        assert!(told.elapsed() >= WAIT - early, "closes {closes}: a call {:?} into the wait", told.elapsed());
    }
}

/// SIGHUP while the configuration is being read: its own file comes slowly.
#[test]
fn a_signal_in_the_first_moment_of_a_start_does_not_end_it() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let at = free_address();
    dispatcher.config["listen"] = at.to_string().into();
    let pipe = dispatcher.state_dir().with_file_name("config.pipe");
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let mut command = dispatcher.command();
    let mut child = command.env("GW_CONFIG", &pipe).stdout(Stdio::null()).spawn().unwrap();
    let program = |id: u32| std::fs::read_to_string(format!("/proc/{id}/comm")).unwrap_or_default();
    eventually("the program", || program(child.id()).starts_with("fawnspoke"));
    // It waits in the opening of the file; a process that has come so far heeds signals.
    thread::sleep(Duration::from_millis(300));
    let hang_up = || {
        let done = std::process::Command::new("kill").arg("-HUP").arg(child.id().to_string()).status();
        assert!(done.unwrap().success());
    };
    hang_up();
    thread::sleep(Duration::from_millis(100));
    assert!(child.try_wait().unwrap().is_none(), "it lives on");
    let (text, file) = (dispatcher.config.to_string(), pipe.clone());
    // Once for the start, and once for the signal.
    thread::spawn(move || {
        std::fs::write(&file, &text).unwrap();
        thread::sleep(Duration::from_millis(500));
        std::fs::write(&file, &text).unwrap();
    });
    eventually("that it serves", || {
        assert!(child.try_wait().unwrap().is_none(), "it lives on");
        let Ok(mut stream) = TcpStream::connect(at) else { return false };
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(request("m1", 7).as_bytes()).is_ok() && status(&mut stream) == Some(202)
    });
    child.kill().unwrap();
    child.wait().unwrap();
}
