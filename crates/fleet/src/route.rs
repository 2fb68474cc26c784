//! Routes, which map a host name and a path prefix to services.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::RouteName;
use base::ServiceName;

/// Whether and how requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request may run at most once.
    Once,
    /// The answer is a stream of events. A request runs at most once, unless its stream can
    /// be resumed.
    Stream {
        /// Whether another upstream can continue the stream after its last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Whether an answer was within its route's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Punctuality {
    /// All targets were met.
    OnTime,
    /// The first event, or a whole answer, came too late.
    LateStart,
    /// Two events were too far apart.
    LongGap,
}

impl Punctuality {
    /// What was late, for the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::OnTime => "no",
            Self::LateStart => "start",
            Self::LongGap => "gap",
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// The weight of its share, relative to the route's other services.
    pub weight: u32,
}

/// A route, which maps a host name and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: RouteName,
    /// The host name that requests carry.
    pub host: String,
    /// The prefix of the requests' paths.
    pub prefix: String,
    /// Whether and how requests may be retried.
    pub kind: RequestKind,
    /// The longest time until the answer is complete.
    pub timeout: Duration,
    /// The target time until the answer, or until its first event.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// The longest time between two events that still counts as on time.
    #[serde(rename = "pause_aim")]
    pub event_gap_target: Option<Duration>,
    /// The priority of its requests. Zero is the most urgent.
    pub priority: u8,
    /// The services and their shares of the requests.
    pub shares: Vec<ServiceShare>,
    /// How many upstreams a request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key for this route.
    pub public: bool,
}

impl Route {
    /// Whether an answer was on time, by the time until its first event, or until a whole
    /// answer, and by the longest time between two events.
    pub fn punctuality(&self, first: Duration, longest_gap: Duration) -> Punctuality {
        if self.latency_target < first {
            return Punctuality::LateStart;
        }
        match self.event_gap_target {
            Some(target) if target < longest_gap => Punctuality::LongGap,
            _ => Punctuality::OnTime,
        }
    }

    /// The service for a number that is drawn uniformly from `0..total_weight`.
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

    /// The sum of the weights of all shares.
    pub fn total_weight(&self) -> u64 {
        self.shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum()
    }
}
