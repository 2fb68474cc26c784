//! The faults of a run, drawn from its seed.

use std::time::Duration;

use derive_more::Display;
use fastrand::Rng;

use base::HostId;
use base::NodeId;

/// What is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Nodes with a voter, one in each data centre.
    pub voters: u32,
    /// Nodes without a disk.
    pub entries: u32,
    /// Hosts of engines.
    pub hosts: u32,
    /// Callers that go on all the time.
    pub callers: u32,
}

impl Size {
    /// So many times the usual size.
    pub fn times(scale: u32) -> Self {
        let usual = Self::default();
        Self {
            voters: usual.voters,
            entries: usual.entries * scale,
            hosts: usual.hosts * scale,
            callers: usual.callers * scale,
        }
    }

    /// The data centre of the nth node, host or service.
    pub fn centre(self, n: u32) -> u32 {
        1 + n % self.voters
    }

    /// All nodes.
    pub fn nodes(self) -> impl Iterator<Item = NodeId> {
        (1..=self.voters + self.entries).map(NodeId)
    }
}

impl Default for Size {
    fn default() -> Self {
        Self {
            voters: 3,
            entries: 3,
            hosts: 5,
            callers: 12,
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Trouble {
    /// A node is killed and started again.
    #[display("kill {_0}")]
    Kill(NodeId),
    /// A node is asked to stop and started again.
    #[display("stop {_0}")]
    Stop(NodeId),
    /// A node stands still.
    #[display("pause {_0}")]
    Pause(NodeId),
    /// A voter loses its data folder and is started again. At most once in a run.
    #[display("wipe {_0}")]
    Wipe(NodeId),
    /// A voter's log ends in an unfinished write. It is started again.
    #[display("tear {_0}")]
    Tear(NodeId),
    /// A host of an engine is killed and started again.
    #[display("kill {_0}")]
    KillHost(HostId),
    /// A host of an engine stands still.
    #[display("pause {_0}")]
    PauseHost(HostId),
    /// A node and all others hear nothing of each other.
    #[display("cut off {_0}")]
    CutOff(NodeId),
    /// What one node sends another is lost.
    #[display("lose what {from} sends {to}")]
    OneWay {
        /// Who sends.
        from: NodeId,
        /// Who does not hear it.
        to: NodeId,
    },
    /// What one node sends another comes late.
    #[display("delay what {from} sends {to}")]
    Slow {
        /// Who sends.
        from: NodeId,
        /// Who hears it late.
        to: NodeId,
    },
    /// Connections of one node to another are reset.
    #[display("reset {from} to {to}")]
    Reset {
        /// Who connects.
        from: NodeId,
        /// To whom.
        to: NodeId,
    },
    /// A service stands still.
    #[display("pause service {_0}")]
    PauseService(usize),
    /// The rules are changed.
    #[display("change the rules")]
    Rules,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{:6.2} s for {:5.2} s: {trouble}", at.as_secs_f64(), span.as_secs_f64())]
pub struct Step {
    /// When it begins, from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What it is.
    pub trouble: Trouble,
}

/// All faults of a run, in the order of their beginnings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// What is started.
    pub size: Size,
    /// How long faults begin.
    pub span: Duration,
    /// The faults.
    pub steps: Vec<Step>,
}

/// Mean time between two beginnings.
const GAP: Duration = Duration::from_millis(900);

/// The longest fault, beyond each lease and timeout of the product.
const LONGEST: Duration = Duration::from_secs(9);

impl Plan {
    /// Draws a plan. The same arguments give the same plan.
    pub fn draw(seed: u64, size: Size, span: Duration) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        let mut may_wipe = true;
        loop {
            at += GAP.mul_f64(2.0 * rng.f64());
            if span <= at {
                break;
            }
            let trouble = draw(&mut rng, size, may_wipe);
            may_wipe &= !matches!(trouble, Trouble::Wipe(_));
            let span = LONGEST.mul_f64(rng.f64() * rng.f64());
            steps.push(Step { at, span, trouble });
        }
        Self {
            seed,
            size,
            span,
            steps,
        }
    }
}

fn draw(rng: &mut Rng, size: Size, may_wipe: bool) -> Trouble {
    let nodes = size.voters + size.entries;
    let node = NodeId(rng.u32(1..=nodes));
    let voter = NodeId(rng.u32(1..=size.voters));
    let host = HostId(rng.u32(1..=size.hosts));
    let other = NodeId(1 + (node.0 - 1 + rng.u32(1..nodes)) % nodes);
    let (from, to) = (node, other);
    match rng.u8(0..20) {
        0..=2 => Trouble::Kill(node),
        3 => Trouble::Stop(node),
        4..=5 => Trouble::Pause(node),
        6 if may_wipe => Trouble::Wipe(voter),
        6..=7 => Trouble::Tear(voter),
        8..=9 => Trouble::KillHost(host),
        10 => Trouble::PauseHost(host),
        11..=12 => Trouble::CutOff(node),
        13 => Trouble::OneWay { from, to },
        14 => Trouble::Slow { from, to },
        15..=16 => Trouble::Reset { from, to },
        17 => Trouble::PauseService(rng.usize(0..3)),
        _ => Trouble::Rules,
    }
}
