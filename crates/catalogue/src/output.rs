//! The log's way to standard output.

use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

/// Lines written in any second.
const LINES_A_SECOND: u32 = 400;

/// The longest line in bytes. A pipe takes it whole or not at all.
const LINE_BYTES: usize = 4_000;

/// Lines are counted over this span.
const SPAN: Duration = Duration::from_secs(1);

/// Sends the log to standard output, at the level that the variable names or `info`.
pub fn init_logging(level_variable: &str) {
    let env = Env::new().filter_or(level_variable, "info");
    let output = Output {
        since: Instant::now(),
        written: 0,
        left_out: 0,
    };
    Builder::from_env(env)
        .target(Target::Pipe(Box::new(output)))
        .init();
}

struct Output {
    since: Instant,
    written: u32,
    left_out: u64,
}

impl Output {
    fn may_write(&mut self) -> bool {
        if SPAN <= self.since.elapsed() {
            self.since = Instant::now();
            self.written = 0;
        }
        self.written < LINES_A_SECOND && is_writable()
    }

    fn say_left_out(&mut self) {
        let count = std::mem::take(&mut self.left_out);
        if 0 < count {
            let line = format!("[1] left out lines={count}\n");
            let _ = io::stdout().lock().write_all(line.as_bytes());
        }
    }
}

impl Write for Output {
    /// Takes one line. It is left out if the reader is behind or the bound is reached.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.may_write() {
            self.left_out += 1;
            return Ok(line.len());
        }
        self.say_left_out();
        self.written += 1;
        let cut = &line[..line.len().min(LINE_BYTES)];
        let mut out = io::stdout().lock();
        out.write_all(cut)?;
        out.flush()?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether standard output takes a line now without waiting.
fn is_writable() -> bool {
    let out = io::stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    matches!(poll(&mut fds, Some(&now)), Ok(1)) && fds[0].revents().contains(PollFlags::OUT)
}
