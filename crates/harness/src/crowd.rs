//! Callers that send as much as they are let, stay open, and read nothing.
//!
//! All connections of a [`Crowd`] are served by the thread that calls it, in turn and without
//! blocking, so that they are under way at the same time.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// How long making a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long nothing must move until a crowd counts as settled.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Time between two rounds in which nothing moved.
const ROUND_PAUSE: Duration = Duration::from_millis(5);

/// Bytes that a connection writes at most before the next one has its turn.
const TURN_BYTES: usize = 64 * 1024;

/// What each caller of a crowd sends.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Sent first.
    pub head: Vec<u8>,
    /// Sent `count` times after the head.
    pub piece: Vec<u8>,
    /// How often the piece is sent.
    pub count: usize,
    /// Sent last.
    pub rest: Vec<u8>,
}

/// Callers that stay open.
#[derive(Debug)]
pub struct Crowd {
    script: Script,
    members: Vec<Member>,
}

/// One caller.
#[derive(Debug)]
struct Member {
    /// None once the connection has ended.
    stream: Option<TcpStream>,
    sent: usize,
    /// Whether the answer is read. Otherwise it stays where it is.
    reads: bool,
    answer: Vec<u8>,
}

impl Script {
    /// A request whose body is announced with `announced` bytes, of which `sent` are sent.
    pub fn announced(head: &str, announced: usize, sent: usize) -> Self {
        let piece = vec![b'x'; TURN_BYTES];
        Self {
            head: format!("{head}Content-Length: {announced}\r\n\r\n").into_bytes(),
            count: sent / piece.len(),
            rest: vec![b'x'; sent % piece.len()],
            piece,
        }
    }

    /// A request whose body comes in `count` chunks of `len` bytes and does not end.
    pub fn chunked(head: &str, len: usize, count: usize) -> Self {
        let piece = format!("{len:x}\r\n{}\r\n", "x".repeat(len));
        Self {
            head: format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes(),
            piece: piece.into_bytes(),
            count,
            rest: Vec::new(),
        }
    }

    /// A head of `len` bytes that does not end.
    pub fn endless_head(head: &str, len: usize) -> Self {
        let line = "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
        Self {
            head: head.as_bytes().to_vec(),
            piece: line.as_bytes().to_vec(),
            count: len.saturating_sub(head.len()) / line.len(),
            rest: Vec::new(),
        }
    }

    /// The number of bytes.
    fn len(&self) -> usize {
        self.head.len() + self.piece.len() * self.count + self.rest.len()
    }

    /// The bytes from `at` on, as far as they lie together.
    fn bytes_from(&self, at: usize) -> &[u8] {
        if at < self.head.len() {
            return &self.head[at..];
        }
        let at = at - self.head.len();
        let pieces_len = self.piece.len() * self.count;
        if at < pieces_len {
            return &self.piece[at % self.piece.len()..];
        }
        &self.rest[at - pieces_len..]
    }
}

impl Member {
    fn connect(addr: SocketAddr, reads: bool) -> Self {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT);
        let stream = stream.and_then(|stream| {
            stream.set_nonblocking(true)?;
            Ok(stream)
        });
        Self {
            // A refused connection is a caller that was turned away.
            stream: stream.ok(),
            sent: 0,
            reads,
            answer: Vec::new(),
        }
    }

    /// Sends and reads as much as is possible now. Returns whether anything moved.
    fn take_turn(&mut self, script: &Script) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let turn = send(stream, script, &mut self.sent).and_then(|has_sent| {
            let has_read = self.reads && receive(stream, &mut self.answer)?;
            Ok(has_sent || has_read)
        });
        turn.unwrap_or_else(|_| {
            self.stream = None;
            true
        })
    }
}

fn send(stream: &mut TcpStream, script: &Script, sent: &mut usize) -> io::Result<bool> {
    let end = script.len().min(*sent + TURN_BYTES);
    let start = *sent;
    while *sent < end {
        match stream.write(script.bytes_from(*sent)) {
            Ok(len) => *sent += len,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            // What was answered before the connection ended is still to be read.
            Err(_) if stream.peek(&mut [0]).is_ok_and(|len| 0 < len) => break,
            Err(e) => return Err(e),
        }
    }
    Ok(start < *sent)
}

fn receive(stream: &mut TcpStream, answer: &mut Vec<u8>) -> io::Result<bool> {
    let mut buf = [0; 16 * 1024];
    match stream.read(&mut buf) {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(len) => {
            answer.extend_from_slice(&buf[..len]);
            Ok(true)
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(e),
    }
}

impl Crowd {
    /// Connects `count` callers that send `script` and read no answer.
    pub fn open(addr: SocketAddr, count: usize, script: Script) -> Self {
        Self::connect(addr, count, script, false)
    }

    /// Connects `count` callers that send `script` and read what they are answered.
    pub fn open_reading(addr: SocketAddr, count: usize, script: Script) -> Self {
        Self::connect(addr, count, script, true)
    }

    fn connect(addr: SocketAddr, count: usize, script: Script, reads: bool) -> Self {
        let members = (0..count).map(|_| Member::connect(addr, reads));
        Self {
            members: members.collect(),
            script,
        }
    }

    /// Sends until nothing has moved for a while, for at most `time_limit`.
    pub fn settle(&mut self, time_limit: Duration) {
        let start = Instant::now();
        let mut moved_at = start;
        while moved_at.elapsed() < QUIET_TIME && start.elapsed() < time_limit {
            let script = &self.script;
            let turns = self.members.iter_mut().map(|m| m.take_turn(script));
            match turns.fold(false, |any, moved| any | moved) {
                true => moved_at = Instant::now(),
                false => std::thread::sleep(ROUND_PAUSE),
            }
        }
    }

    /// The statuses of the answers that were read; 0 for none.
    pub fn statuses(&self) -> Vec<u16> {
        let status = |member: &Member| {
            let text = String::from_utf8_lossy(&member.answer);
            let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
            status.unwrap_or(0)
        };
        self.members.iter().map(status).collect()
    }

    /// How many connections have not ended.
    pub fn open_connections(&self) -> usize {
        self.members.iter().filter(|m| m.stream.is_some()).count()
    }
}
