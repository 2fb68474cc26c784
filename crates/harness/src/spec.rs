//! Descriptions of the nodes, hosts and services that a cluster starts.

use base::CentreId;
use base::DomainId;
use base::Fencing;
use base::HostId;
use base::NodeId;

/// A node to start.
#[derive(Clone, Copy, Debug)]
pub struct NodeSpec {
    /// The node's id.
    pub id: NodeId,
    /// The node's data centre.
    pub centre: CentreId,
    /// Whether the node is a voter.
    pub voter: bool,
    /// Further lines of its `[limits]` settings.
    pub limits: &'static str,
}

/// A host of a simulated model engine to start.
#[derive(Clone, Copy, Debug)]
pub struct HostSpec {
    /// The host's id.
    pub id: HostId,
    /// The host's data centre.
    pub centre: CentreId,
    /// The host's fabric domain.
    pub domain: DomainId,
    /// Whether the host refuses orders with an old fencing number.
    pub fencing: Fencing,
    /// Milliseconds between two tokens.
    pub step_ms: u64,
    /// Requests that run at once.
    pub slots: u32,
    /// Prompt tokens prefilled per second.
    pub prefill: u32,
    /// The fault of the engine's responses.
    pub fault: EngineFault,
}

/// A simulated fault of an engine's responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// No fault.
    #[default]
    None,
    /// The connection of each stream is dropped once, after so many tokens.
    CutAfter(u32),
    /// Each frame of a token is sent twice.
    RepeatFrames,
    /// Frames of another request are sent between the own ones.
    ForeignFrames,
    /// The end marker is left out.
    NoEnd,
    /// Requests are answered with the refusal of an earlier one.
    EarlierRefusals,
    /// After its first token an answer with several sends `text`, `comments`, `repeats` or `tokens`
    /// without end.
    Endless(&'static str),
    /// Requests are turned away with so many seconds of rest.
    Rest(u32),
}

/// A process of a simulated plain service to start.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: String,
    /// The data centre of the process.
    pub centre: CentreId,
    /// The time that a call takes, in milliseconds.
    pub delay_ms: u64,
    /// Calls that run but whose answers are dropped.
    pub drop_answers: u32,
    /// Calls that run but are answered with an earlier refusal.
    pub earlier_refusals: u32,
}

impl NodeSpec {
    /// A voter without further limits.
    pub fn voter(id: u32, centre: u32) -> Self {
        Self {
            id: NodeId(id),
            centre: CentreId(centre),
            voter: true,
            limits: "",
        }
    }

    /// An entry node without a data folder.
    pub fn entry(id: u32, centre: u32) -> Self {
        Self {
            id: NodeId(id),
            centre: CentreId(centre),
            voter: false,
            limits: "",
        }
    }

    /// Sets further lines of the `[limits]` settings.
    pub fn limits(mut self, lines: &'static str) -> Self {
        self.limits = lines;
        self
    }
}

impl HostSpec {
    /// A host that checks fencing numbers, in the first domain of its data centre.
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

    /// Makes the host accept orders with any fencing number.
    pub fn ignoring_fences(mut self) -> Self {
        self.fencing = Fencing::Ignored;
        self
    }

    /// Sets the time between two tokens, in milliseconds.
    pub fn step_ms(mut self, step_ms: u64) -> Self {
        self.step_ms = step_ms;
        self
    }

    /// Sets the number of requests that run at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the number of prompt tokens prefilled per second.
    pub fn prefill(mut self, tokens_per_second: u32) -> Self {
        self.prefill = tokens_per_second;
        self
    }

    /// Sets the fault of the engine's responses.
    pub fn fault(mut self, fault: EngineFault) -> Self {
        self.fault = fault;
        self
    }

    /// The arguments of `standin` for the host.
    pub(crate) fn args(self) -> Vec<String> {
        let mut args = vec!["engine".to_owned()];
        let mut add = |name: &str, value: String| args.extend([name.to_owned(), value]);
        add("--host", self.id.to_string());
        add("--centre", self.centre.to_string());
        add("--domain", self.domain.to_string());
        add("--step-ms", self.step_ms.to_string());
        add("--slots", self.slots.to_string());
        add("--prefill", self.prefill.to_string());
        if self.fencing == Fencing::Checked {
            args.push("--check-fences".to_owned());
        }
        args.extend(self.fault.args());
        args
    }
}

impl EngineFault {
    /// The options of `standin engine` for the fault.
    pub(crate) fn args(self) -> Vec<String> {
        match self {
            Self::None => Vec::new(),
            Self::CutAfter(tokens) => vec!["--cut-after".to_owned(), tokens.to_string()],
            Self::RepeatFrames => vec!["--repeat-frames".to_owned()],
            Self::ForeignFrames => vec!["--foreign-frames".to_owned()],
            Self::NoEnd => vec!["--no-end".to_owned()],
            Self::EarlierRefusals => vec!["--earlier-refusals".to_owned()],
            Self::Endless(what) => vec!["--endless".to_owned(), what.to_owned()],
            Self::Rest(secs) => vec!["--rest-secs".to_owned(), secs.to_string()],
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
            earlier_refusals: 0,
        }
    }

    /// Sets the time that a call takes, in milliseconds.
    pub fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// Sets how many calls run without an answer.
    pub fn drop_answers(mut self, count: u32) -> Self {
        self.drop_answers = count;
        self
    }

    /// Sets how many calls run and are answered with an earlier refusal.
    pub fn earlier_refusals(mut self, count: u32) -> Self {
        self.earlier_refusals = count;
        self
    }

    /// The arguments of `standin` for the service process.
    pub(crate) fn args(&self) -> Vec<String> {
        let mut args = vec!["service".to_owned()];
        let mut add = |name: &str, value: String| args.extend([name.to_owned(), value]);
        add("--name", self.name.clone());
        add("--centre", self.centre.to_string());
        add("--delay-ms", self.delay_ms.to_string());
        add("--drop-answers", self.drop_answers.to_string());
        add("--earlier-refusals", self.earlier_refusals.to_string());
        args
    }
}
