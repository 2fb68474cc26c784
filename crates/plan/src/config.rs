//! Bounds in time and number that the controller keeps.

use std::time::Duration;

use base::CentreId;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The data centre.
    pub centre: CentreId,
    /// A route ends this long after the oldest report it rests on was heard.
    pub report_validity: Duration,
    /// How long a route is granted for at most.
    pub max_route_validity: Duration,
    /// How long an entry node may go on with a route without a controller, while it
    /// hears every host itself. Not above [`Self::report_validity`] turns this off. It
    /// should outlast the lease, and it is what a successor waits out.
    pub hold_limit: Duration,
    /// How far two clocks may drift apart, in percent.
    pub max_drift_percent: u32,
    /// A host that is silent this long is lost to its replica.
    pub host_loss_timeout: Duration,
    /// An order may be sent only within this time.
    pub order_send_timeout: Duration,
    /// An order cannot reach an engine later than this after it was given out.
    pub max_order_delay: Duration,
    /// A report is heard at most this long after it was made.
    pub max_report_delay: Duration,
    /// A replica that is not ready after this time is given up.
    pub load_timeout: Duration,
    /// Replicas that may load from the weight store at once.
    pub max_concurrent_loads: usize,
    /// Hold-down of a host's second loss. It doubles with each further loss.
    pub first_hold_down: Duration,
    /// The longest hold-down.
    pub max_hold_down: Duration,
    /// A host that was well for this long has its losses forgotten.
    pub loss_reset_after: Duration,
    /// A host with an unknown assignment is released after this time.
    pub stray_release_delay: Duration,
    /// A replica too many is released only after it was so for this time.
    pub surplus_drain_delay: Duration,
    /// Demand must have gone unmet this long before a replica is moved for it.
    pub move_delay: Duration,
    /// Replicas that may be on the move at once.
    pub max_concurrent_moves: usize,
    /// How long a drain takes as a rule. Hosts are kept for what waits for it so long.
    pub expected_drain_time: Duration,
    /// A replica that drains is released after this time, finished or not.
    pub drain_timeout: Duration,
    /// How old the load in a host's report may be.
    pub max_load_age: Duration,
    /// How long a load takes, for weighing whether replacing a slow host pays.
    pub expected_load_time: Duration,
    /// The time over which replacing a slow host must pay.
    pub slow_host_payback_time: Duration,
    /// A pause between two ticks that tells that this process was frozen.
    pub pause_threshold: Duration,
    /// After a pause, reports are not believed for this time: they may have lain in a queue.
    pub ignore_reports_after_pause: Duration,
    /// Time between two plans.
    pub plan_interval: Duration,
    /// A host that is silent this long is forgotten.
    pub forget_host_after: Duration,
}

impl Config {
    /// The settings of a data centre.
    pub fn for_centre(centre: CentreId) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// After this time no route of a replica can still be valid anywhere.
    pub fn max_route_lifetime(&self) -> Duration {
        self.report_validity.max(self.hold_limit) * (100 + self.max_drift_percent) / 100
    }

    /// How long a new tenure listens before it orders anything: until the
    /// predecessor's routes and orders are all past.
    pub fn settle_time(&self) -> Duration {
        self.max_route_lifetime() + self.max_order_delay
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            centre: CentreId::default(),
            report_validity: Duration::from_millis(2_800),
            max_route_validity: Duration::from_millis(1_600),
            hold_limit: Duration::ZERO,
            max_drift_percent: 5,
            host_loss_timeout: Duration::from_secs(5),
            order_send_timeout: Duration::from_secs(1),
            max_order_delay: Duration::from_secs(3),
            max_report_delay: Duration::from_millis(500),
            load_timeout: Duration::from_secs(600),
            max_concurrent_loads: 4,
            first_hold_down: Duration::from_secs(10),
            max_hold_down: Duration::from_secs(600),
            loss_reset_after: Duration::from_secs(1_800),
            stray_release_delay: Duration::from_millis(2_500),
            surplus_drain_delay: Duration::from_secs(60),
            move_delay: Duration::from_secs(5),
            max_concurrent_moves: 2,
            expected_drain_time: Duration::from_secs(30),
            drain_timeout: Duration::from_secs(900),
            max_load_age: Duration::from_secs(2),
            expected_load_time: Duration::from_secs(60),
            slow_host_payback_time: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(2),
            ignore_reports_after_pause: Duration::from_millis(500),
            plan_interval: Duration::from_millis(500),
            forget_host_after: Duration::from_secs(3_600),
        }
    }
}
