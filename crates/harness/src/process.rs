//! A child process, which is killed by its id when it is dropped.

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

/// A child process, whose output goes to a log file.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace. Its output is appended to the file `log`.
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

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits at most `time_limit` for the end.
    pub fn stop(&mut self, time_limit: Duration) -> Option<ExitStatus> {
        self.signal(Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < time_limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The output of the process so far.
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

/// The path of a program of this workspace, beside the current one.
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new("."));
    let beside = folder.join(program);
    match beside.exists() {
        true => beside,
        // Test programs are in a folder below that of the other programs.
        false => folder.join("..").join(program),
    }
}
