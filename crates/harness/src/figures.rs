//! What the operating system says of a process.

use std::fs;
use std::io;

/// The most resident memory that a process has had, in bytes.
pub fn peak_memory(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().split(' ').next()?.parse::<u64>().ok());
    let kilobytes = kilobytes.ok_or_else(|| io::Error::other("the process has no memory"))?;
    Ok(kilobytes * 1_024)
}

/// The open file descriptors of a process.
pub fn open_descriptors(pid: u32) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{pid}/fd"))?.count())
}
