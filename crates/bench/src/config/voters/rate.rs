//! The rate of changes that three voters sustain on real disks.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::config::voters::percentile_ms;
use crate::report::Table;
use base::NodeId;
use base::Time;
use disk::Log;
use vote::Batch;
use vote::BatchId;
use vote::Config;
use vote::DiskWrite;
use vote::Index;
use vote::Message;
use vote::Restored;
use vote::Role;
use vote::Voter;

/// How long each rate is measured.
const MEASURED_TIME: Duration = Duration::from_secs(3);
const COMMAND: [u8; 1_000] = [7; 1_000];

/// The rate of changes at several numbers in flight, compared with synced appends to one log.
pub fn table() -> Table {
    let mut table = Table::new(
        "voters: changes of 1,000 bytes a second, sustained",
        &[
            "in flight",
            "voters /s",
            "p50 ms",
            "p99 ms",
            "bare append /s",
            "ratio",
        ],
    );
    for in_flight in [1, 16, 256] {
        let bare = bare_append(in_flight);
        let (rate, times) = replicated_changes(in_flight);
        table.row([
            in_flight.to_string(),
            format!("{rate:.0}"),
            percentile_ms(&times, 0.5),
            percentile_ms(&times, 0.99),
            format!("{bare:.0}"),
            format!("{:.2}", rate / bare),
        ]);
    }
    table
}

/// The rate of records of one log that syncs after every `batch` records, per second.
fn bare_append(batch: usize) -> f64 {
    let folder = TempFolder::new("bare");
    let Ok((mut log, _)) = Log::open(&folder.0) else {
        return f64::NAN;
    };
    let records = vec![COMMAND.to_vec(); batch];
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < MEASURED_TIME && log.append(&records).is_ok() && log.sync().is_ok() {
        count += batch;
    }
    count as f64 / started.elapsed().as_secs_f64()
}

/// The rate of changes of three voters, per second, and the sorted times that each took.
fn replicated_changes(in_flight: usize) -> (f64, Vec<Duration>) {
    let mut voters = Voters::open();
    voters.run_until(|voters| voters.leader().is_some());
    let leader = voters.leader().unwrap_or_default();
    let mut in_flight_since: BTreeMap<Index, Instant> = BTreeMap::new();
    let mut times = Vec::new();
    let started = Instant::now();
    while started.elapsed() < MEASURED_TIME {
        while in_flight_since.len() < in_flight
            && let Some(index) = voters.propose(leader)
        {
            in_flight_since.insert(index, Instant::now());
        }
        voters.step();
        let applied = voters.nodes[&leader].applied;
        let pending = in_flight_since.split_off(&applied.next());
        times.extend(in_flight_since.values().map(Instant::elapsed));
        in_flight_since = pending;
    }
    let rate = times.len() as f64 / started.elapsed().as_secs_f64();
    times.sort_unstable();
    (rate, times)
}

/// A temporary folder that is removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let name = format!("berylbay-bench-{}-{name}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A voter and the thread that writes its log.
struct Node {
    voter: Voter,
    applied: Index,
    batches: Sender<Batch>,
    writer: JoinHandle<()>,
    _temp_folder: TempFolder,
}

/// Three voters that run on one thread, each with another thread that writes its log.
struct Voters {
    started: Instant,
    nodes: BTreeMap<NodeId, Node>,
    messages: VecDeque<(NodeId, NodeId, Message)>,
    synced: Receiver<(NodeId, BatchId)>,
}

impl Voters {
    fn open() -> Self {
        let (done, synced) = mpsc::channel();
        let ids = (1..=3).map(NodeId);
        let nodes = ids.filter_map(|id| Some((id, Node::open(id, done.clone())?)));
        Self {
            started: Instant::now(),
            nodes: nodes.collect(),
            messages: VecDeque::new(),
            synced,
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(1_000) + self.started.elapsed()
    }

    fn leader(&self) -> Option<NodeId> {
        let now = self.now();
        let leads = |(_, node): &(&NodeId, &Node)| {
            node.voter.role() == Role::Leader && node.voter.lease(now).is_some()
        };
        self.nodes.iter().find(leads).map(|(id, _)| *id)
    }

    fn propose(&mut self, id: NodeId) -> Option<Index> {
        let now = self.now();
        let node = self.nodes.get_mut(&id)?;
        node.voter
            .propose(&COMMAND[..], now)
            .ok()
            .map(|proposal| proposal.index)
    }

    fn run_until(&mut self, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            self.step();
        }
    }

