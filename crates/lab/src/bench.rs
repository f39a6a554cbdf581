//! Benchmark of the throughput and latency of a dispatcher on one core, compared with a plain proxy on the same core
//! in the same run.
//!
//! The process under test runs on a core of its own; the load generator and the endpoint share the others. Throughput
//! is measured with a closed loop that limits the messages in flight so that none is rejected: the result is the
//! highest sustained rate. Latencies are measured with an open loop at half that rate.

use crate::control_latency::{ResponseTimes, measure_latency};
use crate::platform::{EndpointEntry, Platform};
use crate::process::{Process, Program, is_serving, resident_kb};
use crate::record::{EndpointState, ProcessSignal, Recorder};
use hdrhistogram::Histogram;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Upper limit on the messages of one measurement.
const MAX_MESSAGES: usize = 8_000_000;
/// Load before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(1);
/// Length of a clock tick in /proc, in microseconds: USER_HZ is 100 on all current Linux platforms.
const CLOCK_TICK_US: f64 = 10_000.0;
/// How long to wait for messages that are in flight when the load ends.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Parameters of a benchmark.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// Duration of each measurement in seconds, without the warm-up.
    pub seconds: f64,
    /// Size of a message body in bytes.
    pub body: usize,
    /// Client connections of the load generator.
    pub connections: usize,
    /// Maximum number of calls that the dispatcher may have in flight.
    pub slots: usize,
    /// Interval of the dispatcher's ticks in milliseconds.
    pub tick_ms: f64,
    /// Program to measure as the dispatcher; this program if there is none.
    pub program: Option<std::path::PathBuf>,
}

/// Connections to the control port that never send a complete request, for the second measurement of its latency.
const STALLED_CONNECTIONS: usize = 200;

/// Results of a benchmark.
pub struct BenchResults {
    /// Results of the plain proxy.
    pub proxy_results: SubjectResults,
    /// Results of the dispatcher.
    pub dispatcher_results: SubjectResults,
    /// Latency of the dispatcher's control port under full load, without and with stalled connections; none if the
    /// dispatcher has no control port.
    pub control_port: Option<(ResponseTimes, ResponseTimes)>,
}

/// Results of one process under test.
#[derive(Clone, Debug)]
pub struct SubjectResults {
    /// Highest sustained rate, in delivered messages per second.
    pub messages_per_s: f64,
    /// Rejected or failed submissions during the measurement of that rate.
    pub rejected: u64,
    /// Time from the start of a submission to its response, at half the rate, in microseconds.
    pub response_us: Histogram<u64>,
    /// Time from the start of a submission to its arrival at the endpoint, at half the rate, in microseconds.
    pub delivery_us: Histogram<u64>,
    /// Resident memory before any load, and the highest under load, in KB.
    pub resident_kb: (u64, u64),
    /// Bytes written to the journal per message; none for the proxy.
    pub journal_bytes: Option<f64>,
    /// Processor time per message in microseconds, in user mode and in the kernel.
    pub cpu_us: f64,
}

fn histogram() -> Histogram<u64> {
    // One microsecond to one minute with three significant digits: always valid bounds.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are valid")
}

/// Counters and latencies of one measurement, shared by the load generator and the endpoint.
struct LoadStats {
    started_at: Instant,
    /// Time at which each message was sent, by its number, in microseconds since `started_at`.
    sent_at_us: Vec<AtomicU64>,
    next_number: AtomicU64,
    delivered: AtomicU64,
    rejected: AtomicU64,
    delivery_us: Mutex<Histogram<u64>>,
    response_us: Mutex<Histogram<u64>>,
    /// One permit per message that may be in flight.
    in_flight_permits: Semaphore,
    /// Whether latencies are recorded: not during the warm-up.
    recording: AtomicBool,
}

impl LoadStats {
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    fn elapsed_us(&self, number: u64) -> u64 {
        let sent = self.sent_at_us.get(number as usize).map_or(0, |at| at.load(Ordering::Relaxed));
        self.now_us().saturating_sub(sent).max(1)
    }

    fn record_latency(&self, histogram: &Mutex<Histogram<u64>>, number: u64) {
        if self.recording.load(Ordering::Relaxed) {
            histogram
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .saturating_record(self.elapsed_us(number));
        }
    }

