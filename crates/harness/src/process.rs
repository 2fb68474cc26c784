//! One process that was started here, ended by its id when dropped.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A running process. Its output goes to a file.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace. Its log is added to `log`.
    pub fn spawn(program: &str, args: &[String], log: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program_path(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Self {
            child,
            log: log.to_owned(),
        })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop and waits at most `limit`.
    pub fn stop(&mut self, limit: Duration) -> Option<ExitStatus> {
        self.signal(Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether it no longer runs.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// What it wrote so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.kill();
    }
}

/// A program of this workspace, beside the one that runs.
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new("."));
    let beside = folder.join(program);
    match beside.exists() {
        true => beside,
        // Tests run from a folder below the programs'.
        false => folder.join("..").join(program),
    }
}
