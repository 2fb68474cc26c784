//! A loopback proxy between the nodes: what they send each other is passed on, delayed,
//! lost or answered with a reset.

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

/// Bytes that are read at once.
const CHUNK: usize = 16 * 1024;

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// They are passed on.
    #[default]
    Passes,
    /// They are passed on after so long.
    Late(Duration),
    /// They are lost, and their sender is not told.
    Lost,
    /// Their connection is reset.
    Reset,
}

/// The troubles of one direction, by the step they belong to. The latest one counts.
#[derive(Clone, Debug, Default)]
struct Ways(Arc<Mutex<BTreeMap<usize, Way>>>);

impl Ways {
    fn now(&self) -> Way {
        let ways = self.0.lock().expect("no holder panics");
        ways.last_key_value()
            .map(|(_, way)| *way)
            .unwrap_or_default()
    }

    fn set(&self, step: usize, way: Way) {
        self.0.lock().expect("no holder panics").insert(step, way);
    }

    fn clear(&self, step: usize) {
        self.0.lock().expect("no holder panics").remove(&step);
    }
}

/// Connections that one node opens to another one.
#[derive(Clone, Debug, Default)]
struct Link {
    there: Ways,
    back: Ways,
}

/// All links, one for each pair of nodes.
#[derive(Debug, Default)]
pub struct Links {
    all: BTreeMap<(NodeId, NodeId), Link>,
}

impl Links {
    /// Listens for what `from` opens to `to`, and gives where. Replaces an earlier link.
    pub fn bind(&mut self, from: NodeId, to: NodeId, addr: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let own = listener.local_addr()?;
        let link = Link::default();
        self.all.insert((from, to), link.clone());
        std::thread::spawn(move || {
            let served = Runtime::new().and_then(|rt| rt.block_on(serve(listener, addr, link)));
            if let Err(e) = served {
                eprintln!("the link of {from} to {to} ended: {e}");
            }
        });
        Ok(own)
    }

    /// Puts a trouble on what `from` sends `to`, whoever opened the connection.
    pub fn set(&self, step: usize, from: NodeId, to: NodeId, way: Way) {
        for ways in self.ways(from, to) {
            ways.set(step, way);
        }
    }

    /// Ends the trouble of a step, wherever it is.
    pub fn clear(&self, step: usize) {
        for link in self.all.values() {
            link.there.clear(step);
            link.back.clear(step);
        }
    }

    fn ways(&self, from: NodeId, to: NodeId) -> impl Iterator<Item = &Ways> {
        let there = self.all.get(&(from, to)).map(|link| &link.there);
        let back = self.all.get(&(to, from)).map(|link| &link.back);
        there.into_iter().chain(back)
    }
}

async fn serve(listener: TcpListener, addr: SocketAddr, link: Link) -> io::Result<()> {
    let listener = compio::net::TcpListener::from_std(listener)?;
    loop {
        let (near, _) = listener.accept().await?;
        if link.there.now() == Way::Reset {
            near.set_zero_linger()?;
            continue;
        }
        let link = link.clone();
        compio::runtime::spawn(async move {
            // A node that does not listen shows as a connection that closes at once.
            if let Ok(far) = TcpStream::connect(addr).await {
                let there = pump(near.clone(), far.clone(), link.there);
                compio::runtime::spawn(there).detach();
                pump(far, near, link.back).await;
            }
        })
        .detach();
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, ways: Ways) {
    let mut buf = Vec::with_capacity(CHUNK);
    loop {
        let BufResult(read, filled) = from.read(buf).await;
        match (read, ways.now()) {
            (Ok(0) | Err(_), _) => break,
            (Ok(_), Way::Reset) => {
                let _ = to.set_zero_linger();
                let _ = from.set_zero_linger();
                break;
            }
            (Ok(_), Way::Lost) => {
                buf = filled;
                buf.clear();
                continue;
            }
            (Ok(_), Way::Late(span)) => compio::time::sleep(span).await,
            (Ok(_), Way::Passes) => {}
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