    fn start_recording(&self) {
        for histogram in [&self.delivery_us, &self.response_us] {
            histogram.lock().unwrap_or_else(PoisonError::into_inner).reset();
        }
        self.recording.store(true, Ordering::Relaxed);
    }
}

/// Lengths of the first HTTP message in the buffer, of its head and in total, if it is complete. Only `Content-Length`
/// bodies are supported.
fn message_lengths(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let length =
        header_value(&bytes[..head], b"content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
    (bytes.len() >= head + length).then_some((head, head + length))
}

/// Value of a header. `name` is in lower case and ends in a colon.
fn header_value<'a>(head: &'a [u8], name: &[u8]) -> Option<&'a str> {
    let lines = head.split(|byte| *byte == b'\n');
    let line = lines
        .filter_map(|line| line.split_at_checked(name.len()))
        .find(|(n, _)| n.eq_ignore_ascii_case(name));
    std::str::from_utf8(line?.1).ok().map(str::trim)
}

/// Accepts calls and responds to each with 200 at once.
async fn run_endpoint(listener: TcpListener, stats: Arc<LoadStats>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let stats = stats.clone();
        tokio::spawn(async move {
            // A failure only makes the connection slower.
            let _ = stream.set_nodelay(true);
            let (mut buffer, mut responses) = (Vec::with_capacity(16 * 1024), Vec::new());
            while stream.read_buf(&mut buffer).await.is_ok_and(|read| read > 0) {
                let mut offset = 0;
                while let Some((head, total)) = message_lengths(&buffer[offset..]) {
                    let id = header_value(&buffer[offset..offset + head], b"request-id:");
                    if let Some(number) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) {
                        stats.delivered.fetch_add(1, Ordering::Relaxed);
                        stats.record_latency(&stats.delivery_us, number);
                        stats.in_flight_permits.add_permits(1);
                    }
                    responses.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    offset += total;
                }
                buffer.drain(..offset);
                if stream.write_all(&responses).await.is_err() {
                    return;
                }
                responses.clear();
            }
        });
    }
}

