//! What is to be started.

use base::CentreId;
use base::DomainId;
use base::Fencing;
use base::HostId;
use base::NodeId;

/// A node.
#[derive(Clone, Copy, Debug)]
pub struct NodeSpec {
    /// Its id.
    pub id: NodeId,
    /// Its data centre.
    pub centre: CentreId,
    /// Whether it holds the durable state.
    pub voter: bool,
    /// Further lines of its `[limits]`.
    pub limits: &'static str,
}

/// A host of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct HostSpec {
    /// Its id.
    pub id: HostId,
    /// Its data centre.
    pub centre: CentreId,
    /// Its fabric domain.
    pub domain: DomainId,
    /// Whether it refuses old orders.
    pub fencing: Fencing,
    /// Milliseconds between two tokens.
    pub step_ms: u64,
    /// Requests that run at once.
    pub slots: u32,
    /// Prompt tokens prefilled a second.
    pub prefill: u32,
    /// What is wrong with its answers.
    pub fault: EngineFault,
}

/// What is wrong with the answers of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// The link of each stream is dropped once after so many tokens.
    CutAfter(u32),
    /// Each frame of a token comes twice.
    RepeatFrames,
    /// Now and then a frame of another request comes.
    ForeignFrames,
    /// The end marker is missing.
    NoEnd,
}

/// A process of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: String,
    /// Its data centre.
    pub centre: CentreId,
    /// Milliseconds that a call takes.
    pub delay_ms: u64,
    /// Calls that run but never get their answer.
    pub drop_answers: u32,
}

impl NodeSpec {
    /// A voter.
    pub fn voter(id: u32, centre: u32) -> Self {
        Self {
            id: NodeId(id),
            centre: CentreId(centre),
            voter: true,
            limits: "",
        }
    }

    /// An entry node without a disk.
    pub fn entry(id: u32, centre: u32) -> Self {
        Self {
            id: NodeId(id),
            centre: CentreId(centre),
            voter: false,
            limits: "",
        }
    }

    /// The same node with further lines of its `[limits]`.
    pub fn limits(mut self, lines: &'static str) -> Self {
        self.limits = lines;
        self
    }
}

impl HostSpec {
    /// A host that refuses old orders, in the first domain of its data centre.
    pub fn new(id: u32, centre: u32) -> Self {
        Self {
            id: HostId(id),
            centre: CentreId(centre),
            domain: DomainId(1),
            fencing: Fencing::Checked,
            step_ms: 20,
            slots: 16,
            prefill: 20_000,
            fault: EngineFault::None,
        }
    }

    /// The same host with an engine that takes any order.
    pub fn ignoring_fences(mut self) -> Self {
        self.fencing = Fencing::Ignored;
        self
    }

    /// The same host with another time between tokens.
    pub fn step_ms(mut self, step_ms: u64) -> Self {
        self.step_ms = step_ms;
        self
    }

    /// The same host with room for so many requests at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// The same host, which prefills so many prompt tokens a second.
    pub fn prefill(mut self, rate: u32) -> Self {
        self.prefill = rate;
        self
    }

    /// The same host with a fault.
    pub fn fault(mut self, fault: EngineFault) -> Self {
        self.fault = fault;
        self
    }
}

impl EngineFault {
    /// The stand-in's options for it.
    pub(crate) fn args(self) -> Vec<String> {
        match self {
            Self::None => Vec::new(),
            Self::CutAfter(tokens) => vec!["--cut-after".to_owned(), tokens.to_string()],
            Self::RepeatFrames => vec!["--repeat-frames".to_owned()],
            Self::ForeignFrames => vec!["--foreign-frames".to_owned()],
            Self::NoEnd => vec!["--no-end".to_owned()],
        }
    }
}

impl ServiceSpec {
    /// A service that answers quickly.
    pub fn new(name: &str, centre: u32) -> Self {
        Self {
            name: name.to_owned(),
            centre: CentreId(centre),
            delay_ms: 5,
            drop_answers: 0,
        }
    }

    /// The same service with slower calls.
    pub fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// The same service, which runs this many calls without ever answering them.
    pub fn drop_answers(mut self, count: u32) -> Self {
        self.drop_answers = count;
        self
    }
}
