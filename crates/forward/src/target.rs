//! A process that requests are sent to.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Health;
use crate::RecentSends;
use base::CentreName;
use base::Incarnation;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use base::span_from_secs;
use fleet::Intake;

/// The part of the reported backlog of other entry hosts that counts. The rest has been read
/// since, or was sent elsewhere.
const REPORTED_SHARE: f64 = 0.4;

/// What other entry hosts send to a target that this one sends to, as a multiple, in the time
/// that reports take. They choose by the same reports.
const SENDS_OF_OTHERS: f64 = 2.0;

/// The shortest silence after which a target has stalled while streams run there. Events come more
/// often than that, even if the target reads prompts of the usual lengths between them.
const STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// The same while no stream has produced an event yet. Longer, because the requests may be waiting
/// for a slot at the target.
const FIRST_EVENT_STALL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The part of the longest prompt's time that may lie between two events of a stream: those of a
/// few steps, each of which reads a piece of the prompt.
const LONGEST_PIECE: f64 = 0.5;

/// How much longer than expected a target may read. It may be a little slower than configured.
const READING_FACTOR: f64 = 1.25;

/// Time that a target may need for its first event beside the reading of prompts.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(350);

/// A process in one of its incarnations.
pub type TargetId = (UpstreamId, Incarnation);

/// A process that requests are sent to, with its load and health as this entry host knows
/// them.
#[derive(Clone, Debug)]
pub struct Target {
    /// The process's id, the same in all its incarnations.
    pub id: UpstreamId,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The address at which the target takes requests.
    pub addr: SocketAddr,
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// The model that the target serves, if it is the first host of a replica.
    pub model: Option<ModelName>,
    /// Whether the target takes new requests.
    pub intake: Intake,
    /// The target's data centre.
    pub centre: CentreName,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Time factor of the target's model: how long its answers take, relative to a model with
    /// factor 1.
    pub time_factor: f64,
    /// Requests of this entry host at the target.
    pub own_requests: u32,
    /// Requests of other entry hosts at the target, as last reported.
    pub other_requests: u32,
    /// The target's recent health.
    pub health: Health,
    /// Time that the target needs to read the prompts of this entry host's requests that
    /// have no output yet, in seconds.
    pub own_prompt_secs: f64,
    /// The longest of these prompts, or more, in seconds.
    pub longest_prompt_secs: f64,
    /// The same as [`Self::own_prompt_secs`] for the requests of other entry hosts, as last
    /// reported, in seconds.
    pub other_prompt_secs: f64,
    /// What this entry host sent lately.
    pub recent_sends: RecentSends,
    /// Streams of this entry host at the target that have produced an event.
    pub streams: u32,
    /// When the target last produced output for this entry host.
    pub last_output: Time,
    /// When this entry host last began to send to the target after having no request there.
    pub busy_since: Time,
}

impl Target {
    /// A process of a plain service that has no requests and of which nothing else is known.
    pub fn idle(
        (id, incarnation): TargetId,
        addr: SocketAddr,
        service: ServiceName,
        centre: CentreName,
        slots: u32,
    ) -> Self {
        Self {
            id,
            incarnation,
            addr,
            service,
            model: None,
            intake: Intake::Open,
            centre,
            slots,
            time_factor: 1.0,
            own_requests: 0,
            other_requests: 0,
            health: Health::default(),
            own_prompt_secs: 0.0,
            longest_prompt_secs: 0.0,
            other_prompt_secs: 0.0,
            recent_sends: RecentSends::default(),
            streams: 0,
            last_output: Time::ZERO,
            busy_since: Time::ZERO,
        }
    }

    /// The prompts that the target has probably not read yet, in seconds of reading: those of
    /// this entry host, part of the reported ones of others, and what others probably sent
    /// since their reports.
    pub fn expected_backlog(&self, now: Time) -> f64 {
        let others_since = SENDS_OF_OTHERS * self.recent_sends.prompt_secs(now);
        self.own_prompt_secs + REPORTED_SHARE * self.other_prompt_secs + others_since
    }

    /// How long the target may produce no output for this entry host while it gets on with its
    /// requests: it reads all prompts that it has before the first event of a stream, and pieces of
    /// them between two events.
    pub fn longest_silence(&self) -> Duration {
        if 0 < self.streams {
            let piece_secs = LONGEST_PIECE * self.longest_prompt_secs;
            return STALL_TIMEOUT.max(span_from_secs(piece_secs));
        }
        let reading_secs = READING_FACTOR * (self.own_prompt_secs + self.other_prompt_secs);
        let reading = span_from_secs(reading_secs) + FIRST_EVENT_MARGIN;
        FIRST_EVENT_STALL_TIMEOUT.max(reading)
    }

    /// Requests of all entry hosts at the target, as far as this one knows.
    pub fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Whether the target has answered this entry host.
    pub fn is_proven(&self) -> bool {
        self.last_output != Time::ZERO
    }

    /// Whether all slots of the target are taken.
    pub fn is_full(&self) -> bool {
        self.slots <= self.load()
    }
}
