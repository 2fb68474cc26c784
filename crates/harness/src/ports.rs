//! Free ports of loopback, below the range that outgoing connections take theirs from.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::OnceLock;

const FIRST: u16 = 10_000;
const LAST: u16 = 32_000;

/// A port that is free for TCP and UDP, not given twice by this process.
pub fn free_addr() -> SocketAddr {
    static NEXT: OnceLock<Mutex<u16>> = OnceLock::new();
    let start = || Mutex::new(fastrand::u16(FIRST..LAST));
    let next = NEXT.get_or_init(start);
    let mut next = next.lock().expect("no holder panics");
    loop {
        *next = if *next < LAST { *next + 1 } else { FIRST };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, *next));
        let is_free = TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok();
        if is_free {
            return addr;
        }
    }
}

/// The first of `count` ports in a row that are free.
pub fn consecutive_free_ports(count: u16) -> u16 {
    loop {
        let first = free_addr().port();
        let ports: Vec<u16> = (1..count).map(|_| free_addr().port()).collect();
        if ports.iter().copied().eq(first + 1..first + count) {
            return first;
        }
    }
}
