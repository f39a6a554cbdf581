//! Dispatchers as processes: started, watched, signalled, started again.

use crate::http::Wire;
use crate::record::{Recorder, Sig, What};
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
pub struct Second {
    /// Its id.
    pub id: u32,
    /// Where operators call it.
    pub control: SocketAddr,
    asked: Arc<AtomicBool>,
    ended: watch::Receiver<bool>,
}

impl Second {
    /// Whether it has ended.
    pub fn ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Kills it, as nobody may be surprised at.
    pub fn kill(&self) {
        self.asked.store(true, Ordering::SeqCst);
        if let Some(pid) = Pid::from_raw(self.id as i32) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Whether the process behind a door says that it serves.
pub async fn serves(control: SocketAddr) -> bool {
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
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// The folder of all that is its own.
    pub fn folder(&self) -> PathBuf {
        self.folder.clone()
    }

    /// Its number.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Whether clients are answered that it is ready.
    pub async fn answers(&self) -> bool {
        self.ready().await
    }

    /// Where clients connect.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// The id of the process that runs.
    pub fn id(&self) -> Option<u32> {
        *self.running.borrow()
    }

    /// Replaces the file of its configuration at one go.
    ///
    /// # Errors
    /// Those of the file.
    pub fn configure(&self, config: &Value) -> io::Result<()> {
        let next = self.folder.join("config.next");
        fs::write(&next, config.to_string())?;
        fs::rename(next, self.folder.join("config.json"))
    }

    /// Starts it, and waits until it is ready.
    ///
    /// # Errors
    /// Those of starting; `TimedOut` where it isn't ready in 20 s; `Other` where it ends before.
    pub async fn start(&self, discovery: SocketAddr) -> io::Result<()> {
        self.recorder.add(What::Started { dispatcher: self.index });
        let (second, index) = (self.second(discovery, None)?, self.index);
        self.follow(&second);
        let until = Instant::now() + READY_MOST;
        while !self.ready().await {
            if self.id().is_none() {
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
        self.recorder.add(What::Ready { dispatcher: index });
        Ok(())
    }

    /// Starts one more process beside the one that runs, if any. `control`: where operators call it.
    ///
    /// # Errors
    /// Those of starting.
    pub fn second(&self, discovery: SocketAddr, control: Option<SocketAddr>) -> io::Result<Second> {
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
            recorder.add(What::Exited { dispatcher: index, asked: told && well });
            ends.send_replace(true);
            running.send_if_modified(|now| now.take_if(|now| *now == id).is_some());
        });
        let control = control.unwrap_or(self.listen);
        Ok(Second { id, control, asked, ended })
    }

    /// The process that is to be the one that runs from now on; the one before is told of by its end.
    pub fn follow(&self, second: &Second) {
        *self.asked.lock().unwrap_or_else(PoisonError::into_inner) = second.asked.clone();
        *self.control.lock().unwrap_or_else(PoisonError::into_inner) = Some(second.control);
        self.running.send_replace(Some(second.id));
    }

    /// Where operators call the process that runs.
    pub fn control(&self) -> Option<SocketAddr> {
        *self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The end of the process that runs is no surprise from now on.
    pub fn may_end(&self) {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).store(true, Ordering::SeqCst);
    }

    async fn ready(&self) -> bool {
        let asked = async {
            let mut wire = Wire::connect(self.listen, Duration::from_millis(500)).await?;
            wire.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                .await?;
            wire.answer().await
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
        matches!(answer, Ok(Ok(answer)) if answer.status() == 200)
    }

    /// Sends it a signal; nothing where it does not run.
    pub fn signal(&self, signal: Sig) {
        let Some(pid) = self.id().and_then(|id| Pid::from_raw(id as i32)) else { return };
        if matches!(signal, Sig::Kill | Sig::Term) {
            self.may_end();
        }
        // On record first: what follows from it comes later in the record, too.
        self.recorder.add(What::Signalled { dispatcher: self.index, signal });
        let number = match signal {
            Sig::Kill => Signal::KILL,
            Sig::Term => Signal::TERM,
            Sig::Stop => Signal::STOP,
            Sig::Cont => Signal::CONT,
            Sig::Hup => Signal::HUP,
        };
        // One that has just ended by itself is told of by its end.
        let _ = kill_process(pid, number);
    }

    /// Waits for it to end; whether it did so within the limit.
    pub async fn ended(&self, limit: Duration) -> bool {
        let mut running = self.running.subscribe();
        tokio::time::timeout(limit, running.wait_for(Option::is_none)).await.is_ok()
    }

    /// Resident memory in KB, as the kernel counts it now.
    pub fn resident_kb(&self) -> Option<u64> {
        resident_kb(self.id()?)
    }
}

/// Resident memory of a process in KB.
pub fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}
