//! One voter with its clock, its disk and the daemon's state.

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

/// What a clock does while its process is frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clock {
    GoesOn,
    Stands,
}

/// What is synced on a disk.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    pub snapshot: Option<Snapshot>,
    pub records: Vec<Record>,
}

/// One voter.
pub struct Node {
    pub id: NodeId,
    pub disk: DiskId,
    pub stored: Stored,
    pub voter: Option<Voter>,
    pub frozen: Option<(Clock, Time)>,
    /// Whether the clock stood for a while in the present life.
    pub clock_stood: bool,
    pub inbox: VecDeque<(NodeId, Message)>,
    pub applied: Index,
    pub app: Vec<u64>,
    pub compact_every: usize,
    pub compacted: usize,
    /// No write ends before this time.
    pub disk_stuck_until: Time,
    settings: Vec<NodeId>,
    writing: VecDeque<(Time, Batch)>,
    rng: Rng,
    rate: f64,
    offset: u64,
    stood: Duration,
}

impl Node {
    pub fn new(id: NodeId, disk: DiskId, settings: &[NodeId], mut rng: Rng) -> Self {
        Self {
            id,
            disk,
            stored: Stored::default(),
            voter: None,
            frozen: None,
            clock_stood: false,
            inbox: VecDeque::new(),
            applied: Index::default(),
            app: Vec::new(),
            compact_every: 0,
            compacted: 0,
            disk_stuck_until: Time::ZERO,
            settings: settings.to_vec(),
            writing: VecDeque::new(),
            rate: 0.98 + 0.04 * rng.f64(),
            offset: rng.u64(0..1_000_000_000),
            stood: Duration::ZERO,
            rng,
        }
    }

    pub fn start(&mut self, now: Time) {
        let mut config = Config::new(self.id, self.disk, self.settings.iter().copied());
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
        let local = self.local(now);
        self.voter = Some(Voter::open(config, restored, local));
    }

    /// Ends the process. Of the writes under way the first few may have made it.
    pub fn crash(&mut self) {
        let kept = self.rng.usize(..=self.writing.len());
        for (_, batch) in self.writing.drain(..).take(kept).collect::<Vec<_>>() {
            self.store(batch);
        }
        self.voter = None;
        self.frozen = None;
        self.clock_stood = false;
        self.stood = Duration::ZERO;
        self.offset = self.rng.u64(0..1_000_000_000);
        self.inbox.clear();
    }

    pub fn freeze(&mut self, clock: Clock, now: Time) {
        if self.voter.is_some() && self.frozen.is_none() {
            self.frozen = Some((clock, now));
            self.clock_stood |= clock == Clock::Stands;
        }
    }

    pub fn thaw(&mut self, now: Time) {
        let Some((clock, since)) = self.frozen.take() else {
            return;
        };
        if clock == Clock::Stands {
            self.stood += now.since(since);
        }
        while let Some((from, message)) = self.inbox.pop_front() {
            self.receive(from, message, now);
        }
    }

    /// The time on this process's clock.
    pub fn local(&self, now: Time) -> Time {
        let now = match self.frozen {
            Some((Clock::Stands, since)) => since,
            _ => now,
        };
        let gone = now.since(Time::ZERO).saturating_sub(self.stood);
        Time(self.offset) + gone.mul_f64(self.rate)
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
        self.voter.as_ref()?.lease(self.local(now))
    }

    pub fn receive(&mut self, from: NodeId, message: Message, now: Time) {
        let local = self.local(now);
        if let Some(voter) = &mut self.voter {
            voter.receive(from, message, local);
        }
    }

    pub fn write(&mut self, batch: Batch, now: Time, span: Duration) {
        let last = self.writing.back().map_or(now, |(at, _)| *at);
        let at = last.max(now).max(self.disk_stuck_until) + span;
        self.writing.push_back((at, batch));
    }

    /// When it has something to do, in real time.
    pub fn due(&self, now: Time) -> Time {
        let Some(voter) = self.voter.as_ref().filter(|_| self.frozen.is_none()) else {
            return Time::NEVER;
        };
        let wait = voter.next_deadline().since(self.local(now));
        let tick = if voter.next_deadline() == Time::NEVER {
            Time::NEVER
        } else {
            now + wait.div_f64(self.rate) + Duration::from_micros(u64::from(!wait.is_zero()))
        };
        let written = self.writing.front().map_or(Time::NEVER, |(at, _)| *at);
        tick.min(written)
    }

    /// Does what is due. Whether it did something.
    pub fn run_due(&mut self, now: Time) -> bool {
        if !self.is_awake() {
            return false;
        }
        let local = self.local(now);
        let mut did = false;
        while let Some((at, _)) = self.writing.front()
            && *at <= now
        {
            let (_, batch) = self.writing.pop_front().unwrap();
            let id = batch.id;
            self.store(batch);
            self.voter.as_mut().unwrap().mark_synced(id, local);
            did = true;
        }
        let voter = self.voter.as_mut().unwrap();
        if voter.next_deadline() <= local {
            voter.tick(local);
            did = true;
        }
        did
    }

    fn store(&mut self, batch: Batch) {
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
