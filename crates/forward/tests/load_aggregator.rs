//! Each entry host learns of all requests and of all that retry, whichever control host it
//! follows, and however control hosts come, go and are cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use base::NodeId;
use base::ServiceName;
use base::Time;
use forward::LoadAggregator;
use forward::LoadReport;
use forward::RetryBudget;
use forward::TargetLoad;

const RATIO: f64 = 0.2;
const SLACK: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Time between two words of a host.
const STEP: u64 = 200;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(requests: u32, last_output_ms_ago: Option<u64>) -> LoadReport {
    let load = TargetLoad {
        id: "head".parse().unwrap(),
        requests,
        unread_prompt_secs: 0.25,
        last_output_ms_ago,
    };
    LoadReport {
        entries: 1,
        loads: vec![load],
        work: Vec::new(),
    }
}

fn requests(tally: &LoadReport) -> u32 {
    tally.loads.iter().map(|load| load.requests).sum()
}

/// Control hosts 0, 1 and 2, of which one leads, and entry hosts that follow one each.
struct Fleet {
    controls: Vec<LoadAggregator>,
    leader: usize,
    /// The control host that each entry host follows, and whether it lives.
    entries: Vec<(usize, bool)>,
    budgets: Vec<RetryBudget>,
    /// Control hosts that reach no other.
    cut: Vec<usize>,
}

impl Fleet {
    fn open() -> Self {
        let entries: Vec<_> = (0..7).map(|n| (n % 3, true)).collect();
        Self {
            controls: vec![LoadAggregator::default(); 3],
            leader: 0,
            budgets: entries
                .iter()
                .map(|_| RetryBudget::new(RATIO, SLACK, WINDOW))
                .collect(),
            entries,
            cut: Vec::new(),
        }
    }

    fn step(&mut self, now: Time) {
        for (at, (control, lives)) in self.entries.clone().into_iter().enumerate() {
            if lives {
                let node = NodeId(100 + at as u32);
                self.controls[control].record_report(node, entry(10, Some(40)), now);
                let all = self.controls[control].total(now).for_target_choice();
                self.budgets[at].entry_hosts = all.entries;
            }
        }
        self.controls[self.leader].forget_old_leader_report(now);
        for control in 0..3 {
            let is_cut = self.cut.contains(&control) || self.cut.contains(&self.leader);
            if control == self.leader || is_cut {
                continue;
            }
            let node = NodeId(control as u32);
            let own = self.controls[control].followers_total(now);
            self.controls[self.leader].record_report(node, own, now);
            let others = self.controls[self.leader].total_without(node, now);
            self.controls[control].record_leader_report(others, now);
        }
    }

    fn run(&mut self, from: u64, until: u64) {
        for ms in (from..until).step_by(STEP as usize) {
            self.step(at(ms));
        }
    }
}

#[test]
fn an_entry_host_learns_of_all_requests_whichever_control_host_it_follows() {
    let mut fleet = Fleet::open();
    fleet.run(0, 2_000);
    for control in &fleet.controls {
        let all = control.total(at(2_000));
        assert_eq!((all.entries, requests(&all)), (7, 70), "{all:?}");
    }
}

#[test]
fn what_is_told_twice_counts_once_after_the_leader_changed() {
    let mut fleet = Fleet::open();
    fleet.run(0, 2_000);
    fleet.leader = 2;
    fleet.run(2_000, 16_000);
    for control in &fleet.controls {
        let all = control.total(at(16_000));
        assert_eq!((all.entries, requests(&all)), (7, 70), "{all:?}");
    }
}

#[test]
fn a_silent_host_counts_as_a_sender_for_longer_than_its_requests() {
    let mut fleet = Fleet::open();
    fleet.run(0, 2_000);
    fleet.entries[0].1 = false;
    fleet.run(2_000, 7_000);
    let all = fleet.controls[1].total(at(7_000));
    assert_eq!((all.entries, requests(&all)), (7, 60), "{all:?}");
    fleet.run(7_000, 20_000);
    assert_eq!(fleet.controls[1].total(at(20_000)).entries, 6);
}

#[test]
fn the_controller_learns_when_a_target_last_gave_something() {
    let mut crowd = LoadAggregator::default();
    crowd.record_report(NodeId(1), entry(1, Some(300)), at(5_000));
    crowd.record_report(NodeId(2), entry(1, Some(100)), at(4_900));
    crowd.record_report(NodeId(3), entry(1, None), at(5_000));
    assert_eq!(crowd.last_output(&"head".parse().unwrap()), Some(at(4_800)));
    assert_eq!(crowd.last_output(&"other".parse().unwrap()), None);
}