    /// Runs due ticks and delivers messages and finished syncs. Waits up to 1 ms for a sync if there
    /// are no messages.
    fn step(&mut self) {
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let now = self.now();
            if let Some(node) = self.nodes.get_mut(&id)
                && node.voter.next_deadline() <= now
            {
                node.voter.tick(now);
            }
            self.apply_effects(id);
        }
        if self.messages.is_empty()
            && let Ok((id, batch)) = self.synced.recv_timeout(Duration::from_millis(1))
        {
            self.mark_synced(id, batch);
        }
        while let Ok((id, batch)) = self.synced.try_recv() {
            self.mark_synced(id, batch);
        }
        for (from, to, message) in std::mem::take(&mut self.messages) {
            let now = self.now();
            if let Some(node) = self.nodes.get_mut(&to) {
                node.voter.receive(from, message, now);
            }
        }
    }

    fn mark_synced(&mut self, id: NodeId, batch: BatchId) {
        let now = self.now();
        if let Some(node) = self.nodes.get_mut(&id) {
            node.voter.mark_synced(batch, now);
        }
    }

    fn apply_effects(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let effects = node.voter.take_effects();
        let last = effects.committed.last().map(|entry| entry.index);
        node.applied = last.unwrap_or(node.applied);
        if let Some(batch) = effects.batch {
            let _ = node.batches.send(batch);
        }
        let sends = effects.sends.into_iter();
        self.messages
            .extend(sends.map(|sent| (id, sent.to, sent.message)));
    }
}

impl Drop for Voters {
    fn drop(&mut self) {
        while let Some((_, node)) = self.nodes.pop_first() {
            drop(node.batches);
            let _ = node.writer.join();
        }
    }
}

impl Node {
    fn open(id: NodeId, done: Sender<(NodeId, BatchId)>) -> Option<Self> {
        let folder = TempFolder::new(&id.to_string());
        let (log, restored) = Log::open(&folder.0).ok()?;
        let cfg = Config::new(id, restored.disk, (1..=3).map(NodeId));
        let voter = Voter::open(cfg, Restored::default(), Time::from_millis(1_000));
        let (batches, queue) = mpsc::channel();
        let writer = thread::spawn(move || run_writer(id, log, &queue, &done));
        Some(Self {
            voter,
            applied: Index::default(),
            batches,
            writer,
            _temp_folder: folder,
        })
    }
}

/// Writes batches in order. All batches that wait in the queue share one sync.
fn run_writer(id: NodeId, mut log: Log, queue: &Receiver<Batch>, done: &Sender<(NodeId, BatchId)>) {
    while let Ok(mut batch) = queue.recv() {
        loop {
            if !append(&mut log, &batch.write) {
                return;
            }
            match queue.try_recv() {
                Ok(next) => batch = next,
                Err(_) => break,
            }
        }
        if log.sync().is_err() || done.send((id, batch.id)).is_err() {
            return;
        }
    }
}

fn append(log: &mut Log, write: &DiskWrite) -> bool {
    let encode = |record| postcard::to_stdvec(record).unwrap_or_default();
    match write {
        DiskWrite::Append(records) => {
            let records: Vec<_> = records.iter().map(encode).collect();
            log.append(&records).is_ok()
        }
        DiskWrite::Checkpoint { snapshot, records } => {
            let records: Vec<_> = records.iter().map(encode).collect();
            let state = postcard::to_stdvec(snapshot).unwrap_or_default();
            log.write_snapshot(&state, &records).is_ok()
        }
    }
}
