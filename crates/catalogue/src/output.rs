//! Rate-limited log output that never blocks.

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

/// The most lines written in one [`RATE_PERIOD`].
const MAX_LINES_PER_PERIOD: u32 = 400;

/// The longest line in bytes. Up to `PIPE_BUF`, 4096 bytes, a write to a pipe is atomic.
const MAX_LINE_BYTES: usize = 4_000;

/// The period over which lines are counted.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Sends the log to standard output, at the level in the environment variable
/// `level_variable`, else at `info`.
pub fn init_logging(level_variable: &str) {
    let env = Env::new().filter_or(level_variable, "info");
    let output = RateLimitedOutput {
        period_start: Instant::now(),
        lines_written: 0,
        dropped: 0,
    };
    Builder::from_env(env)
        .target(Target::Pipe(Box::new(output)))
        .init();
}

/// Standard output as the target of the log.
struct RateLimitedOutput {
    period_start: Instant,
    lines_written: u32,
    dropped: u64,
}

impl RateLimitedOutput {
    fn may_write(&mut self) -> bool {
        if RATE_PERIOD <= self.period_start.elapsed() {
            self.period_start = Instant::now();
            self.lines_written = 0;
        }
        self.lines_written < MAX_LINES_PER_PERIOD && is_writable()
    }

    fn report_dropped(&mut self) {
        let count = std::mem::take(&mut self.dropped);
        if 0 < count {
            let line = format!("[1] left out lines={count}\n");
            let _ = io::stdout().lock().write_all(line.as_bytes());
        }
    }
}

impl Write for RateLimitedOutput {
    /// Writes one line. It is dropped if the reader is behind or the limit is reached.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.may_write() {
            self.dropped += 1;
            return Ok(line.len());
        }
        self.report_dropped();
        self.lines_written += 1;
        let truncated = &line[..line.len().min(MAX_LINE_BYTES)];
        let mut out = io::stdout().lock();
        out.write_all(truncated)?;
        out.flush()?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a line can be written to standard output now without blocking.
fn is_writable() -> bool {
    let out = io::stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    matches!(poll(&mut fds, Some(&now)), Ok(1)) && fds[0].revents().contains(PollFlags::OUT)
}
