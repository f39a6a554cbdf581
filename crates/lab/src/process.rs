//! Dispatchers as processes: starts, signals, observes and restarts them, and records what happens to them.

use crate::http::HttpConnection;
use crate::record::{Event, ProcessSignal, Recorder};
use fawnspoke_control::client::send_request;
use fawnspoke_control::protocol::{Request, Response};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::process::Command;
use tokio::sync::watch;
use tokio::time::sleep;

/// A dispatcher that is not ready within this time has failed to start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The program that is run as a dispatcher.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

/// One dispatcher, across all its operating system processes.
pub struct Process {
    index: usize,
    program: Program,
    listen: SocketAddr,
    dir: PathBuf,
    log: PathBuf,
    recorder: Recorder,
    /// Whether the exit of the current process is expected.
    exit_expected: Mutex<Arc<AtomicBool>>,
    /// Id of the current process.
    current_pid: watch::Sender<Option<u32>>,
    /// Address of the current process's control port.
    control: Mutex<Option<SocketAddr>>,
}

/// A process that was started for a dispatcher and may take over from the current one.
pub struct SpawnedProcess {
    /// Its process id.
    pub pid: u32,
    /// Address of its control port.
    pub control: SocketAddr,
    exit_expected: Arc<AtomicBool>,
    exited: watch::Receiver<bool>,
}

impl SpawnedProcess {
    /// Whether it has exited.
    pub fn has_exited(&self) -> bool {
        *self.exited.borrow()
    }

