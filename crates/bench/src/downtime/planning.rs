//! The cost of planning and of an idle controller, for 10 to 24,000 hosts.

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

/// The numbers of hosts that are measured.
const HOST_COUNTS: [usize; 6] = [10, 100, 1_200, 4_800, 12_000, 24_000];
const HOSTS_PER_DOMAIN: usize = 32;
/// The runs of each plan, of which the slowest counts.
const RUNS: usize = 5;
/// The number of entry nodes that poll one data centre: 340 nodes over 20 data centres.
const POLLING_NODES: u32 = 17;

/// The time to plan all replicas, to replace a lost one, and to plan moves.
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
    for hosts in HOST_COUNTS {
        let mut rng = Rng::with_seed(seed);
        let demand = demand(hosts);
        let empty = empty_view(hosts);
        let full = with_formed_replicas(&empty, &plan(&empty, &demand).forms);
        let one_lost = without_random_replicas(&full, &mut rng, 1);
        let scattered = scattered_view(&full, &mut rng);
        let mut row = vec![hosts.to_string()];
        for view in [&empty, &one_lost, &scattered] {
            row.push(format!(
                "{:.3}",
                slowest_plan(view, &demand).as_secs_f64() * 1e3
            ));
        }
        table.row(row);
    }
    table
}

/// A demand for nine of ten hosts, spread over four widths.
fn demand(hosts: usize) -> BTreeMap<ModelName, Demand> {
    let mut demand = BTreeMap::new();
    for (index, width) in WIDTHS.into_iter().enumerate() {
        let count = (hosts * 9 / 40 / width).max(usize::from(index == WIDTHS.len() - 1));
        let model_demand = Demand {
            width,
            min: count / 2,
            max: count,
            wanted: count,
        };
        demand.insert(model(index), model_demand);
    }
    demand
}

/// A view with this many free hosts and no replicas.
fn empty_view(hosts: usize) -> PlannerView {
    let mut view = PlannerView::default();
    for host in 0..hosts {
        let domain = DomainId((host / HOSTS_PER_DOMAIN) as u32);
        view.free
            .entry(domain)
            .or_default()
            .push(HostId(host as u32));
    }
    view
}

/// The view after the planned replicas have been formed.
fn with_formed_replicas(view: &PlannerView, forms: &[Form]) -> PlannerView {
    let mut view = view.clone();
    for (index, form) in forms.iter().enumerate() {
        if let Some(free) = view.free.get_mut(&form.domain) {
            free.retain(|host| !form.hosts.contains(host));
        }
        view.replicas.push(PlacedReplica {
            replica: ReplicaId(index as u64),
            model: form.model.clone(),
            domain: form.domain,
            width: form.hosts.len(),
            state: PlacedState::Movable,
        });
    }
    view
}

/// The view without some random replicas and their hosts.
fn without_random_replicas(view: &PlannerView, rng: &mut Rng, count: usize) -> PlannerView {
    let mut view = view.clone();
    for _ in 0..count {
        let index = rng.usize(..view.replicas.len());
        view.replicas.swap_remove(index);
    }
    view
}

/// A view in which missing replicas can only be placed after moves. No host of the given view is
/// free. About a tenth of the narrow replicas are replaced by one free host each, and about a
/// tenth of the widest replicas are removed with their hosts.
fn scattered_view(view: &PlannerView, rng: &mut Rng) -> PlannerView {
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

fn slowest_plan(view: &PlannerView, demand: &BTreeMap<ModelName, Demand>) -> Duration {
    let time = |_| {
        let start = Instant::now();
        std::hint::black_box(plan(view, demand));
        start.elapsed()
    };
    (0..RUNS).map(time).max().unwrap_or_default()
}

/// The time that an idle controller takes a second, and the bytes of its answers to polls.
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
    for hosts in HOST_COUNTS {
        let mut centre = IdleCentre::open(hosts);
        centre.form_replicas();
        let replicas = centre.controller.status(centre.now).replicas.len();
        let first_answer_bytes = centre.first_answer_bytes();
        let (controller_time, bytes) = centre.run_second();
        table.row([
            hosts.to_string(),
            replicas.to_string(),
            format!("{:.2}", controller_time.as_secs_f64() * 1e3),
            bytes.to_string(),
            first_answer_bytes.to_string(),
        ]);
    }
    table
}

/// A simulated data centre without faults or changes.
struct IdleCentre {
    now: Time,
    controller: Controller,
    reports: Vec<HostReport>,
    tables: Vec<RouteTable>,
}

const CENTRE: CentreId = CentreId(1);

impl IdleCentre {
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
            reports: (0..hosts).map(idle_report).collect(),
            tables: (0..POLLING_NODES).map(table).collect(),
        }
    }

    /// Runs until the replicas in demand are formed. Loads take no time.
    fn form_replicas(&mut self) {
        for _ in 0..30 {
            self.run_second();
        }
    }

    /// Runs one second: a report of each host, four ticks, and two polls of each node. Returns the
    /// time that the controller took, and the bytes of the last answer.
    fn run_second(&mut self) -> (Duration, usize) {
        for report in &mut self.reports {
            report.sequence += 1;
        }
        let start = Instant::now();
        let mut other_time = Duration::ZERO;
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
                let other_start = Instant::now();
                if let Some(grant) = grant {
                    bytes = serde_json::to_vec(&grant).map_or(0, |text| text.len());
                    table.apply_grant(&grant);
                }
                other_time += other_start.elapsed();
            }
        }
        (start.elapsed().saturating_sub(other_time), bytes)
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

    /// The bytes of the answer to a node that has no routes yet.
    fn first_answer_bytes(&mut self) -> usize {
        let mut table = RouteTable::new(NodeId(u32::MAX), Incarnation(1));
        let poll = table.next_poll(CENTRE, self.now);
        let grant = self.controller.answer_poll(&poll, self.now);
        grant.map_or(0, |grant| {
            serde_json::to_vec(&grant).map_or(0, |text| text.len())
        })
    }
}

fn idle_report(index: usize) -> HostReport {
    HostReport {
        host: HostId(index as u32),
        incarnation: Incarnation(1),
        sequence: 0,
        centre: CENTRE,
        domain: DomainId((index / HOSTS_PER_DOMAIN) as u32),
        addr: ([127, 0, 0, 1], 1).into(),
        fencing: Fencing::Ignored,
        fence: Fence(0),
        duty: Duty::Idle,
        load: Load::default(),
        leaving: false,
    }
}
