//! Dispatchers as processes: started, watched, signalled, started again.

use crate::http::Wire;
use crate::record::{Recorder, Sig, What};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
    /// Its end is what it was told.
    asked: Arc<AtomicBool>,
    /// The process that runs.
    running: watch::Sender<Option<u32>>,
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
        let (asked, running) = (Arc::default(), watch::Sender::new(None));
        Ok(Process { index, program, listen, folder, log, recorder, asked, running })
    }

    /// The folder that outlasts its processes.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
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
        let log = OpenOptions::new().append(true).open(&self.log)?;
        self.recorder.add(What::Started { dispatcher: self.index });
        self.asked.store(false, Ordering::SeqCst);
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .env("GW_NAME", format!("n{}", self.index))
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_STATE", self.folder.join("state"))
            .env("GW_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.running.send_replace(child.id());
        let (asked, running, recorder) = (self.asked.clone(), self.running.clone(), self.recorder.clone());
        let index = self.index;
        tokio::spawn(async move {
            let status = child.wait().await;
            let told = asked.load(Ordering::SeqCst);
            // A process that was told to stop has not crashed where it says that all went well, or was killed.
            let well = status.is_ok_and(|status| status.code().is_none_or(|code| code == 0));
            recorder.add(What::Exited { dispatcher: index, asked: told && well });
            running.send_replace(None);
        });
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
            self.asked.store(true, Ordering::SeqCst);
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
