//! Free loopback ports, below the range for outgoing connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::OnceLock;

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// A loopback address whose port is free for TCP and UDP, not given twice.
pub fn free_addr() -> SocketAddr {
    static NEXT: OnceLock<Mutex<u16>> = OnceLock::new();
    let start = || Mutex::new(fastrand::u16(FIRST_PORT..LAST_PORT));
    let next = NEXT.get_or_init(start);
    let mut next = next.lock().expect("no holder panics");
    loop {
        *next = if *next < LAST_PORT {
            *next + 1
        } else {
            FIRST_PORT
        };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, *next));
        let is_free = TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok();
        if is_free {
            return addr;
        }
    }
}

/// The first of `count` consecutive free ports.
pub fn consecutive_free_ports(count: u16) -> u16 {
    loop {
        let first = free_addr().port();
        let ports: Vec<u16> = (1..count).map(|_| free_addr().port()).collect();
        if ports.iter().copied().eq(first + 1..first + count) {
            return first;
        }
    }
}
