//! What is known of one connection.

use std::time::Duration;

use derive_more::Display;

use crate::machine::is_small;
use base::Time;

/// How long a peer may neither send nor take anything before its connection counts as stalled.
/// Longer than a packet that is lost twice.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a peer must send so that it counts as progress, in bytes. Slow links bring more in the
/// time after which a connection counts as stalled.
const MIN_PROGRESS: usize = 1_024;

/// The id of a connection. Later ones are greater.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("connection {_0}")]
pub struct ConnectionId(pub(crate) u64);

/// One open connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    /// What it holds, in bytes.
    pub held: u64,
    /// Since when it has been between two requests. None while there is one.
    pub idle_since: Option<Time>,
    /// The body of a request that arrives.
    pub arrival: Option<Arrival>,
    /// Since when its peer has taken nothing of what is to be written.
    pub unwritten_since: Option<Time>,
    /// Whether it is to be closed.
    pub is_given_up: bool,
}

/// The body of a request that arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When enough of it last came.
    progress_at: Time,
    /// What came since then, in bytes.
    bytes: usize,
}

impl Arrival {
    pub fn begin(now: Time) -> Self {
        Self {
            progress_at: now,
            bytes: 0,
        }
    }

    pub fn record(&mut self, bytes: usize, now: Time) {
        self.bytes += bytes;
        if MIN_PROGRESS <= self.bytes {
            self.progress_at = now;
            self.bytes = 0;
        }
    }
}

impl Connection {
    pub fn open(now: Time) -> Self {
        Self {
            held: 0,
            idle_since: Some(now),
            arrival: None,
            unwritten_since: None,
            is_given_up: false,
        }
    }

    /// Since when nothing moved that the peer has to move, if that is too long.
    pub fn stalled_since(&self, now: Time) -> Option<Time> {
        let arrival = self.arrival.map(|arrival| arrival.progress_at);
        let since = [arrival, self.unwritten_since]
            .into_iter()
            .flatten()
            .min()?;
        (STALL_TIME <= now.since(since)).then_some(since)
    }

    /// Whether a large body of a request arrives.
    pub fn has_large_arrival(&self) -> bool {
        self.arrival.is_some() && !is_small(self.held)
    }
}
