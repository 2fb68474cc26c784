//! One process that requests are sent to.

use std::net::SocketAddr;

use crate::Health;
use base::CentreName;
use base::Incarnation;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;

/// A process in one of its lives.
pub type TargetId = (UpstreamId, Incarnation);

/// One process that requests are sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The process.
    pub id: UpstreamId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// The model that it serves, if it is the first host of a replica.
    pub model: Option<ModelName>,
    /// Its data centre.
    pub centre: CentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Factor on its times, of its model.
    pub time_factor: f64,
    /// Own requests there.
    pub own_requests: u32,
    /// Requests of other entry hosts there, as last told.
    pub other_requests: u32,
    /// How it did lately.
    pub health: Health,
    /// What the prompts of own requests take that have given nothing yet, in seconds.
    pub own_prompt_secs: f64,
    /// The same of other entry hosts' requests, as last told.
    pub other_prompt_secs: f64,
    /// Own streams there that have given events.
    pub streams: u32,
    /// When it last gave this entry host anything.
    pub last_output: Time,
    /// Own requests there that wait for something since then.
    pub busy_since: Time,
}

impl Target {
    /// Requests there, as far as this entry host can know.
    pub fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Whether it runs as many requests as it can.
    pub fn is_full(&self) -> bool {
        self.slots <= self.load()
    }
}
