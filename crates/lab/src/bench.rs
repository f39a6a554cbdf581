//! How fast a dispatcher on one core delivers, beside a plain proxy on the same core in the same run.
//!
//! The subject runs on a core of its own; whoever loads it and the endpoint share the others. The load is a closed
//! loop with a bound on what is under way, so that nothing is refused: what comes out is the highest rate that is
//! sustained. Latencies are taken in an open loop at half that rate.

use crate::control_latency::{Answers, asked};
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

/// Messages of one measure at most.
const MESSAGES_MOST: usize = 8_000_000;
/// Before a measure counts.
const WARM_UP: Duration = Duration::from_secs(1);
/// A tick of /proc: a hundredth of a second, on all that Linux runs on today.
const TICK_US: f64 = 10_000.0;
/// What is under way when the load ends is waited for so long.
const SETTLE: Duration = Duration::from_secs(10);

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// Seconds of each measure.
    pub seconds: f64,
    /// Bytes of a body.
    pub body: usize,
    /// Connections of the load.
    pub connections: usize,
    /// Calls that the dispatcher may have out.
    pub slots: usize,
    /// Length of its rounds in milliseconds.
    pub tick_ms: f64,
    /// The program that is measured as the dispatcher, in place of this one.
    pub program: Option<std::path::PathBuf>,
}

/// Callers of the door that say nothing whole, beside whom it is asked.
const BAD_CALLERS: usize = 200;

/// What came of a bench.
pub struct BenchResults {
    /// The plain proxy.
    pub beside: Figures,
    /// The dispatcher.
    pub measured: Figures,
    /// Its door at saturation, without and with bad callers; none where it has none.
    pub door: Option<(Answers, Answers)>,
}

/// One subject's figures.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Delivered a second, with nothing refused.
    pub rate: f64,
    /// Refused or failed answers in that measure.
    pub refused: u64,
    /// From the hand-in's first byte to its answer, at half the rate, in microseconds.
    pub answered: Histogram<u64>,
    /// From the hand-in's first byte to its arrival at the endpoint, at half the rate, in microseconds.
    pub delivered: Histogram<u64>,
    /// Resident memory before any load, and the highest under load, in KB.
    pub resident_kb: (u64, u64),
    /// Bytes of the journal for each message.
    pub written: Option<f64>,
    /// Microseconds of CPU for each message, of the process and of the kernel for it.
    pub cpu_us: f64,
}

fn histogram() -> Histogram<u64> {
    // One microsecond to a minute, at three figures: these bounds are always valid.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are valid")
}

struct Counts {
    began: Instant,
    sent_at: Vec<AtomicU64>,
    next: AtomicU64,
    arrived: AtomicU64,
    refused: AtomicU64,
    delivered: Mutex<Histogram<u64>>,
    answered: Mutex<Histogram<u64>>,
    under_way: Semaphore,
    counting: AtomicBool,
}

impl Counts {
    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn since(&self, number: u64) -> u64 {
        let sent = self.sent_at.get(number as usize).map_or(0, |at| at.load(Ordering::Relaxed));
        self.now().saturating_sub(sent).max(1)
    }

    fn note(&self, histogram: &Mutex<Histogram<u64>>, number: u64) {
        if self.counting.load(Ordering::Relaxed) {
            histogram.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(self.since(number));
        }
    }

    fn start_counting(&self) {
        for histogram in [&self.delivered, &self.answered] {
            histogram.lock().unwrap_or_else(PoisonError::into_inner).reset();
        }
        self.counting.store(true, Ordering::Relaxed);
    }
}

/// The next whole message in the buffer: its head's and its whole length; the rest is none of the bench's business.
fn message(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let length = field(&bytes[..head], b"content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
    (bytes.len() >= head + length).then_some((head, head + length))
}

/// A header's value, found by its name in lower case.
fn field<'a>(head: &'a [u8], name: &[u8]) -> Option<&'a str> {
    let lines = head.split(|byte| *byte == b'\n');
    let line = lines
        .filter_map(|line| line.split_at_checked(name.len()))
        .find(|(n, _)| n.eq_ignore_ascii_case(name));
    std::str::from_utf8(line?.1).ok().map(str::trim)
}