/// Submits messages over one connection until `until`. `interval` is the time between two messages of an open loop; a
/// closed loop has none.
async fn run_client(
    address: SocketAddr, stats: Arc<LoadStats>, body_bytes: usize, until: Instant, interval: Option<Duration>,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let body = "x".repeat(body_bytes);
    let mut buffer = Vec::with_capacity(4096);
    let mut next_at = Instant::now();
    while Instant::now() < until {
        if let Some(interval) = interval {
            tokio::time::sleep_until(next_at.into()).await;
            next_at += interval;
        }
        let Ok(permit) = stats.in_flight_permits.acquire().await else { return Ok(()) };
        let number = stats.next_number.fetch_add(1, Ordering::Relaxed);
        let Some(sent_at_us) = stats.sent_at_us.get(number as usize) else { return Ok(()) };
        let head = format!(
            "POST /bench HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {number:016x}\r\nRequest-Class: bench\r\n\
             Request-Timeout-Ms: 20000\r\nContent-Length: {}\r\nX-Consignee: dest=1\r\n\r\n{body}",
            body.len()
        );
        sent_at_us.store(stats.now_us(), Ordering::Relaxed);
        stream.write_all(head.as_bytes()).await?;
        buffer.clear();
        let (head, _) = loop {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(lengths) = message_lengths(&buffer) {
                break lengths;
            }
        };
        stats.record_latency(&stats.response_us, number);
        if buffer[..head].starts_with(b"HTTP/1.1 2") {
            // The endpoint returns the permit when the message arrives there.
            permit.forget();
        } else {
            stats.rejected.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// The CPU cores that this process may use.
fn available_cores() -> Vec<usize> {
    let set = sched_getaffinity(None).unwrap_or_else(|_| CpuSet::new());
    (0..CpuSet::MAX_CPU).filter(|cpu| set.is_set(*cpu)).collect()
}

/// Pins a thread, by default the calling one, to CPU cores. Prints a warning if that is not permitted.
fn pin_to_cores(thread_id: Option<u32>, cores: &[usize]) {
    let mut set = CpuSet::new();
    cores.iter().for_each(|core| set.set(*core));
    let thread_id = thread_id.and_then(|id| Pid::from_raw(id as i32));
    if sched_setaffinity(thread_id, &set).is_err() {
        eprintln!("cannot pin the process to a core: not permitted");
    }
}

/// Runs a future on a thread of its own, pinned to cores.
fn spawn_on_cores<T: Send + 'static>(
    cores: Vec<usize>, work: impl Future<Output = T> + Send + 'static,
) -> thread::JoinHandle<io::Result<T>> {
    thread::spawn(move || {
        pin_to_cores(None, &cores);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(runtime.block_on(work))
    })
}

/// One measurement of a process under load.
struct LoadResult {
    messages_per_s: f64,
    stats: Arc<LoadStats>,
}

/// Runs the load against the process that listens at `address`: an open loop at `target_rate` messages per second, or a
/// closed loop if there is none. Returns the endpoint's listener for the next measurement.
fn run_load(
    address: SocketAddr, endpoint_listener: std::net::TcpListener, settings: &BenchSettings,
    target_rate: Option<f64>,
) -> io::Result<(LoadResult, std::net::TcpListener)> {
    let stats = Arc::new(LoadStats {
        started_at: Instant::now(),
        sent_at_us: (0..MAX_MESSAGES).map(|_| AtomicU64::new(0)).collect(),
        next_number: AtomicU64::new(0),
        delivered: AtomicU64::new(0),
        rejected: AtomicU64::new(0),
        delivery_us: Mutex::new(histogram()),
        response_us: Mutex::new(histogram()),
        in_flight_permits: Semaphore::new(settings.slots),
        recording: AtomicBool::new(false),
    });
    let load_cores: Vec<usize> = available_cores().into_iter().skip(1).collect();
    let core_for = |n: usize| match load_cores.len() {
        0 => available_cores(),
        count => vec![load_cores[n % count]],
    };
    let next_listener = endpoint_listener.try_clone()?;
    let (stop_sender, stop_receiver) = tokio::sync::oneshot::channel::<()>();
    let endpoint_thread = {
        let stats = stats.clone();
        spawn_on_cores(core_for(0), async move {
            let listener = TcpListener::from_std(endpoint_listener)?;
            tokio::select! {
                () = run_endpoint(listener, stats) => {}
                _ = stop_receiver => {}
            }
            io::Result::Ok(())
        })
    };
    let until = Instant::now() + WARM_UP + Duration::from_secs_f64(settings.seconds);
    let interval = target_rate.map(|rate| Duration::from_secs_f64(settings.connections as f64 / rate));
    let client_threads: Vec<_> = (0..2usize)
        .map(|half| {
            let (stats, settings) = (stats.clone(), settings.clone());
            spawn_on_cores(core_for(1 + half), async move {
                let count = settings.connections / 2 + (settings.connections % 2) * half;
                let clients: Vec<_> = (0..count)
                    .map(|_| tokio::spawn(run_client(address, stats.clone(), settings.body, until, interval)))
                    .collect();
                for client in clients {
                    client.await.map_err(io::Error::other)??;
                }
                io::Result::Ok(())
            })
        })
        .collect();
    thread::sleep(WARM_UP);
    let (delivered_before, measured_from) = (stats.delivered.load(Ordering::Relaxed), Instant::now());
    stats.start_recording();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let messages_per_s = (stats.delivered.load(Ordering::Relaxed) - delivered_before) as f64
        / measured_from.elapsed().as_secs_f64();
    for thread in client_threads {
        thread.join().map_err(|_| io::Error::other("a load thread failed"))???;
    }
    let settle_until = Instant::now() + SETTLE_TIMEOUT;
    let accepted = || stats.next_number.load(Ordering::Relaxed) - stats.rejected.load(Ordering::Relaxed);
    while stats.delivered.load(Ordering::Relaxed) < accepted() && Instant::now() < settle_until {
        thread::sleep(Duration::from_millis(10));
    }
    // The endpoint's runtime ends here, which also closes its connections.
    let _ = stop_sender.send(());
    endpoint_thread.join().map_err(|_| io::Error::other("the endpoint's thread failed"))???;
    Ok((LoadResult { messages_per_s, stats }, next_listener))
}

fn copy_of(histogram: &Mutex<Histogram<u64>>) -> Histogram<u64> {
    histogram.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Measures a process that is already running: its highest rate, then its latencies at half of it.
fn measure_subject(
    pid: u32, address: SocketAddr, endpoint_listener: std::net::TcpListener, settings: &BenchSettings,
    journal: Option<&Path>,
) -> io::Result<(SubjectResults, std::net::TcpListener)> {
    let idle_kb = resident_kb(pid).unwrap_or(0);
    let journal_length = || journal.and_then(|path| std::fs::metadata(path).ok()).map(|meta| meta.len());
    let length_before = journal_length();
    let ticks_before = cpu_ticks(pid);
    let (full_load, endpoint_listener) = run_load(address, endpoint_listener, settings, None)?;
    let messages = full_load.stats.next_number.load(Ordering::Relaxed);
    let cpu_us = (cpu_ticks(pid) - ticks_before) as f64 * CLOCK_TICK_US / messages.max(1) as f64;
    let journal_bytes = length_before
        .zip(journal_length())
        .map(|(before, after)| (after - before) as f64 / messages.max(1) as f64);
    let loaded_kb = resident_kb(pid).unwrap_or(0);
    let (half_load, endpoint_listener) =
        run_load(address, endpoint_listener, settings, Some(full_load.messages_per_s / 2.0))?;
    let results = SubjectResults {
        messages_per_s: full_load.messages_per_s,
        rejected: full_load.stats.rejected.load(Ordering::Relaxed),
        response_us: copy_of(&half_load.stats.response_us),
        delivery_us: copy_of(&half_load.stats.delivery_us),
        resident_kb: (idle_kb, loaded_kb.max(resident_kb(pid).unwrap_or(0))),
        journal_bytes,
        cpu_us,
    };
    Ok((results, endpoint_listener))
}

/// Processor time of a process in clock ticks (proc(5), utime and stime).
fn cpu_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name may contain spaces; the fields after its closing parenthesis do not.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    fields.iter().skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// Binds a listener for the endpoint.
fn bind_endpoint() -> io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Measures the proxy, then the dispatcher.
///
/// # Errors
/// Returns an error if one of them does not start, or if the load fails.
pub fn run(program: &Path, dir: &Path, settings: &BenchSettings) -> io::Result<BenchResults> {
    // The platform runs on this runtime's threads while the current thread waits for the load.
    let runtime = crate::blocking::runtime_handle();
    let subject_cores = available_cores().into_iter().take(1).collect::<Vec<_>>();
    let recorder = Recorder::new(1_000_000);
    let start = |index: usize, path: &Path, arguments, listen: SocketAddr, config: &serde_json::Value| {
        let program = Program { path: path.to_path_buf(), arguments };
        let log = dir.join(format!("bench-{index}.log"));
        let process = Process::new(index, program, listen, dir, log, recorder.clone())?;
        process.write_config(config)?;
        Ok::<_, io::Error>(process)
    };
    let free_address = || std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?.local_addr();
    let (listener, endpoint) = bind_endpoint()?;
    let listen = free_address()?;
    let arguments = vec!["lab".into(), "proxy".into(), listen.to_string(), endpoint.to_string()];
    let proxy = start(0, program, arguments, listen, &json!({}))?;
    runtime.block_on(proxy.start(endpoint))?;
    let pid = proxy.pid().ok_or(io::ErrorKind::NotFound)?;
    pin_to_cores(Some(pid), &subject_cores);
    let (proxy_results, _) = measure_subject(pid, listen, listener, settings, None)?;
    stop(runtime, &proxy);

    let (listener, endpoint) = bind_endpoint()?;
    let (listen, control) = (free_address()?, free_address()?);
    let endpoint_entry = EndpointEntry {
        name: "bench".into(),
        addresses: vec![endpoint, endpoint],
        zone: "lab".into(),
        destination_kind: "one".into(),
        destination: 1,
        state: EndpointState::Up,
        rate_limit_per_s: 1e9,
    };
    let (platform, mut notices) = Platform::new(vec![endpoint_entry], recorder.clone());
    let discovery = runtime.block_on(platform.start_agent(1, SocketAddr::from(([127, 0, 0, 1], 0))))?;
    let config = json!({
        "name": "bench", "listen": listen.to_string(), "control": control.to_string(), "discovery": discovery.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 4096, "disk_mb": 16384},
        "known": platform.known_list(1),
        "settings": {
            "balancers": 1, "discovery": "automatic", "tick": settings.tick_ms / 1000.0, "weights": "off", "zone": 0,
            "zones": ["lab"], "kinds": ["one"],
            "family_info": {"call_slots": settings.slots, "kind_apart": [false], "kind_batch": [1],
                "loses_worth": "by_half"},
            "grades": [{"name": "bench", "deadline": 20.0, "effect": "read_like", "gain": 1.0, "goal_time": 2.0,
                "group": "all", "late_share": 0.3, "repeat_window": 15.0, "stream": false}],
            "limits": {"connect_timeout": 1.0, "keepalive": 15.0, "max_retry_after": 3.0, "open_cap": 20_000,
                "probes": false, "send_cap": 12},
            "report": {"fields": [], "source": "inline"},
            "safety": {"cold": 9.6, "cold_share": 0.2, "fall": 3.0, "must_ask_in": 10.0, "tip_multiple": 2.0},
        },
    });
    let dispatcher_program = settings.program.as_deref().unwrap_or(program);
    let dispatcher = start(1, dispatcher_program, Vec::new(), listen, &config)?;
    runtime.block_on(dispatcher.start(discovery))?;
    let pid = dispatcher.pid().ok_or(io::ErrorKind::NotFound)?;
    // Pins all its threads: the control port's thread shares the core.
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))?.flatten() {
        pin_to_cores(thread.file_name().to_str().and_then(|id| id.parse().ok()), &subject_cores);
    }
    runtime.block_on(async { sleep(Duration::from_millis(300)).await });
    let journal = dir.join("n1").join("state").join("journal");
    let (dispatcher_results, listener) = measure_subject(pid, listen, listener, settings, Some(&journal))?;
    // Older versions of the program have no control port.
    let mut control_port = None;
    if crate::blocking::runtime_handle().block_on(is_serving(control)) {
        let (without, load_result) =
            measure_latency(control, 0, || run_load(listen, listener, settings, None));
        let (with_stalled, load_result) = measure_latency(control, STALLED_CONNECTIONS, || {
            run_load(listen, load_result?.1, settings, None)
        });
        load_result?;
        control_port = Some((without, with_stalled));
    }
    stop(runtime, &dispatcher);
    let mut ended_by_notice = 0;
    while notices.try_recv().is_ok() {
        ended_by_notice += 1;
    }
    if ended_by_notice > 0 {
        eprintln!(
            "{ended_by_notice} messages were not delivered and ended by a notice: the results are not valid"
        );
    }
    Ok(BenchResults { proxy_results, dispatcher_results, control_port })
}

