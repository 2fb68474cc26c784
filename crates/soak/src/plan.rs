//! The faults of a run, generated from its seed.

use std::time::Duration;

use derive_more::Display;
use fastrand::Rng;

use base::HostId;
use base::NodeId;

/// How many processes of each kind a run starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// Nodes that vote, one in each data centre.
    pub voters: u32,
    /// Entry nodes, which have no disk.
    pub entries: u32,
    /// Hosts, each with an engine.
    pub hosts: u32,
    /// Callers that send requests during the whole run.
    pub callers: u32,
}

impl ClusterSize {
    /// The default size with `scale` times the entry nodes, hosts and callers.
    pub fn scaled(scale: u32) -> Self {
        let default_size = Self::default();
        Self {
            voters: default_size.voters,
            entries: default_size.entries * scale,
            hosts: default_size.hosts * scale,
            callers: default_size.callers * scale,
        }
    }

    /// The data centre of the node or host with this number.
    pub fn centre_of(self, n: u32) -> u32 {
        1 + n % self.voters
    }

    /// The identifiers of all nodes.
    pub fn nodes(self) -> impl Iterator<Item = NodeId> {
        (1..=self.voters + self.entries).map(NodeId)
    }
}

impl Default for ClusterSize {
    fn default() -> Self {
        Self {
            voters: 3,
            entries: 3,
            hosts: 5,
            callers: 12,
        }
    }
}

/// A kind of fault, with what it applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// A node is killed and started again.
    #[display("kill {_0}")]
    Kill(NodeId),
    /// A node is asked to stop and started again.
    #[display("stop {_0}")]
    Stop(NodeId),
    /// A node is suspended and resumed.
    #[display("pause {_0}")]
    Pause(NodeId),
    /// A voter is killed, loses its data folder and is started again. At most once in a run.
    #[display("wipe {_0}")]
    Wipe(NodeId),
    /// A voter is killed, an unfinished write is added to its log, and it is started again.
    #[display("tear {_0}")]
    Tear(NodeId),
    /// A host is killed and started again.
    #[display("kill {_0}")]
    KillHost(HostId),
    /// A host is suspended and resumed.
    #[display("pause {_0}")]
    PauseHost(HostId),
    /// Everything between a node and all others is lost.
    #[display("cut off {_0}")]
    CutOff(NodeId),
    /// What one node sends another is lost; the other direction works.
    #[display("lose what {from} sends {to}")]
    OneWay {
        /// The sending node.
        from: NodeId,
        /// The node that does not receive it.
        to: NodeId,
    },
    /// What one node sends another is delayed.
    #[display("delay what {from} sends {to}")]
    Slow {
        /// The sending node.
        from: NodeId,
        /// The node that receives it late.
        to: NodeId,
    },
    /// Connections that carry what one node sends another are reset.
    #[display("reset {from} to {to}")]
    Reset {
        /// The sending node.
        from: NodeId,
        /// The receiving node.
        to: NodeId,
    },
    /// The service with this index is suspended and resumed.
    #[display("pause service {_0}")]
    PauseService(usize),
    /// An operator changes the rules.
    #[display("change the rules")]
    Rules,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{:6.2} s for {:5.2} s: {fault}", starts_at.as_secs_f64(), duration.as_secs_f64())]
pub struct ScheduledFault {
    /// When it begins, as time since the run starts to inject faults.
    pub starts_at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// All faults of a run, in the order of their starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed that it was generated from.
    pub seed: u64,
    /// The processes that the run starts.
    pub size: ClusterSize,
    /// Time in which faults begin. They may last beyond it.
    pub span: Duration,
    /// The faults with their times.
    pub faults: Vec<ScheduledFault>,
}

/// Mean time between the starts of two faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);

/// The longest duration of a fault, longer than every lease and timeout of the product.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(9);

impl Plan {
    /// Generates a plan. The same arguments give the same plan.
    pub fn generate(seed: u64, size: ClusterSize, span: Duration) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut faults = Vec::new();
        let mut starts_at = Duration::ZERO;
        let mut may_wipe = true;
        loop {
            starts_at += MEAN_FAULT_INTERVAL.mul_f64(2.0 * rng.f64());
            if span <= starts_at {
                break;
            }
            let fault = random_fault(&mut rng, size, may_wipe);
            may_wipe &= !matches!(fault, Fault::Wipe(_));
            let duration = MAX_FAULT_DURATION.mul_f64(rng.f64() * rng.f64());
            faults.push(ScheduledFault {
                starts_at,
                duration,
                fault,
            });
        }
        Self {
            seed,
            size,
            span,
            faults,
        }
    }
}

fn random_fault(rng: &mut Rng, size: ClusterSize, may_wipe: bool) -> Fault {
    let nodes = size.voters + size.entries;
    let node = NodeId(rng.u32(1..=nodes));
    let voter = NodeId(rng.u32(1..=size.voters));
    let host = HostId(rng.u32(1..=size.hosts));
    let other = NodeId(1 + (node.0 - 1 + rng.u32(1..nodes)) % nodes);
    let (from, to) = (node, other);
    match rng.u8(0..20) {
        0..=2 => Fault::Kill(node),
        3 => Fault::Stop(node),
        4..=5 => Fault::Pause(node),
        6 if may_wipe => Fault::Wipe(voter),
        6..=7 => Fault::Tear(voter),
        8..=9 => Fault::KillHost(host),
        10 => Fault::PauseHost(host),
        11..=12 => Fault::CutOff(node),
        13 => Fault::OneWay { from, to },
        14 => Fault::Slow { from, to },
        15..=16 => Fault::Reset { from, to },
        17 => Fault::PauseService(rng.usize(0..3)),
        _ => Fault::Rules,
    }
}