/// Takes calls and answers 200 at once.
async fn endpoint(listener: TcpListener, counts: Arc<Counts>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let counts = counts.clone();
        tokio::spawn(async move {
            // Where it can't be set it is only slower.
            let _ = stream.set_nodelay(true);
            let (mut buffer, mut out) = (Vec::with_capacity(16 * 1024), Vec::new());
            while stream.read_buf(&mut buffer).await.is_ok_and(|read| read > 0) {
                let mut at = 0;
                while let Some((head, whole)) = message(&buffer[at..]) {
                    let id = field(&buffer[at..at + head], b"request-id:");
                    if let Some(number) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) {
                        counts.arrived.fetch_add(1, Ordering::Relaxed);
                        counts.note(&counts.delivered, number);
                        counts.under_way.add_permits(1);
                    }
                    out.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    at += whole;
                }
                buffer.drain(..at);
                if stream.write_all(&out).await.is_err() {
                    return;
                }
                out.clear();
            }
        });
    }
}

/// One connection of the load, until `until`. `every`: in an open loop, the time from one message to the next.
async fn client(
    at: SocketAddr, counts: Arc<Counts>, body: usize, until: Instant, every: Option<Duration>,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let body = "x".repeat(body);
    let mut buffer = Vec::with_capacity(4096);
    let mut next = Instant::now();
    while Instant::now() < until {
        if let Some(every) = every {
            tokio::time::sleep_until(next.into()).await;
            next += every;
        }
        let Ok(permit) = counts.under_way.acquire().await else { return Ok(()) };
        let number = counts.next.fetch_add(1, Ordering::Relaxed);
        let Some(sent_at) = counts.sent_at.get(number as usize) else { return Ok(()) };
        let head = format!(
            "POST /bench HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {number:016x}\r\nRequest-Class: bench\r\n\
             Request-Timeout-Ms: 20000\r\nContent-Length: {}\r\nX-Consignee: dest=1\r\n\r\n{body}",
            body.len()
        );
        sent_at.store(counts.now(), Ordering::Relaxed);
        stream.write_all(head.as_bytes()).await?;
        buffer.clear();
        let (head, _) = loop {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(lengths) = message(&buffer) {
                break lengths;
            }
        };
        counts.note(&counts.answered, number);
        if buffer[..head].starts_with(b"HTTP/1.1 2") {
            // Given back by the endpoint, once it is there.
            permit.forget();
        } else {
            counts.refused.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// The cores this process may use.
fn cores() -> Vec<usize> {
    let set = sched_getaffinity(None).unwrap_or_else(|_| CpuSet::new());
    (0..CpuSet::MAX_CPU).filter(|cpu| set.is_set(*cpu)).collect()
}

/// Binds a process, or the calling thread, to cores. Where that is not allowed it runs unbound.
fn bind(pid: Option<u32>, cores: &[usize]) {
    let mut set = CpuSet::new();
    cores.iter().for_each(|core| set.set(*core));
    let pid = pid.and_then(|pid| Pid::from_raw(pid as i32));
    if sched_setaffinity(pid, &set).is_err() {
        eprintln!("no core of its own: not allowed here");
    }
}

fn on_core<T: Send + 'static>(
    cores: Vec<usize>, work: impl Future<Output = T> + Send + 'static,
) -> thread::JoinHandle<io::Result<T>> {
    thread::spawn(move || {
        bind(None, &cores);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(runtime.block_on(work))
    })
}

/// One measure of a subject that listens at `at`.
struct Measure {
    rate: f64,
    counts: Arc<Counts>,
}

/// Loads a subject for the time set.
fn load(
    at: SocketAddr, target: std::net::TcpListener, settings: &BenchSettings, rate: Option<f64>,
) -> io::Result<(Measure, std::net::TcpListener)> {
    let counts = Arc::new(Counts {
        began: Instant::now(),
        sent_at: (0..MESSAGES_MOST).map(|_| AtomicU64::new(0)).collect(),
        next: AtomicU64::new(0),
        arrived: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        delivered: Mutex::new(histogram()),
        answered: Mutex::new(histogram()),
        under_way: Semaphore::new(settings.slots),
        counting: AtomicBool::new(false),
    });
    let others: Vec<usize> = cores().into_iter().skip(1).collect();
    let share = |n: usize| match others.len() {
        0 => cores(),
        count => vec![others[n % count]],
    };
    let again = target.try_clone()?;
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let receiving = {
        let counts = counts.clone();
        on_core(share(0), async move {
            let listener = TcpListener::from_std(target)?;
            tokio::select! {
                () = endpoint(listener, counts) => {}
                _ = stopped => {}
            }
            io::Result::Ok(())
        })
    };
    let until = Instant::now() + WARM_UP + Duration::from_secs_f64(settings.seconds);
    let every = rate.map(|rate| Duration::from_secs_f64(settings.connections as f64 / rate));
    let sending: Vec<_> = (0..2usize)
        .map(|half| {
            let (counts, settings) = (counts.clone(), settings.clone());
            on_core(share(1 + half), async move {
                let count = settings.connections / 2 + (settings.connections % 2) * half;
                let clients: Vec<_> = (0..count)
                    .map(|_| tokio::spawn(client(at, counts.clone(), settings.body, until, every)))
                    .collect();
                for client in clients {
                    client.await.map_err(io::Error::other)??;
                }
                io::Result::Ok(())
            })
        })
        .collect();
    thread::sleep(WARM_UP);
    let (before, since) = (counts.arrived.load(Ordering::Relaxed), Instant::now());
    counts.start_counting();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let rate = (counts.arrived.load(Ordering::Relaxed) - before) as f64 / since.elapsed().as_secs_f64();
    for thread in sending {
        thread.join().map_err(|_| io::Error::other("a load thread failed"))???;
    }
    let settled = Instant::now() + SETTLE;
    let sent = || counts.next.load(Ordering::Relaxed) - counts.refused.load(Ordering::Relaxed);
    while counts.arrived.load(Ordering::Relaxed) < sent() && Instant::now() < settled {
        thread::sleep(Duration::from_millis(10));
    }
    // The endpoint ends where it is: its connections with it.
    let _ = stop.send(());
    receiving.join().map_err(|_| io::Error::other("the endpoint's thread failed"))???;
    Ok((Measure { rate, counts }, again))
}

fn take(histogram: &Mutex<Histogram<u64>>) -> Histogram<u64> {
    histogram.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Measures a subject that runs already.
fn figures(
    pid: u32, at: SocketAddr, target: std::net::TcpListener, settings: &BenchSettings, journal: Option<&Path>,
) -> io::Result<(Figures, std::net::TcpListener)> {
    let idle = resident_kb(pid).unwrap_or(0);
    let length = || journal.and_then(|path| std::fs::metadata(path).ok()).map(|meta| meta.len());
    let before = length();
    let ticks = cpu_ticks(pid);
    let (full, target) = load(at, target, settings, None)?;
    let messages = full.counts.next.load(Ordering::Relaxed);
    let cpu_us = (cpu_ticks(pid) - ticks) as f64 * TICK_US / messages.max(1) as f64;
    let written =
        before.zip(length()).map(|(before, after)| (after - before) as f64 / messages.max(1) as f64);
    let loaded = resident_kb(pid).unwrap_or(0);
    let (half, target) = load(at, target, settings, Some(full.rate / 2.0))?;
    let figures = Figures {
        rate: full.rate,
        refused: full.counts.refused.load(Ordering::Relaxed),
        answered: take(&half.counts.answered),
        delivered: take(&half.counts.delivered),
        resident_kb: (idle, loaded.max(resident_kb(pid).unwrap_or(0))),
        written,
        cpu_us,
    };
    Ok((figures, target))
}

/// CPU time of a process in the kernel's ticks (proc(5), utime and stime).
fn cpu_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may hold blanks; what follows its bracket does not.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    fields.iter().skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn target() -> io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    listener.set_nonblocking(true)?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

/// Measures the proxy, then the dispatcher.
///
/// # Errors
/// What keeps either from starting or ends the load.
pub fn run(program: &Path, folder: &Path, settings: &BenchSettings) -> io::Result<BenchResults> {
    // The platform goes on while this thread waits for the load.
    let runtime = crate::blocking::runtime_handle();
    let subject = cores().into_iter().take(1).collect::<Vec<_>>();
    let recorder = Recorder::new(1_000_000);
    let start = |index: usize, path: &Path, arguments, listen: SocketAddr, config: &serde_json::Value| {
        let program = Program { path: path.to_path_buf(), arguments };
        let log = folder.join(format!("bench-{index}.log"));
        let process = Process::new(index, program, listen, folder, log, recorder.clone())?;
        process.write_config(config)?;
        Ok::<_, io::Error>(process)
    };
    let free = || std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?.local_addr();
    let (listener, to) = target()?;
    let listen = free()?;
    let arguments = vec!["lab".into(), "proxy".into(), listen.to_string(), to.to_string()];
    let proxy = start(0, program, arguments, listen, &json!({}))?;
    runtime.block_on(proxy.start(to))?;
    let pid = proxy.pid().ok_or(io::ErrorKind::NotFound)?;
    bind(Some(pid), &subject);
    let (beside, _) = figures(pid, listen, listener, settings, None)?;
    stop(runtime, &proxy);

    let (listener, to) = target()?;
    let (listen, control) = (free()?, free()?);
    let host = EndpointEntry {
        name: "bench".into(),
        addresses: vec![to, to],
        zone: "lab".into(),
        destination_kind: "one".into(),
        destination: 1,
        state: EndpointState::Up,
        rate_limit_per_s: 1e9,
    };
    let (platform, mut notices) = Platform::new(vec![host], recorder.clone());
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
    let measured = settings.program.as_deref().unwrap_or(program);
    let dispatcher = start(1, measured, Vec::new(), listen, &config)?;
    runtime.block_on(dispatcher.start(discovery))?;
    let pid = dispatcher.pid().ok_or(io::ErrorKind::NotFound)?;
    // All its threads: the door's shares the core.
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))?.flatten() {
        bind(thread.file_name().to_str().and_then(|id| id.parse().ok()), &subject);
    }
    runtime.block_on(async { sleep(Duration::from_millis(300)).await });
    let journal = folder.join("n1").join("state").join("journal");
    let (measured, listener) = figures(pid, listen, listener, settings, Some(&journal))?;
    // A program before there was a door is not asked.
    let mut door = None;
    if crate::blocking::runtime_handle().block_on(is_serving(control)) {
        let (alone, loaded) = asked(control, 0, || load(listen, listener, settings, None));
        let (among, loaded) = asked(control, BAD_CALLERS, || load(listen, loaded?.1, settings, None));
        loaded?;
        door = Some((alone, among));
    }
    stop(runtime, &dispatcher);
    let mut ended = 0;
    while notices.try_recv().is_ok() {
        ended += 1;
    }
    if ended > 0 {
        eprintln!("{ended} messages ended by a notice: the figures are not of a clean run");
    }
    Ok(BenchResults { beside, measured, door })
}

fn stop(runtime: &tokio::runtime::Handle, process: &Process) {
    process.signal(ProcessSignal::Kill);
    runtime.block_on(process.wait_for_exit(Duration::from_secs(10)));
}

/// The figures as text.
pub fn format_results(BenchResults { beside, measured, door }: &BenchResults) -> String {
    let mut text = String::from(
        "              delivered/s  refused  CPU us/message  answered us p50/p99/p99.9  delivered us p50/p99/p99.9  resident MB idle/load  \
         journal B/message\n",
    );
    for (name, f) in [("plain proxy", beside), ("dispatcher", measured)] {
        let three = |h: &Histogram<u64>| {
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
            f.rate,
            f.refused,
            f.cpu_us,
            three(&f.answered),
            three(&f.delivered),
            format!("{:.1}/{:.1}", mb(f.resident_kb.0), mb(f.resident_kb.1)),
            f.written.map_or("-".into(), |bytes| format!("{bytes:.0}")),
        ));
    }
    let (rate, cpu) = (measured.rate / beside.rate, beside.cpu_us / measured.cpu_us);
    text.push_str(&format!("ratio {rate:.2} by rate, {cpu:.2} by CPU\n"));
    if let Some((alone, among)) = door {
        text.push_str(&format!("door at saturation: {alone}\nbeside {BAD_CALLERS} bad callers: {among}\n"));
    }
    text
}
