//! Bounds in time and number that the controller keeps.

use std::time::Duration;

use base::CentreId;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The data centre.
    pub centre: CentreId,
    /// A route ends this long after the oldest report it rests on was heard.
    pub confirm_life: Duration,
    /// How long a route is granted for at most.
    pub route_life: Duration,
    /// How long an entry node may go on with a route without a controller, while it
    /// hears every host itself. Not above [`Self::confirm_life`] turns this off. It
    /// should outlast the lease, and it is what a successor waits out.
    pub hold_life: Duration,
    /// How far two clocks may drift apart, in percent.
    pub drift_percent: u32,
    /// A host that is silent this long is lost to its replica.
    pub lost_after: Duration,
    /// An order may be sent only within this time.
    pub order_deadline: Duration,
    /// An order cannot reach an engine later than this after it was given out.
    pub order_life: Duration,
    /// A report is heard at most this long after it was made.
    pub report_lag: Duration,
    /// A replica that is not ready after this time is given up.
    pub load_limit: Duration,
    /// Replicas that may load from the weight store at once.
    pub loads_at_once: usize,
    /// Hold-down of a host's second loss. It doubles with each further loss.
    pub hold_first: Duration,
    /// The longest hold-down.
    pub hold_max: Duration,
    /// A host that was well for this long has its losses forgotten.
    pub flap_forget: Duration,
    /// A host with an unknown assignment is released after this time.
    pub stray_wait: Duration,
    /// A replica too many is released only after it was so for this time.
    pub surplus_hold: Duration,
    /// Demand must have gone unmet this long before a replica is moved for it.
    pub move_after: Duration,
    /// Replicas that may be on the move at once.
    pub moves_at_once: usize,
    /// How long a drain takes as a rule. Hosts are kept for what waits for it so long.
    pub drain_expected: Duration,
    /// A replica that drains is released after this time, finished or not.
    pub drain_limit: Duration,
    /// How old the load in a host's report may be.
    pub load_lag: Duration,
    /// How long a load takes, for weighing whether replacing a slow host pays.
    pub load_expected: Duration,
    /// The time over which replacing a slow host must pay.
    pub slow_horizon: Duration,
    /// A pause between two ticks that tells that this process was frozen.
    pub pause_limit: Duration,
    /// After a pause, reports are not believed for this time: they may have lain in a queue.
    pub pause_deaf: Duration,
    /// Time between two plans.
    pub plan_every: Duration,
    /// A host that is silent this long is forgotten.
    pub forget_after: Duration,
}

impl Config {
    /// The settings of a data centre.
    pub fn of(centre: CentreId) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// After this time no route of a replica can still be valid anywhere.
    pub fn route_wait(&self) -> Duration {
        self.confirm_life.max(self.hold_life) * (100 + self.drift_percent) / 100
    }

    /// How long a new tenure listens before it orders anything: until the
    /// predecessor's routes and orders are all past.
    pub fn settle(&self) -> Duration {
        self.route_wait() + self.order_life
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            centre: CentreId::default(),
            confirm_life: Duration::from_millis(2_800),
            route_life: Duration::from_millis(1_600),
            hold_life: Duration::ZERO,
            drift_percent: 5,
            lost_after: Duration::from_secs(5),
            order_deadline: Duration::from_secs(1),
            order_life: Duration::from_secs(3),
            report_lag: Duration::from_millis(500),
            load_limit: Duration::from_secs(600),
            loads_at_once: 4,
            hold_first: Duration::from_secs(10),
            hold_max: Duration::from_secs(600),
            flap_forget: Duration::from_secs(1_800),
            stray_wait: Duration::from_millis(2_500),
            surplus_hold: Duration::from_secs(60),
            move_after: Duration::from_secs(5),
            moves_at_once: 2,
            drain_expected: Duration::from_secs(30),
            drain_limit: Duration::from_secs(900),
            load_lag: Duration::from_secs(2),
            load_expected: Duration::from_secs(60),
            slow_horizon: Duration::from_secs(600),
            pause_limit: Duration::from_secs(2),
            pause_deaf: Duration::from_millis(500),
            plan_every: Duration::from_millis(500),
            forget_after: Duration::from_secs(3_600),
        }
    }
}
