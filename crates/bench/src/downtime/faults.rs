//! One data centre of today's size, and what happens to its hosts.
//!
//! Letter 1 expects 97 dead hosts and 630 restarts a day on 24,000
//! accelerators. Taken by our 204 hosts that is 0.8 and 5.4 a day. The run
//! packs ten days of them into its four hours.

use std::time::Duration;

use fastrand::Rng;

use base::DomainId;
use base::ModelName;
use base::Time;

/// Domains of a data centre.
pub const DOMAINS: usize = 4;
/// Hosts of a domain.
pub const DOMAIN_HOSTS: usize = 17;
/// Hosts of a data centre.
pub const HOSTS: usize = DOMAINS * DOMAIN_HOSTS;
/// Widths of the models, one model each.
pub const WIDTHS: [usize; 4] = [8, 4, 2, 1];
/// Replicas of each model.
const TARGETS: [usize; 4] = [3, 5, 6, 6];
/// Time without faults before the measured span.
pub const WARM_UP: Time = Time(900_000_000);
/// End of the run.
pub const END: Time = Time(900_000_000 + 4 * 3_600_000_000);
/// Seconds that loading a replica takes.
pub const LOAD_S: f64 = 60.0;
/// Time that loading a replica takes.
pub const LOAD: Duration = Duration::from_secs(60);
/// Replicas that may load at once.
pub const LOADS_AT_ONCE: usize = 4;
/// Step of the simulations.
pub const STEP: Duration = Duration::from_millis(500);

const DAYS: f64 = 10.0;
const TARGET_HOSTS: f64 = 24_000.0;
const DEAD_A_DAY: f64 = 97.0;
const RESTARTS_A_DAY: f64 = 630.0;
const RESTART: Duration = Duration::from_secs(60);
const REPLACE: Duration = Duration::from_secs(3_600);
const DARK: Duration = Duration::from_secs(600);

/// Replicas of the model of a width.
pub fn target(at: usize) -> usize {
    TARGETS[at]
}

/// The model of a width.
pub fn model(at: usize) -> ModelName {
    let name = format!("width-{}", WIDTHS[at]);
    name.parse().unwrap_or_else(|_| unreachable!())
}

/// The domain of a host.
pub fn domain(host: usize) -> DomainId {
    DomainId((host / DOMAIN_HOSTS) as u32)
}

/// A host is away, and comes back empty.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The host.
    pub host: usize,
    /// From then.
    pub from: Time,
    /// Until then.
    pub until: Time,
}

/// What happens in one data centre.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Outages of single hosts.
    pub outages: Vec<Outage>,
    /// Outages of a whole domain.
    pub dark: Vec<Outage>,
}

impl Schedule {
    /// The faults of one data centre.
    pub fn open(seed: u64, centre: u64) -> Self {
        let mut rng = Rng::with_seed(seed * 1_000 + centre);
        let share = HOSTS as f64 / TARGET_HOSTS * DAYS;
        let mut schedule = Self::default();
        schedule.add(&mut rng, DEAD_A_DAY * share, REPLACE);
        schedule.add(&mut rng, RESTARTS_A_DAY * share, RESTART);
        if centre == 0 {
            schedule.add_dark_domain(&mut rng);
        }
        schedule
    }

    fn add(&mut self, rng: &mut Rng, count: f64, away: Duration) {
        for _ in 0..count.round() as usize {
            let from = Time(rng.u64(WARM_UP.0..END.0));
            self.outages.push(Outage {
                host: rng.usize(..HOSTS),
                from,
                until: from + away,
            });
        }
    }

    fn add_dark_domain(&mut self, rng: &mut Rng) {
        let domain = rng.usize(..DOMAINS);
        let from = Time(rng.u64(WARM_UP.0..END.0 - 3_600_000_000));
        let hosts = domain * DOMAIN_HOSTS..(domain + 1) * DOMAIN_HOSTS;
        self.dark = hosts
            .map(|host| Outage {
                host,
                from,
                until: from + DARK,
            })
            .collect();
    }

    /// Whether each host is up.
    pub fn up(&self, now: Time) -> Vec<bool> {
        let mut up = vec![true; HOSTS];
        for outage in self.outages.iter().chain(&self.dark) {
            if outage.from <= now && now < outage.until {
                up[outage.host] = false;
            }
        }
        up
    }
}
