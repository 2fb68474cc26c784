//! One data centre of the present size, and the faults of its hosts.
//!
//! The users expect 97 dead hosts and 630 restarts a day on 24,000 accelerators. In proportion,
//! that is 0.8 and 5.4 a day on the 204 hosts of the three data centres. A run has the faults of
//! ten days in its four hours.

use std::time::Duration;

use fastrand::Rng;

use base::DomainId;
use base::ModelName;
use base::Time;

/// The number of fabric domains of a data centre.
pub const DOMAINS: usize = 4;
/// The number of hosts of a domain.
pub const DOMAIN_HOSTS: usize = 17;
/// The number of hosts of a data centre.
pub const HOSTS: usize = DOMAINS * DOMAIN_HOSTS;
/// The widths of the models, in hosts. There is one model of each width.
pub const WIDTHS: [usize; 4] = [8, 4, 2, 1];
/// The number of replicas that each model should have.
const TARGET_REPLICAS: [usize; 4] = [3, 5, 6, 6];
/// The end of the warm-up without faults, when measuring begins.
pub const WARM_UP_END: Time = Time(900_000_000);
/// The end of the run: four hours after the warm-up.
pub const END: Time = Time(900_000_000 + 4 * 3_600_000_000);
/// The seconds that loading a replica takes.
pub const LOAD_SECONDS: f64 = 60.0;
/// The time that loading a replica takes.
pub const LOAD_TIME: Duration = Duration::from_secs(60);
/// The most replicas that load at the same time.
pub const MAX_CONCURRENT_LOADS: usize = 4;
/// The time step of the simulations.
pub const TIME_STEP: Duration = Duration::from_millis(500);

/// The days whose faults happen in one run.
const COMPRESSED_DAYS: f64 = 10.0;
/// The number of accelerators for which the faults a day are given. A host counts as one.
const TARGET_ACCELERATORS: f64 = 24_000.0;
const DEAD_PER_DAY: f64 = 97.0;
const RESTARTS_PER_DAY: f64 = 630.0;
/// How long a restarting host is down.
const RESTART_TIME: Duration = Duration::from_secs(60);
/// How long a dead host is down until it is replaced.
const REPLACE_TIME: Duration = Duration::from_secs(3_600);
/// How long the outage of a whole domain lasts.
const DOMAIN_OUTAGE_TIME: Duration = Duration::from_secs(600);

/// The number of replicas that the model with this index should have.
pub fn target_replicas(index: usize) -> usize {
    TARGET_REPLICAS[index]
}

/// The model with this index.
pub fn model(index: usize) -> ModelName {
    let name = format!("width-{}", WIDTHS[index]);
    name.parse().unwrap_or_else(|_| unreachable!())
}

/// The domain of a host.
pub fn domain(host: usize) -> DomainId {
    DomainId((host / DOMAIN_HOSTS) as u32)
}

/// A period in which a host is down. The host comes back without a replica.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The host.
    pub host: usize,
    /// The start.
    pub from: Time,
    /// The end.
    pub until: Time,
}

/// The faults in one data centre.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Outages of single hosts.
    pub outages: Vec<Outage>,
    /// Outages of all hosts of one domain at the same time.
    pub domain_outages: Vec<Outage>,
}

impl Schedule {
    /// Draws the faults of one data centre from a seed. Only the first data centre has an outage
    /// of a domain.
    pub fn open(seed: u64, centre: u64) -> Self {
        let mut rng = Rng::with_seed(seed * 1_000 + centre);
        let share = HOSTS as f64 / TARGET_ACCELERATORS * COMPRESSED_DAYS;
        let mut schedule = Self::default();
        schedule.add_outages(&mut rng, DEAD_PER_DAY * share, REPLACE_TIME);
        schedule.add_outages(&mut rng, RESTARTS_PER_DAY * share, RESTART_TIME);
        if centre == 0 {
            schedule.add_domain_outage(&mut rng);
        }
        schedule
    }

    fn add_outages(&mut self, rng: &mut Rng, count: f64, duration: Duration) {
        for _ in 0..count.round() as usize {
            let from = Time(rng.u64(WARM_UP_END.0..END.0));
            self.outages.push(Outage {
                host: rng.usize(..HOSTS),
                from,
                until: from + duration,
            });
        }
    }

    fn add_domain_outage(&mut self, rng: &mut Rng) {
        let domain = rng.usize(..DOMAINS);
        let from = Time(rng.u64(WARM_UP_END.0..END.0 - 3_600_000_000));
        let hosts = domain * DOMAIN_HOSTS..(domain + 1) * DOMAIN_HOSTS;
        self.domain_outages = hosts
            .map(|host| Outage {
                host,
                from,
                until: from + DOMAIN_OUTAGE_TIME,
            })
            .collect();
    }

    /// For each host, whether it is up at a time.
    pub fn up(&self, now: Time) -> Vec<bool> {
        let mut up = vec![true; HOSTS];
        for outage in self.outages.iter().chain(&self.domain_outages) {
            if outage.from <= now && now < outage.until {
                up[outage.host] = false;
            }
        }
        up
    }
}