/// Kills a process and waits for its exit.
fn stop(runtime: &tokio::runtime::Handle, process: &Process) {
    process.signal(ProcessSignal::Kill);
    runtime.block_on(process.wait_for_exit(Duration::from_secs(10)));
}

/// Formats the results as a table.
pub fn format_results(
    BenchResults { proxy_results, dispatcher_results, control_port }: &BenchResults,
) -> String {
    let mut text = String::from(
        "              delivered/s  refused  CPU us/message  answered us p50/p99/p99.9  delivered us p50/p99/p99.9  resident MB idle/load  \
         journal B/message\n",
    );
    for (name, results) in [("plain proxy", proxy_results), ("dispatcher", dispatcher_results)] {
        let quantiles = |h: &Histogram<u64>| {
            format!(
                "{}/{}/{}",
                h.value_at_quantile(0.5),
                h.value_at_quantile(0.99),
                h.value_at_quantile(0.999)
            )
        };
        let mb = |kb: u64| kb as f64 / 1024.0;
        text.push_str(&format!(
            "{name:<12} {:>12.0}  {:>7}  {:>14.1}  {:>25}  {:>26}  {:>21}  {:>17}\n",
            results.messages_per_s,
            results.rejected,
            results.cpu_us,
            quantiles(&results.response_us),
            quantiles(&results.delivery_us),
            format!("{:.1}/{:.1}", mb(results.resident_kb.0), mb(results.resident_kb.1)),
            results.journal_bytes.map_or("-".into(), |bytes| format!("{bytes:.0}")),
        ));
    }
    let (rate, cpu) = (
        dispatcher_results.messages_per_s / proxy_results.messages_per_s,
        proxy_results.cpu_us / dispatcher_results.cpu_us,
    );
    text.push_str(&format!("ratio {rate:.2} by rate, {cpu:.2} by CPU\n"));
    if let Some((without, with_stalled)) = control_port {
        text.push_str(&format!(
            "control port under full load: {without}\n\
             with {STALLED_CONNECTIONS} stalled connections: {with_stalled}\n"
        ));
    }
    text
}
