//! A ban in force, and the trials that find out whether it is still needed.

use std::time::Duration;

use derive_more::Display;

use base::NodeId;
use base::Time;

/// Time from a ban, or from its last trial, to the next trial, multiplied by
/// [`TRIAL_BACKOFF`] after each.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(600);

/// How much longer each trial of a ban is delayed than the one before.
const TRIAL_BACKOFF: u32 = 4;

/// Trials of a ban. Each may end a replica, and few are allowed to all entry hosts together.
const MAX_TRIALS: u32 = 2;

/// A trial that nothing came of after this long counts as made.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// A process that goes on is heard within this time, because it announces itself.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// Why a ban ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum LiftReason {
    /// No request with the parts came for a long time.
    #[display("no request came")]
    Unused,
    /// A request with the parts was answered.
    #[display("a request was answered")]
    Answered,
    /// Another ban holds for all its requests.
    #[display("another ban replaces it")]
    Replaced,
    /// Processes that were taken for ended go on.
    #[display("the upstreams go on")]
    Unfounded,
    /// An operator lifted it.
    #[display("lifted by an operator")]
    Operator,
}

/// Where a leader has a ban from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BanOrigin {
    /// It decided the ban from evidence that it has.
    Decided,
    /// It heard of the ban when its term began.
    TakenOver,
}

/// A ban in force.
#[derive(Clone, Debug)]
pub(crate) struct Ban {
    pub crashes: u32,
    /// When the first of the processes ended that the ban rests on.
    pub since: Time,
    pub origin: BanOrigin,
    /// When the leader decided or took over the ban.
    began_at: Time,
    pub last_refused_at: Time,
    /// The entry host that refused the last request.
    pub refused_by: Option<NodeId>,
    trials: u32,
    trial: Option<Trial>,
    next_trial_at: Time,
}

/// A trial under way.
#[derive(Clone, Copy, Debug)]
struct Trial {
    entry: NodeId,
    began_at: Time,
}

impl Ban {
    pub fn new(origin: BanOrigin, crashes: u32, since: Time, now: Time) -> Self {
        Self {
            crashes,
            since,
            origin,
            began_at: now,
            last_refused_at: now,
            refused_by: None,
            trials: 0,
            trial: None,
            next_trial_at: now + FIRST_TRIAL_DELAY,
        }
    }

    /// Whether the processes that the ban rests on may still be heard, if they go on. Of a ban
    /// that was taken over, the evidence isn't known here.
    pub fn may_be_unfounded(&self, now: Time) -> bool {
        self.origin == BanOrigin::Decided && now.since(self.began_at) < CONFIRM_TIME
    }

    /// The entry host that may send one request now.
    pub fn trial_entry(&self) -> Option<NodeId> {
        self.trial.map(|trial| trial.entry)
    }

    /// Ends the trial under way if a replica ended since, or begins the next one if it is due.
    /// `last_crash` is when a replica last ended with a request that has the parts.
    pub fn advance_trial(&mut self, last_crash: Option<Time>, now: Time) {
        let Some(trial) = self.trial else {
            self.begin_trial_if_due(now);
            return;
        };
        let has_crashed = last_crash.is_some_and(|at| trial.began_at < at);
        if has_crashed || TRIAL_TIMEOUT <= now.since(trial.began_at) {
            self.trial = None;
            self.next_trial_at = now + FIRST_TRIAL_DELAY * TRIAL_BACKOFF.pow(self.trials);
        }
    }

    fn begin_trial_if_due(&mut self, now: Time) {
        let is_due = self.next_trial_at <= now && self.trials < MAX_TRIALS;
        if let Some(entry) = self.refused_by.filter(|_| is_due) {
            self.trials += 1;
            self.trial = Some(Trial {
                entry,
                began_at: now,
            });
        }
    }
}
