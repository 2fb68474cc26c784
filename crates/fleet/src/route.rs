//! Where requests of one host and path may go.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::RouteName;
use base::ServiceName;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a series of events. It runs once, unless it can be resumed.
    Stream {
        /// Whether another upstream can go on after the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the others.
    pub weight: u32,
}

/// Where requests of one host and path may go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host that requests name.
    pub host: String,
    /// The beginning of their paths.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time until the final answer.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is worth most.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// The longest pause between events that still counts as on time.
    #[serde(rename = "pause_aim")]
    pub event_gap_target: Option<Duration>,
    /// Its rank. Zero is the most urgent.
    pub priority: u8,
    /// The services, with their parts.
    pub shares: Vec<ServiceShare>,
    /// How many upstreams one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The service for a number that is drawn evenly from `0..total_weight`.
    pub fn service_for_draw(&self, drawn: u64) -> Option<&ServiceName> {
        let mut left = drawn;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// All parts together.
    pub fn total_weight(&self) -> u64 {
        self.shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum()
    }
}
