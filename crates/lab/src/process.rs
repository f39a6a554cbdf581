//! Dispatchers as processes: started, watched, signalled, started again.

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

/// A dispatcher that is not ready by then has failed to start.
const READY_MOST: Duration = Duration::from_secs(20);

/// What is run as a dispatcher.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

/// One dispatcher, over all its lives.
pub struct Process {
    index: usize,
    program: Program,
    listen: SocketAddr,
    folder: PathBuf,
    log: PathBuf,
    recorder: Recorder,
    /// The end of the process that runs is what it was told.
    asked: Mutex<Arc<AtomicBool>>,
    /// The process that runs.
    running: watch::Sender<Option<u32>>,
    /// Where operators call the process that runs.
    control: Mutex<Option<SocketAddr>>,
}

/// A process that was started beside the one that runs, to take over.
pub struct SpawnedProcess {
    /// Its id.
    pub pid: u32,
    /// Where operators call it.
    pub control: SocketAddr,
    asked: Arc<AtomicBool>,
    ended: watch::Receiver<bool>,
}

impl SpawnedProcess {
    /// Whether it has ended.
    pub fn has_exited(&self) -> bool {
        *self.ended.borrow()
    }

    /// Kills it, as nobody may be surprised at.
    pub fn kill(&self) {
        self.asked.store(true, Ordering::SeqCst);
        if let Some(pid) = Pid::from_raw(self.pid as i32) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Whether the process behind a door says that it serves.
pub async fn is_serving(control: SocketAddr) -> bool {
    let asked = tokio::task::spawn_blocking(move || {
        send_request(control, &Request::Status, Duration::from_millis(500))
    });
    matches!(asked.await, Ok(Ok(Response::Success(_))))
}

impl Process {
    /// A dispatcher that keeps its state below `folder`.
    ///
    /// # Errors
    /// Those of the folder.
    pub fn new(
        index: usize, program: Program, listen: SocketAddr, folder: &Path, log: PathBuf, recorder: Recorder,
    ) -> io::Result<Process> {
        let folder = folder.join(format!("n{index}"));
        fs::create_dir_all(folder.join("state"))?;
        File::create(&log)?;
        let (asked, running, control) = (Mutex::default(), watch::Sender::new(None), Mutex::default());
        Ok(Process { index, program, listen, folder, log, recorder, asked, running, control })
    }

    /// The folder that outlasts its processes.
    pub fn state_dir(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// The folder of all that is its own.
    pub fn dir(&self) -> PathBuf {
        self.folder.clone()
    }

    /// Its number.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Whether clients are answered that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.ready().await
    }

    /// Where clients connect.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// The id of the process that runs.
    pub fn pid(&self) -> Option<u32> {
        *self.running.borrow()
    }

    /// Replaces the file of its configuration at one go.
    ///
    /// # Errors
    /// Those of the file.
    pub fn write_config(&self, config: &Value) -> io::Result<()> {
        let next = self.folder.join("config.next");
        fs::write(&next, config.to_string())?;
        fs::rename(next, self.folder.join("config.json"))
    }

    /// Starts it, and waits until it is ready.
    ///
    /// # Errors
    /// Those of starting; `TimedOut` where it isn't ready in 20 s; `Other` where it ends before.
    pub async fn start(&self, discovery: SocketAddr) -> io::Result<()> {
        self.recorder.add(Event::ProcessStarted { dispatcher: self.index });
        let (second, index) = (self.spawn(discovery, None)?, self.index);
        self.switch_to(&second);
        let until = Instant::now() + READY_MOST;
        while !self.ready().await {
            if self.pid().is_none() {
                let text =
                    format!("dispatcher {index} ended before it was ready; its log: {}", self.log.display());
                return Err(io::Error::other(text));
            }
            if Instant::now() > until {
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

    /// Starts one more process beside the one that runs, if any. `control`: where operators call it.
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
            .env("GW_STATE", self.folder.join("state"))
            .env("GW_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        let fleet = self.folder.join("fleet.hcl");
        if fleet.exists() {
            command.env("FAWNSPOKE_FLEET", fleet);
        }
        if let Ok(rate) = fs::read_to_string(self.folder.join("clock")) {
            command.env("FAWNSPOKE_CLOCK_RATE", rate);
        }
        if let Some(control) = control {
            command.env("GW_CONTROL", control.to_string());
        }
        let mut child = command.spawn()?;
        let id = child.id().ok_or(io::ErrorKind::NotFound)?;
        let asked = Arc::new(AtomicBool::new(false));
        let (told, running, recorder) = (asked.clone(), self.running.clone(), self.recorder.clone());
        let (index, (ends, ended)) = (self.index, watch::channel(false));
        tokio::spawn(async move {
            let status = child.wait().await;
            let told = told.load(Ordering::SeqCst);
            // A process that was told to stop has not crashed where it says that all went well, or was killed.
            let well = status.is_ok_and(|status| status.code().is_none_or(|code| code == 0));
            recorder.add(Event::ProcessExited { dispatcher: index, expected: told && well });
            ends.send_replace(true);
            running.send_if_modified(|now| now.take_if(|now| *now == id).is_some());
        });
        let control = control.unwrap_or(self.listen);
        Ok(SpawnedProcess { pid: id, control, asked, ended })
    }

    /// The process that is to be the one that runs from now on; the one before is told of by its end.
    pub fn switch_to(&self, second: &SpawnedProcess) {
        *self.asked.lock().unwrap_or_else(PoisonError::into_inner) = second.asked.clone();
        *self.control.lock().unwrap_or_else(PoisonError::into_inner) = Some(second.control);
        self.running.send_replace(Some(second.pid));
    }

    /// Where operators call the process that runs.
    pub fn control_address(&self) -> Option<SocketAddr> {
        *self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The end of the process that runs is no surprise from now on.
    pub fn expect_exit(&self) {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).store(true, Ordering::SeqCst);
    }

    async fn ready(&self) -> bool {
        let asked = async {
            let mut wire = HttpConnection::connect(self.listen, Duration::from_millis(500)).await?;
            wire.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                .await?;
            wire.read_response().await
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
        matches!(answer, Ok(Ok(answer)) if answer.status() == 200)
    }

    /// Sends it a signal; nothing where it does not run.
    pub fn signal(&self, signal: ProcessSignal) {
        let Some(pid) = self.pid().and_then(|id| Pid::from_raw(id as i32)) else { return };
        if matches!(signal, ProcessSignal::Kill | ProcessSignal::Term) {
            self.expect_exit();
        }
        // On record first: what follows from it comes later in the record, too.
        self.recorder.add(Event::SignalSent { dispatcher: self.index, signal });
        let number = match signal {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Cont => Signal::CONT,
            ProcessSignal::Hup => Signal::HUP,
        };
        // One that has just ended by itself is told of by its end.
        let _ = kill_process(pid, number);
    }

    /// Waits for it to end; whether it did so within the limit.
    pub async fn wait_for_exit(&self, limit: Duration) -> bool {
        let mut running = self.running.subscribe();
        tokio::time::timeout(limit, running.wait_for(Option::is_none)).await.is_ok()
    }

    /// Resident memory in KB, as the kernel counts it now.
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
