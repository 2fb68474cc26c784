//! A node: its voter, clock, disk and the application's state.

use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;

use base::DiskId;
use base::NodeId;
use base::Time;
use vote::Batch;
use vote::Config;
use vote::DiskWrite;
use vote::Index;
use vote::Lease;
use vote::Message;
use vote::Record;
use vote::Restored;
use vote::Role;
use vote::Snapshot;
use vote::Standing;
use vote::Voter;

/// How a clock behaves while its process is frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clock {
    Runs,
    Stopped,
}

/// What is synced on a disk.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    pub snapshot: Option<Snapshot>,
    pub records: Vec<Record>,
}

/// A node with its voter.
pub struct Node {
    pub id: NodeId,
    pub disk: DiskId,
    pub stored: Stored,
    pub voter: Option<Voter>,
    pub frozen: Option<(Clock, Time)>,
    /// Whether the clock was stopped at some time since the process started.
    pub clock_was_stopped: bool,
    pub inbox: VecDeque<(NodeId, Message)>,
    pub applied: Index,
    pub app: Vec<u64>,
    pub compact_every: usize,
    pub compacted: usize,
    /// No write ends before this time.
    pub disk_stuck_until: Time,
    configured_voters: Vec<NodeId>,
    pending_writes: VecDeque<(Time, Batch)>,
    rng: Rng,
    clock_rate: f64,
    clock_offset_us: u64,
    clock_stopped_for: Duration,
}

impl Node {
    pub fn new(id: NodeId, disk: DiskId, configured_voters: &[NodeId], mut rng: Rng) -> Self {
        Self {
            id,
            disk,
            stored: Stored::default(),
            voter: None,
            frozen: None,
            clock_was_stopped: false,
            inbox: VecDeque::new(),
            applied: Index::default(),
            app: Vec::new(),
            compact_every: 0,
            compacted: 0,
            disk_stuck_until: Time::ZERO,
            configured_voters: configured_voters.to_vec(),
            pending_writes: VecDeque::new(),
            clock_rate: 0.98 + 0.04 * rng.f64(),
            clock_offset_us: rng.u64(0..1_000_000_000),
            clock_stopped_for: Duration::ZERO,
            rng,
        }
    }

    pub fn start(&mut self, now: Time) {
        let mut config = Config::new(self.id, self.disk, self.configured_voters.iter().copied());
        config.seed = self.rng.u64(..);
        config.limits.kept_log_bytes = 64;
        config.limits.chunk_bytes = 100;
        config.limits.append_bytes = 500;
        let restored = Restored {
            snapshot: self.stored.snapshot.clone(),
            records: self.stored.records.clone(),
        };
        self.applied = Index::default();
        self.app.clear();
        self.compacted = 0;
        let local_now = self.local_time(now);
        self.voter = Some(Voter::open(config, restored, local_now));
    }

    /// Ends the process. Some of the oldest pending writes still reach the disk.
    pub fn crash(&mut self) {
        let kept = self.rng.usize(..=self.pending_writes.len());
        for (_, batch) in self.pending_writes.drain(..).take(kept).collect::<Vec<_>>() {
            self.store_batch(batch);
        }
        self.voter = None;
        self.frozen = None;
        self.clock_was_stopped = false;
        self.clock_stopped_for = Duration::ZERO;
        self.clock_offset_us = self.rng.u64(0..1_000_000_000);
        self.inbox.clear();
    }

    pub fn freeze(&mut self, clock: Clock, now: Time) {
        if self.voter.is_some() && self.frozen.is_none() {
            self.frozen = Some((clock, now));
            self.clock_was_stopped |= clock == Clock::Stopped;
        }
    }

    pub fn unfreeze(&mut self, now: Time) {
        let Some((clock, since)) = self.frozen.take() else {
            return;
        };
        if clock == Clock::Stopped {
            self.clock_stopped_for += now.since(since);
        }
        while let Some((from, message)) = self.inbox.pop_front() {
            self.receive(from, message, now);
        }
    }

    /// The time on this node's clock.
    pub fn local_time(&self, now: Time) -> Time {
        let now = match self.frozen {
            Some((Clock::Stopped, since)) => since,
            _ => now,
        };
        let elapsed = now.since(Time::ZERO).saturating_sub(self.clock_stopped_for);
        Time(self.clock_offset_us) + elapsed.mul_f64(self.clock_rate)
    }

    pub fn is_awake(&self) -> bool {
        self.voter.is_some() && self.frozen.is_none()
    }

    pub fn role(&self) -> Option<Role> {
        self.voter.as_ref().map(Voter::role)
    }

    pub fn standing(&self) -> Option<Standing> {
        self.voter.as_ref().map(Voter::standing)
    }

    pub fn lease(&self, now: Time) -> Option<Lease> {
        self.voter.as_ref()?.lease(self.local_time(now))
    }

    pub fn receive(&mut self, from: NodeId, message: Message, now: Time) {
        let local_now = self.local_time(now);
        if let Some(voter) = &mut self.voter {
            voter.receive(from, message, local_now);
        }
    }

    pub fn write(&mut self, batch: Batch, now: Time, span: Duration) {
        let last = self.pending_writes.back().map_or(now, |(at, _)| *at);
        let at = last.max(now).max(self.disk_stuck_until) + span;
        self.pending_writes.push_back((at, batch));
    }

    /// When the node has work to do next, in real time.
    pub fn due(&self, now: Time) -> Time {
        let Some(voter) = self.voter.as_ref().filter(|_| self.frozen.is_none()) else {
            return Time::NEVER;
        };
        let wait = voter.next_deadline().since(self.local_time(now));
        let tick = if voter.next_deadline() == Time::NEVER {
            Time::NEVER
        } else {
            now + wait.div_f64(self.clock_rate) + Duration::from_micros(u64::from(!wait.is_zero()))
        };
        let written = self
            .pending_writes
            .front()
            .map_or(Time::NEVER, |(at, _)| *at);
        tick.min(written)
    }

    /// Does the work that is due. Returns whether there was any.
    pub fn run_due_work(&mut self, now: Time) -> bool {
        if !self.is_awake() {
            return false;
        }
        let local_now = self.local_time(now);
        let mut did_work = false;
        while let Some((at, _)) = self.pending_writes.front()
            && *at <= now
        {
            let (_, batch) = self.pending_writes.pop_front().unwrap();
            let id = batch.id;
            self.store_batch(batch);
            self.voter.as_mut().unwrap().mark_synced(id, local_now);
            did_work = true;
        }
        let voter = self.voter.as_mut().unwrap();
        if voter.next_deadline() <= local_now {
            voter.tick(local_now);
            did_work = true;
        }
        did_work
    }

    fn store_batch(&mut self, batch: Batch) {
        match batch.write {
            DiskWrite::Append(records) => self.stored.records.extend(records),
            DiskWrite::Checkpoint { snapshot, records } => {
                self.stored = Stored {
                    snapshot: Some(snapshot),
                    records,
                };
            }
        }
    }
}