/// Retries that all entry hosts took together in the worst window, while each wants many
/// more than it may, and the most that is allowed.
fn worst_window(mut fault: impl FnMut(u64, &mut Fleet)) -> (usize, f64) {
    let mut fleet = Fleet::open();
    let service: ServiceName = "lm".parse().unwrap();
    let mut taken: BTreeMap<u64, usize> = BTreeMap::new();
    for ms in (0..60_000).step_by(STEP as usize) {
        fault(ms, &mut fleet);
        fleet.step(at(ms));
        // Until the first words have gone round nobody asks.
        if ms < 2_000 {
            continue;
        }
        for (budget, (_, lives)) in fleet.budgets.iter_mut().zip(&fleet.entries) {
            if *lives {
                budget.record_request(&service, at(ms));
                let retries = (0..20).filter(|_| budget.take_retry(&service, at(ms)));
                *taken.entry(ms).or_default() += retries.count();
            }
        }
    }
    let window = WINDOW.as_millis() as u64;
    let worst = (0..50_000).step_by(STEP as usize).map(|from| {
        let of = taken.range(from..from + window);
        of.map(|(_, count)| count).sum::<usize>()
    });
    let requests = 7.0 * window as f64 / STEP as f64;
    (worst.max().unwrap_or(0), RATIO * requests + SLACK)
}

fn assert_held(what: &str, (worst, allowed): (usize, f64)) {
    println!("{what}: {worst} of {allowed:.0}");
    assert!(worst as f64 <= allowed, "{what}: {worst} of {allowed:.0}");
}

#[test]
fn the_fleet_holds_its_retries_while_all_are_there() {
    assert_held("calm", worst_window(|_, _| {}));
}

#[test]
fn the_fleet_holds_its_retries_while_entry_hosts_come_and_go() {
    let fault = |ms: u64, fleet: &mut Fleet| {
        let at = (ms / 4_000 % 7) as usize;
        for (other, (_, lives)) in fleet.entries.iter_mut().enumerate() {
            *lives = other != at || ms % 4_000 < 1_000;
        }
    };
    assert_held("coming and going", worst_window(fault));
}

#[test]
fn the_fleet_holds_its_retries_while_control_hosts_are_cut_off_and_the_leader_changes() {
    let fault = |ms: u64, fleet: &mut Fleet| {
        let leader = (ms / 7_000 % 3) as usize;
        fleet.leader = leader;
        fleet.cut = match ms % 14_000 < 5_000 {
            true => vec![(leader + 1) % 3],
            false => Vec::new(),
        };
    };
    assert_held("cut off", worst_window(fault));
}

#[test]
fn the_fleet_holds_its_retries_while_entry_hosts_move_between_control_hosts() {
    let fault = |ms: u64, fleet: &mut Fleet| {
        for (at, (control, _)) in fleet.entries.iter_mut().enumerate() {
            *control = (at + (ms / 3_000) as usize) % 3;
        }
    };
    assert_held("moving", worst_window(fault));
}

#[test]
fn many_followers_are_told_less_often_so_that_the_work_of_a_control_host_is_bounded() {
    let told_in_a_second = |followers: u32, targets: u32| {
        let mut crowd = LoadAggregator::default();
        let mut told = 0;
        for step in 0..200 {
            let now = Time::from_millis(10_000 + 5 * step);
            for follower in 0..followers {
                let loads = (0..targets).map(|at| TargetLoad {
                    id: format!("i-{at}").parse().unwrap(),
                    requests: 1,
                    unread_prompt_secs: 0.0,
                    last_output_ms_ago: None,
                });
                let tally = LoadReport {
                    entries: 1,
                    loads: loads.collect(),
                    work: Vec::new(),
                };
                crowd.record_report(NodeId(follower), tally, now);
                let news = crowd.report_for_entry(NodeId(follower), now);
                told += news.map_or(0, |tally| tally.loads.len());
            }
        }
        told
    };
    // A few followers are told each time they ask.
    assert_eq!(told_in_a_second(3, 20), 200 * 3 * 20);
    // With many the whole second's work stays within 30,000 loads, but for the first round.
    assert!(told_in_a_second(33, 600) <= 30_000 + 33 * 600);
    assert!(told_in_a_second(15, 60) <= 30_000 + 15 * 60);
}
