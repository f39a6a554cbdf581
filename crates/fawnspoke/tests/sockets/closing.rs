//! How connections and calls end in edge cases: every request that was read gets a response, a request that was not
//! read has no effect, and the `Retry-After` of a response counts even if the rest of that response never arrives.

use crate::manual_endpoint::ManualEndpoint;
use crate::support::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

/// A raw client connection, on which a test can observe how the dispatcher closes it.
fn connect_raw(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

fn request(id: &str, destination: u32) -> String {
    format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\nX-Consignee: dest={destination}\r\n\
         Request-Timeout-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// The status of the next response; `None` if the connection ends without one.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let (mut read, mut buffer) = (Vec::new(), [0; 1024]);
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(length) => read.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
            Err(error) => panic!("no response: {error}"),
        }
    }
    String::from_utf8_lossy(&read).split(' ').nth(1).and_then(|status| status.parse().ok())
}

/// Whether the peer fully closes the connection within `time`: it then answers further bytes with a reset.
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

/// A dispatcher with a fixed listen address and one call in flight, which keeps it running after SIGTERM.
fn dispatcher_with_call_in_flight()
-> (ManualEndpoint, crate::manual_endpoint::Peer, Platform, Dispatcher, SocketAddr) {
    let (endpoint, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7), draining_endpoint(8)]);
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "in-flight", 7), 202);
    let mut peer = endpoint.accept();
    assert!(peer.read_request().is_some());
    (endpoint, peer, platform, dispatcher, address)
}

/// A dispatcher may close a connection between requests; a client whose request crosses that close sends it once
/// more. A request that arrives after the close must therefore not be read.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let (_endpoint, _peer, _platform, dispatcher, address) = dispatcher_with_call_in_flight();
    let mut idle: Vec<TcpStream> = (0..8).map(|_| connect_raw(address)).collect();
    for (number, stream) in idle.iter_mut().enumerate() {
        stream.write_all(request(&format!("r{number}"), 8).as_bytes()).unwrap();
        assert_eq!(read_status(stream), Some(202));
    }
    dispatcher.signal("TERM");
    for stream in &mut idle {
        assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0, "the idle connection is closed");
        let _ = stream.write_all(request("crossed", 8).as_bytes());
        assert!(
            is_reset(stream, Duration::from_millis(150)),
            "the request was read after the close and never answered"
        );
    }
}

/// The same for a new connection on which no byte has arrived when the dispatcher stops waiting for one.
#[test]
fn a_request_that_crosses_the_close_of_a_new_connection_is_not_read() {
    let (_endpoint, _peer, _platform, _dispatcher, address) = dispatcher_with_call_in_flight();
    let mut new = connect_raw(address);
    assert_eq!(new.read(&mut [0; 1]).unwrap_or(0), 0, "the new connection is closed");
    let _ = new.write_all(request("crossed", 8).as_bytes());
    assert!(
        is_reset(&mut new, Duration::from_millis(150)),
        "the request was read after the close and never answered"
    );
}

/// A client that stops in the middle of a request and keeps its connection open gets an error response within 3 s.
/// Closing without a response is not enough, because the rest of the request may still be on its way.
#[test]
fn an_incomplete_request_is_answered_before_its_connection_closes() {
    let (_endpoint, _peer, _platform, _dispatcher, address) = dispatcher_with_call_in_flight();
    let whole = request("half", 8);
    for length in [5, whole.len() / 2, whole.len() - 2] {
        let started_at = Instant::now();
        let mut stream = connect_raw(address);
        stream.write_all(&whole.as_bytes()[..length]).unwrap();
        let status = read_status(&mut stream);
        assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
        assert!(status.is_some_and(|status| status >= 400), "{length} bytes: {status:?}");
    }
}

/// At the connection limit, connections on which nothing was sent are closed before one that has begun a request.
#[test]
fn silent_connections_are_closed_before_one_in_the_middle_of_a_request() {
    let (endpoint, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7), draining_endpoint(8)]);
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.config["limits"]["sockets"] = 64.into();
    dispatcher.start();
    let whole = request("partial", 8);
    let mut partial = connect_raw(address);
    partial.write_all(&whole.as_bytes()[..20]).unwrap();
    thread::sleep(Duration::from_millis(50));
    let silent: Vec<TcpStream> = (0..150).map(|_| connect_raw(address)).collect();
    thread::sleep(Duration::from_millis(100));
    partial.write_all(&whole.as_bytes()[20..]).unwrap();
    assert_eq!(read_status(&mut partial), Some(202));
    drop(silent);
}

/// A `Retry-After` counts even if the body of its response stalls or is cut short by a close.
#[test]
fn a_retry_after_in_a_truncated_response_is_honoured() {
    const RETRY_AFTER: Duration = Duration::from_millis(2500);
    for closes in [false, true] {
        let (endpoint, platform) = (ManualEndpoint::start(), Platform::start());
        let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7)]);
        assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
        let mut peer = endpoint.accept();
        assert!(peer.read_request().is_some());
        let answered_at = Instant::now();
        peer.write(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 5\r\n\r\nhe");
        if closes {
            drop(peer);
        } else {
            // The connection stays open without another byte.
            thread::spawn(move || (thread::sleep(2 * RETRY_AFTER), drop(peer)));
        }
        // Calls started within 100 ms of the response are still allowed.
        thread::sleep(Duration::from_millis(110).saturating_sub(answered_at.elapsed()));
        assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
        let mut next = endpoint.accept();
        assert!(next.read_request().is_some());
        let tolerance = Duration::from_millis(150);
        assert!(
            answered_at.elapsed() >= RETRY_AFTER - tolerance,
            "closes {closes}: called after {:?}, before the Retry-After was over",
            answered_at.elapsed()
        );
    }
}

/// SIGHUP arrives while the process is still reading its configuration, here from a pipe that delivers it late. Without
/// an early signal handler the default action of the signal would end the process.
#[test]
fn sighup_during_startup_does_not_end_the_process() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    let pipe = dispatcher.state_dir().with_file_name("config.pipe");
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let mut command = dispatcher.command();
    let mut child = command.env("GW_CONFIG", &pipe).stdout(Stdio::null()).spawn().unwrap();
    let program = |id: u32| std::fs::read_to_string(format!("/proc/{id}/comm")).unwrap_or_default();
    eventually("the program to be executed", || program(child.id()).starts_with("fawnspoke"));
    // The process blocks while it opens the pipe; by then it handles signals.
    thread::sleep(Duration::from_millis(300));
    let send_sighup = || {
        let done = std::process::Command::new("kill").arg("-HUP").arg(child.id().to_string()).status();
        assert!(done.unwrap().success());
    };
    send_sighup();
    thread::sleep(Duration::from_millis(100));
    assert!(child.try_wait().unwrap().is_none(), "the process is still running");
    let (text, file) = (dispatcher.config.to_string(), pipe.clone());
    // One copy for the startup, one for the reload by the signal.
    thread::spawn(move || {
        std::fs::write(&file, &text).unwrap();
        thread::sleep(Duration::from_millis(500));
        std::fs::write(&file, &text).unwrap();
    });
    eventually("the dispatcher to serve", || {
        assert!(child.try_wait().unwrap().is_none(), "the process is still running");
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(request("m1", 7).as_bytes()).is_ok() && read_status(&mut stream) == Some(202)
    });
    child.kill().unwrap();
    child.wait().unwrap();
}
