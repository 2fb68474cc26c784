//! What planning and control cost over 10 to 24,000 hosts.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;

use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::model;
use crate::report::Table;
use base::CentreId;
use base::DomainId;
use base::Duty;
use base::Fence;
use base::Fencing;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::Load;
use base::ModelName;
use base::NodeId;
use base::ReplicaId;
use base::Time;
use plan::Config;
use plan::Controller;
use plan::Demand;
use plan::Form;
use plan::OrderOutcome;
use plan::PlacedReplica;
use plan::PlacedState;
use plan::PlannerView;
use plan::RouteTable;
use plan::Tenure;
use plan::plan;

const SIZES: [usize; 6] = [10, 100, 1_200, 4_800, 12_000, 24_000];
const DOMAIN_HOSTS: usize = 32;
const RUNS: usize = 5;
/// Entry nodes that poll one data centre: 340 over 20.
const POLLERS: u32 = 17;

/// Planning time from nothing, for a lost replica, and where moves are needed.
pub fn table(seed: u64) -> Table {
    let mut table = Table::new(
        "time of one plan, slowest of 5",
        &[
            "hosts",
            "all to place ms",
            "one to repair ms",
            "scattered ms",
        ],
    );
    for hosts in SIZES {
        let mut rng = Rng::with_seed(seed);
        let demand = demand(hosts);
        let empty = empty(hosts);
        let full = carried_out(&empty, &plan(&empty, &demand).forms);
        let one_lost = without(&full, &mut rng, 1);
        let scattered = scattered(&full, &mut rng);
        let mut row = vec![hosts.to_string()];
        for view in [&empty, &one_lost, &scattered] {
            row.push(format!("{:.3}", slowest(view, &demand).as_secs_f64() * 1e3));
        }
        table.row(row);
    }
    table
}

/// Nine of ten hosts are in demand, spread over four widths.
fn demand(hosts: usize) -> BTreeMap<ModelName, Demand> {
    let mut demand = BTreeMap::new();
    for (at, width) in WIDTHS.into_iter().enumerate() {
        let count = (hosts * 9 / 40 / width).max(usize::from(at == WIDTHS.len() - 1));
        let one = Demand {
            width,
            min: count / 2,
            max: count,
            wanted: count,
        };
        demand.insert(model(at), one);
    }
    demand
}

fn empty(hosts: usize) -> PlannerView {
    let mut view = PlannerView::default();
    for host in 0..hosts {
        let domain = DomainId((host / DOMAIN_HOSTS) as u32);
        view.free
            .entry(domain)
            .or_default()
            .push(HostId(host as u32));
    }
    view
}

fn carried_out(view: &PlannerView, forms: &[Form]) -> PlannerView {
    let mut view = view.clone();
    for (at, form) in forms.iter().enumerate() {
        if let Some(free) = view.free.get_mut(&form.domain) {
            free.retain(|host| !form.hosts.contains(host));
        }
        view.replicas.push(PlacedReplica {
            replica: ReplicaId(at as u64),
            model: form.model.clone(),
            domain: form.domain,
            width: form.hosts.len(),
            state: PlacedState::Movable,
        });
    }
    view
}

/// Replicas gone for good, hosts and all.
fn without(view: &PlannerView, rng: &mut Rng, count: usize) -> PlannerView {
    let mut view = view.clone();
    for _ in 0..count {
        let at = rng.usize(..view.replicas.len());
        view.replicas.swap_remove(at);
    }
    view
}

/// Every free host gone and narrow replicas ended here and there: only moves help.
fn scattered(view: &PlannerView, rng: &mut Rng) -> PlannerView {
    let mut view = view.clone();
    view.free.values_mut().for_each(Vec::clear);
    let mut kept = Vec::new();
    for placed in std::mem::take(&mut view.replicas) {
        if placed.width <= 2 && rng.u8(..10) == 0 {
            let host = HostId(u32::MAX - placed.replica.0 as u32);
            view.free.entry(placed.domain).or_default().push(host);
        } else if placed.width != 8 || rng.u8(..10) != 0 {
            kept.push(placed);
        }
    }
    view.replicas = kept;
    view
}

fn slowest(view: &PlannerView, demand: &BTreeMap<ModelName, Demand>) -> Duration {
    let time = |_| {
        let start = Instant::now();
        std::hint::black_box(plan(view, demand));
        start.elapsed()
    };
    (0..RUNS).map(time).max().unwrap_or_default()
}

