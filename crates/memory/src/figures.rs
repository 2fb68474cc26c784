//! What operators see of the memory and the connections of a process.

use derive_more::Display;

use base::ByteSize;

/// What is held, and who was refused since the process started.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(
    "held_kb={} connections={connections} refused_requests={refused_requests} \
     refused_answers={refused_answers} given_up={given_up} displaced={displaced} \
     turned_away={turned_away}",
    held.0 / 1_024
)]
pub struct Figures {
    /// What requests and answers hold now.
    pub held: ByteSize,
    /// Open connections at all listeners.
    pub connections: usize,
    /// Requests that were refused for want of memory.
    pub refused_requests: u64,
    /// Answers that could not be held.
    pub refused_answers: u64,
    /// Connections that were given up so that others could hold something.
    pub given_up: u64,
    /// Connections that were closed because new ones came.
    pub displaced: u64,
    /// Connections that were not accepted.
    pub turned_away: u64,
}

impl Figures {
    /// What was counted since `earlier`, with what is held now.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            refused_requests: self.refused_requests - earlier.refused_requests,
            refused_answers: self.refused_answers - earlier.refused_answers,
            given_up: self.given_up - earlier.given_up,
            displaced: self.displaced - earlier.displaced,
            turned_away: self.turned_away - earlier.turned_away,
            ..*self
        }
    }

    /// How often somebody was refused or given up, with the names of the metrics' labels.
    pub fn shortages(&self) -> [(&'static str, u64); 5] {
        [
            ("refused_request", self.refused_requests),
            ("refused_answer", self.refused_answers),
            ("given_up", self.given_up),
            ("displaced", self.displaced),
            ("turned_away", self.turned_away),
        ]
    }

    /// Whether anybody was refused or given up.
    pub fn show_shortage(&self) -> bool {
        self.shortages().iter().any(|(_, count)| 0 < *count)
    }
}