    /// Kills it; the exit counts as expected.
    pub fn kill(&self) {
        self.exit_expected.store(true, Ordering::SeqCst);
        if let Some(pid) = Pid::from_raw(self.pid as i32) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Whether the process with this control port reports that it is serving.
pub async fn is_serving(control: SocketAddr) -> bool {
    let query = tokio::task::spawn_blocking(move || {
        send_request(control, &Request::Status, Duration::from_millis(500))
    });
    matches!(query.await, Ok(Ok(Response::Success(_))))
}

impl Process {
    /// A dispatcher that keeps its state below `dir`.
    ///
    /// # Errors
    /// Those of the directory.
    pub fn new(
        index: usize, program: Program, listen: SocketAddr, dir: &Path, log: PathBuf, recorder: Recorder,
    ) -> io::Result<Process> {
        let dir = dir.join(format!("n{index}"));
        fs::create_dir_all(dir.join("state"))?;
        File::create(&log)?;
        let (exit_expected, current_pid, control) =
            (Mutex::default(), watch::Sender::new(None), Mutex::default());
        Ok(Process { index, program, listen, dir, log, recorder, exit_expected, current_pid, control })
    }

    /// The state directory, which persists across its processes.
    pub fn state_dir(&self) -> PathBuf {
        self.dir.join("state")
    }

    /// The directory of everything that belongs to the dispatcher.
    pub fn dir(&self) -> PathBuf {
        self.dir.clone()
    }

    /// Its index.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Whether it reports itself as ready to clients.
    pub async fn is_ready(&self) -> bool {
        self.query_readiness().await
    }

    /// The address to which clients connect.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// Id of the current process.
    pub fn pid(&self) -> Option<u32> {
        *self.current_pid.borrow()
    }

    /// Replaces the configuration file atomically.
    ///
    /// # Errors
    /// Those of the file.
    pub fn write_config(&self, config: &Value) -> io::Result<()> {
        let next = self.dir.join("config.next");
        fs::write(&next, config.to_string())?;
        fs::rename(next, self.dir.join("config.json"))
    }

    /// Starts it and waits until it is ready.
    ///
    /// # Errors
    /// Those of starting; `TimedOut` where it isn't ready within 20 s; `Other` where it exits before.
    pub async fn start(&self, discovery: SocketAddr) -> io::Result<()> {
        self.recorder.add(Event::ProcessStarted { dispatcher: self.index });
        let (spawned, index) = (self.spawn(discovery, None)?, self.index);
        self.switch_to(&spawned);
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.query_readiness().await {
            if self.pid().is_none() {
                let message = format!(
                    "dispatcher {index} exited before it was ready; see its log {}",
                    self.log.display()
                );
                return Err(io::Error::other(message));
            }
            if Instant::now() > deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("dispatcher {index} is not ready"),
                ));
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.recorder.add(Event::ProcessReady { dispatcher: index });
        Ok(())
    }

    /// Starts a process, beside the current one if there is one. `control`: the address of its control port.
    ///
    /// # Errors
    /// Those of starting.
    pub fn spawn(&self, discovery: SocketAddr, control: Option<SocketAddr>) -> io::Result<SpawnedProcess> {
        let log = OpenOptions::new().append(true).open(&self.log)?;
        let mut command = Command::new(&self.program.path);
        command
            .args(&self.program.arguments)
            .env("GW_NAME", format!("n{}", self.index))
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_STATE", self.dir.join("state"))
            .env("GW_CONFIG", self.dir.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        let fleet = self.dir.join("fleet.hcl");
        if fleet.exists() {
            command.env("FAWNSPOKE_FLEET", fleet);
        }
        if let Ok(rate) = fs::read_to_string(self.dir.join("clock")) {
            command.env("FAWNSPOKE_CLOCK_RATE", rate);
        }
        if let Some(control) = control {
            command.env("GW_CONTROL", control.to_string());
        }
        let mut child = command.spawn()?;
        let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
        let exit_expected = Arc::new(AtomicBool::new(false));
        let (expected_on_exit, current_pid, recorder) =
            (exit_expected.clone(), self.current_pid.clone(), self.recorder.clone());
        let (index, (exit_sender, exited)) = (self.index, watch::channel(false));
        tokio::spawn(async move {
            let status = child.wait().await;
            let expected_on_exit = expected_on_exit.load(Ordering::SeqCst);
            // An expected exit counts as clean where the status is 0 or the process was killed by a signal.
            let clean = status.is_ok_and(|status| status.code().is_none_or(|code| code == 0));
            recorder.add(Event::ProcessExited { dispatcher: index, expected: expected_on_exit && clean });
            exit_sender.send_replace(true);
            current_pid.send_if_modified(|current| current.take_if(|current| *current == pid).is_some());
        });
        let control = control.unwrap_or(self.listen);
        Ok(SpawnedProcess { pid, control, exit_expected, exited })
    }

    /// Makes this process the current one; the exit of the previous one is recorded on its own.
    pub fn switch_to(&self, spawned: &SpawnedProcess) {
        *self.exit_expected.lock().unwrap_or_else(PoisonError::into_inner) = spawned.exit_expected.clone();
        *self.control.lock().unwrap_or_else(PoisonError::into_inner) = Some(spawned.control);
        self.current_pid.send_replace(Some(spawned.pid));
    }

    /// Address of the current process's control port.
    pub fn control_address(&self) -> Option<SocketAddr> {
        *self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the exit of the current process as expected.
    pub fn expect_exit(&self) {
        self.exit_expected.lock().unwrap_or_else(PoisonError::into_inner).store(true, Ordering::SeqCst);
    }

    /// Asks the readiness endpoint.
    async fn query_readiness(&self) -> bool {
        let query = async {
            let mut connection = HttpConnection::connect(self.listen, Duration::from_millis(500)).await?;
            connection
                .write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                .await?;
            connection.read_response().await
        };
        let response = tokio::time::timeout(Duration::from_secs(1), query).await;
        matches!(response, Ok(Ok(response)) if response.status() == 200)
    }

    /// Sends it a signal; does nothing where it isn't running.
    pub fn signal(&self, signal: ProcessSignal) {
        let Some(pid) = self.pid().and_then(|id| Pid::from_raw(id as i32)) else { return };
        if matches!(signal, ProcessSignal::Kill | ProcessSignal::Term) {
            self.expect_exit();
        }
        // Recorded first, so that its consequences come later in the record.
        self.recorder.add(Event::SignalSent { dispatcher: self.index, signal });
        let signal_number = match signal {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Cont => Signal::CONT,
            ProcessSignal::Hup => Signal::HUP,
        };
        // It may have just exited by itself; its exit is recorded separately.
        let _ = kill_process(pid, signal_number);
    }

    /// Waits for the current process to exit; returns whether it did within the limit.
    pub async fn wait_for_exit(&self, limit: Duration) -> bool {
        let mut running_pid = self.current_pid.subscribe();
        tokio::time::timeout(limit, running_pid.wait_for(Option::is_none)).await.is_ok()
    }

    /// Its resident memory in KB, as reported by the kernel.
    pub fn resident_kb(&self) -> Option<u64> {
        resident_kb(self.pid()?)
    }
}

/// Resident memory of a process in KB.
pub fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}
