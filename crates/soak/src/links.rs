//! A loopback TCP proxy between the nodes. It forwards, delays or drops the bytes that they
//! send each other, or resets their connections.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWrite;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::runtime::Runtime;

use base::NodeId;

/// The most bytes that are read from a connection at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does with the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Forwards them at once.
    #[default]
    Forward,
    /// Forwards them after this time.
    Delay(Duration),
    /// Drops them without an error to the sender.
    Drop,
    /// Resets their connection.
    Reset,
}

/// The faults in effect on one direction, by their index in the plan. The highest index wins.
#[derive(Clone, Debug, Default)]
struct DirectionFaults(Arc<Mutex<BTreeMap<usize, Delivery>>>);

impl DirectionFaults {
    fn current(&self) -> Delivery {
        let direction_faults = self.0.lock().expect("no holder panics");
        direction_faults
            .last_key_value()
            .map(|(_, delivery)| *delivery)
            .unwrap_or_default()
    }

    fn set(&self, fault_index: usize, delivery: Delivery) {
        self.0
            .lock()
            .expect("no holder panics")
            .insert(fault_index, delivery);
    }

    fn clear(&self, fault_index: usize) {
        self.0
            .lock()
            .expect("no holder panics")
            .remove(&fault_index);
    }
}

/// The connections that one node opens to another: `forward` is what the opener sends.
#[derive(Clone, Debug, Default)]
struct Link {
    forward: DirectionFaults,
    backward: DirectionFaults,
}

/// The proxies between the nodes, one for each ordered pair.
#[derive(Debug, Default)]
pub struct Links {
    all: BTreeMap<(NodeId, NodeId), Link>,
}

impl Links {
    /// Starts a proxy for the connections that `from` opens to `to` at `addr`, and returns the
    /// proxy's address. Replaces an earlier proxy of this pair.
    pub fn bind(&mut self, from: NodeId, to: NodeId, addr: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let proxy_addr = listener.local_addr()?;
        let link = Link::default();
        self.all.insert((from, to), link.clone());
        std::thread::spawn(move || {
            let served = Runtime::new().and_then(|rt| rt.block_on(serve(listener, addr, link)));
            if let Err(e) = served {
                eprintln!("the proxy from {from} to {to} stopped: {e}");
            }
        });
        Ok(proxy_addr)
    }

    /// Sets a fault on what `from` sends `to`, whichever of them opened the connection.
    pub fn set(&self, fault_index: usize, from: NodeId, to: NodeId, delivery: Delivery) {
        for direction_faults in self.faults_on(from, to) {
            direction_faults.set(fault_index, delivery);
        }
    }

    /// Ends the fault with this index on all links.
    pub fn clear(&self, fault_index: usize) {
        for link in self.all.values() {
            link.forward.clear(fault_index);
            link.backward.clear(fault_index);
        }
    }

    /// The faults on what `from` sends `to`, on connections that either of them opened.
    fn faults_on(&self, from: NodeId, to: NodeId) -> impl Iterator<Item = &DirectionFaults> {
        let forward = self.all.get(&(from, to)).map(|link| &link.forward);
        let backward = self.all.get(&(to, from)).map(|link| &link.backward);
        forward.into_iter().chain(backward)
    }
}

async fn serve(listener: TcpListener, addr: SocketAddr, link: Link) -> io::Result<()> {
    let listener = compio::net::TcpListener::from_std(listener)?;
    loop {
        let (accepted, _) = listener.accept().await?;
        if link.forward.current() == Delivery::Reset {
            accepted.set_zero_linger()?;
            continue;
        }
        let link = link.clone();
        compio::runtime::spawn(async move {
            // If the node does not listen, the opener's connection closes at once.
            if let Ok(connected) = TcpStream::connect(addr).await {
                let forward = pump(accepted.clone(), connected.clone(), link.forward);
                compio::runtime::spawn(forward).detach();
                pump(connected, accepted, link.backward).await;
            }
        })
        .detach();
    }
}

/// Copies bytes from one connection to the other until either closes, and applies the faults.
async fn pump(mut from: TcpStream, mut to: TcpStream, direction_faults: DirectionFaults) {
    let mut buf = Vec::with_capacity(READ_BUFFER_BYTES);
    loop {
        let BufResult(read, filled) = from.read(buf).await;
        match (read, direction_faults.current()) {
            (Ok(0) | Err(_), _) => break,
            (Ok(_), Delivery::Reset) => {
                let _ = to.set_zero_linger();
                let _ = from.set_zero_linger();
                break;
            }
            (Ok(_), Delivery::Drop) => {
                buf = filled;
                buf.clear();
                continue;
            }
            (Ok(_), Delivery::Delay(delay)) => compio::time::sleep(delay).await,
            (Ok(_), Delivery::Forward) => {}
        }
        let BufResult(written, sent) = to.write_all(filled).await;
        if written.is_err() {
            break;
        }
        buf = sent;
        buf.clear();
    }
    let _ = to.shutdown().await;
    let _ = from.shutdown().await;
}