/// What a controller spends in a second at rest, and what a poll's answer weighs.
pub fn controller_table() -> Table {
    let mut table = Table::new(
        "controller at rest, one data centre, 17 entry nodes that poll twice a second",
        &[
            "hosts",
            "replicas",
            "processor ms/s",
            "answer bytes",
            "first answer bytes",
        ],
    );
    for hosts in SIZES {
        let mut centre = Rest::open(hosts);
        centre.settle();
        let replicas = centre.controller.status(centre.now).replicas.len();
        let first = centre.first_answer_bytes();
        let (spent, bytes) = centre.second();
        table.row([
            hosts.to_string(),
            replicas.to_string(),
            format!("{:.2}", spent.as_secs_f64() * 1e3),
            bytes.to_string(),
            first.to_string(),
        ]);
    }
    table
}

/// A data centre in which nothing happens.
struct Rest {
    now: Time,
    controller: Controller,
    reports: Vec<HostReport>,
    tables: Vec<RouteTable>,
}

const CENTRE: CentreId = CentreId(1);

impl Rest {
    fn open(hosts: usize) -> Self {
        let cfg = Config {
            max_concurrent_loads: usize::MAX,
            ..Config::for_centre(CENTRE)
        };
        let mut controller = Controller::new(cfg, Time::ZERO);
        controller.set_demand(demand(hosts));
        let table = |node| RouteTable::new(NodeId(node), Incarnation(1));
        Self {
            now: Time::ZERO,
            controller,
            reports: (0..hosts).map(idle).collect(),
            tables: (0..POLLERS).map(table).collect(),
        }
    }

    /// Forms what the demand calls for. Loads take no time.
    fn settle(&mut self) {
        for _ in 0..30 {
            self.second();
        }
    }

    /// One second: every report, four ticks, two polls of each node.
    fn second(&mut self) -> (Duration, usize) {
        for report in &mut self.reports {
            report.sequence += 1;
        }
        let start = Instant::now();
        let mut aside = Duration::ZERO;
        let mut bytes = 0;
        for quarter in 0..4 {
            self.now += Duration::from_millis(250);
            let part = self.reports.iter().skip(quarter).step_by(4);
            for report in part {
                self.controller.receive_report(report, self.now);
            }
            self.tick();
            if quarter % 2 == 0 {
                continue;
            }
            for table in &mut self.tables {
                let poll = table.next_poll(CENTRE, self.now);
                let grant = self.controller.answer_poll(&poll, self.now);
                let other = Instant::now();
                if let Some(grant) = grant {
                    bytes = serde_json::to_vec(&grant).map_or(0, |text| text.len());
                    table.apply_grant(&grant);
                }
                aside += other.elapsed();
            }
        }
        (start.elapsed().saturating_sub(aside), bytes)
    }

    fn tick(&mut self) {
        let tenure = Tenure {
            fence: Fence(1),
            until: self.now + Duration::from_secs(2),
        };
        for order in self.controller.tick(Some(tenure), self.now) {
            let report = &mut self.reports[order.host.0 as usize];
            if let plan::Action::Form { model, hosts } = &order.action {
                report.duty = Duty::Ready(base::Assignment {
                    replica: order.replica,
                    fence: order.fence,
                    model: model.clone(),
                    hosts: hosts.clone(),
                });
            }
            self.controller
                .record_outcome(order.id, OrderOutcome::Done, self.now);
        }
    }

    /// The answer to a node that has nothing yet.
    fn first_answer_bytes(&mut self) -> usize {
        let mut table = RouteTable::new(NodeId(u32::MAX), Incarnation(1));
        let poll = table.next_poll(CENTRE, self.now);
        let grant = self.controller.answer_poll(&poll, self.now);
        grant.map_or(0, |grant| {
            serde_json::to_vec(&grant).map_or(0, |text| text.len())
        })
    }
}

fn idle(at: usize) -> HostReport {
    HostReport {
        host: HostId(at as u32),
        incarnation: Incarnation(1),
        sequence: 0,
        centre: CENTRE,
        domain: DomainId((at / DOMAIN_HOSTS) as u32),
        addr: ([127, 0, 0, 1], 1).into(),
        fencing: Fencing::Ignored,
        fence: Fence(0),
        duty: Duty::Idle,
        load: Load::default(),
        leaving: false,
    }
}
