//! A voter with its disk, and the proposals that wait for their entries.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;

use crate::clock;
use crate::disk_writer;
use crate::environment::Environment;
use crate::environment::VoterEvent;
use base::NodeId;
use base::Time;
use base::Version;
use disk::Log;
use disk::Options;
use fleet::ReplicaRecord;
use state::Command;
use state::LogClock;
use state::Reply;
use state::State;
use vote::Batch;
use vote::Entry;
use vote::Index;
use vote::Outgoing;
use vote::Payload;
use vote::Role;
use vote::Snapshot;
use vote::Standing;
use vote::Term;
use vote::Voter;

/// The time between two ticks of the voter.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A snapshot is made once the log has this many bytes, or twice the size of the
/// last snapshot if that is more.
const MIN_LOG_BYTES_FOR_SNAPSHOT: u64 = 1024 * 1024;

/// The voter of this process, with the state that its committed entries produce.
#[derive(Debug)]
pub struct LocalVoter {
    /// The voter's data folder.
    pub folder: PathBuf,
    /// The voter.
    pub voter: RefCell<Voter>,
    /// The state after all applied entries.
    pub state: RefCell<State>,
    clock: RefCell<LogClock>,
    batch_sender: Sender<Batch>,
    pending_proposals: RefCell<BTreeMap<Index, PendingProposal>>,
    /// The index of the last applied entry, with or without a command.
    last_applied: Cell<Index>,
    last_snapshot_bytes: Cell<u64>,
    is_encoding_snapshot: Cell<bool>,
    halted: Cell<bool>,
    /// The role and standing at the last status change that was logged.
    last_reported: RefCell<Option<(Role, Standing)>>,
}

/// A proposal that waits until its entry is applied.
#[derive(Debug)]
struct PendingProposal {
    term: Term,
    reply_sender: Sender<Option<Reply>>,
}

/// The log on disk, and the batches to be written to it.
pub struct WriteQueue {
    log: Log,
    batches: Receiver<Batch>,
}

/// Opens a voter that keeps its log in `folder`. `cfg` makes its configuration from
/// the identity of the folder.
pub fn open(
    folder: &Path,
    cfg: impl FnOnce(base::DiskId) -> vote::Config,
) -> io::Result<(LocalVoter, WriteQueue)> {
    open_with(folder, Options::default(), cfg)
}

/// Opens a voter as [`open`] does, with the given options of its log.
pub fn open_with(
    folder: &Path,
    options: Options,
    cfg: impl FnOnce(base::DiskId) -> vote::Config,
) -> io::Result<(LocalVoter, WriteQueue)> {
    let (log, restored) = Log::open_with(folder, options).map_err(io::Error::other)?;
    let restored_voter = disk_writer::decode(&restored).map_err(io::Error::other)?;
    let cfg = cfg(restored.disk);
    let now = clock::now();
    let (batch_sender, batches) = async_channel::unbounded();
    let local_voter = LocalVoter {
        folder: folder.to_owned(),
        voter: RefCell::new(Voter::open(cfg, restored_voter, now)),
        state: RefCell::default(),
        clock: RefCell::new(LogClock::resume(state::LogTime(0), now)),
        batch_sender,
        pending_proposals: RefCell::default(),
        last_applied: Cell::default(),
        last_snapshot_bytes: Cell::new(0),
        is_encoding_snapshot: Cell::new(false),
        halted: Cell::new(false),
        last_reported: RefCell::default(),
    };
    let write_queue = WriteQueue { log, batches };
    Ok((local_voter, write_queue))
}

/// Runs the voter for as long as the process runs.
pub async fn run_voter<Env: Environment>(env: Env, write_queue: WriteQueue) {
    let writer = disk_writer::write_batches(env.clone(), write_queue.log, write_queue.batches);
    compio::runtime::spawn(writer).detach();
    loop {
        if let Some(local_voter) = env.local_voter().filter(|v| !v.is_halted()) {
            local_voter.voter.borrow_mut().tick(clock::now());
        }
        run_effects(&env);
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Carries out the voter's pending effects. Call this after each input.
pub fn run_effects<Env: Environment>(env: &Env) {
    for outgoing in apply_effects(env) {
        env.send(outgoing);
    }
}

/// Handles a message from another voter, and returns the replies to that voter.
pub fn receive<Env: Environment>(
    env: &Env,
    from: NodeId,
    message: vote::Message,
) -> Vec<vote::Message> {
    let Some(local_voter) = env.local_voter().filter(|v| !v.is_halted()) else {
        return Vec::new();
    };
    local_voter
        .voter
        .borrow_mut()
        .receive(from, message, clock::now());
    let mut replies = Vec::new();
    for outgoing in apply_effects(env) {
        match outgoing.to == from {
            true => replies.push(outgoing.message),
            false => env.send(outgoing),
        }
    }
    replies
}

/// Carries out the voter's pending effects, but returns the messages to send.
fn apply_effects<Env: Environment>(env: &Env) -> Vec<Outgoing> {
    let Some(local_voter) = env.local_voter().filter(|v| !v.is_halted()) else {
        return Vec::new();
    };
    let effects = local_voter.voter.borrow_mut().take_effects();
    if let Some(snapshot) = effects.install {
        local_voter.install_snapshot(env, &snapshot);
    }
    for entry in effects.committed {
        local_voter.apply_entry(env, &entry);
    }
    if local_voter.is_halted() {
        return Vec::new();
    }
    if let Some(batch) = effects.batch {
        // The writer ends only when the disk fails; this voter then takes no part.
        let _ = local_voter.batch_sender.try_send(batch);
    }
    compact(env, local_voter);
    local_voter.report_status_change(env);
    env.entries_applied();
    effects.sends
}

/// Lets another voter lead before this process ends.
pub fn hand_over_leadership<Env: Environment>(env: &Env) {
    if let Some(local_voter) = env.local_voter() {
        local_voter
            .voter
            .borrow_mut()
            .hand_over_leadership(clock::now());
    }
    run_effects(env);
}

/// Makes a snapshot once the log is large enough. It is encoded on a thread that
/// may block.
fn compact<Env: Environment>(env: &Env, local_voter: &LocalVoter) {
    let limit = MIN_LOG_BYTES_FOR_SNAPSHOT.max(2 * local_voter.last_snapshot_bytes.get());
    if local_voter.is_encoding_snapshot.get() || local_voter.voter.borrow().log_bytes().0 < limit {
        return;
    }
    local_voter.is_encoding_snapshot.set(true);
    let applied = local_voter.applied_index();
    let state_copy = local_voter.state.borrow().copy_for_snapshot();
    let env = env.clone();
    compio::runtime::spawn(async move {
        let encoded = compio::runtime::spawn_blocking(move || state_copy.encode()).await;
        if let (Ok(bytes), Some(local_voter)) = (encoded, env.local_voter()) {
            local_voter.last_snapshot_bytes.set(bytes.len() as u64);
            local_voter.is_encoding_snapshot.set(false);
            local_voter
                .voter
                .borrow_mut()
                .compact(Index(applied), bytes);
            run_effects(&env);
        }
    })
    .detach();
}

impl LocalVoter {
    /// Proposes a command. The reply arrives once the command is applied; it is `None`
    /// if the command was not accepted.
    pub fn propose(&self, op: state::Op) -> Result<Receiver<Option<Reply>>, vote::ProposeError> {
        let now = clock::now();
        let at = self.clock.borrow().time_at(now);
        let command = Command { at, op }.encode();
        let proposal = self.voter.borrow_mut().propose(command, now)?;
        let (reply_sender, reply) = async_channel::bounded(1);
        let pending = PendingProposal {
            term: proposal.term,
            reply_sender,
        };
        self.pending_proposals
            .borrow_mut()
            .insert(proposal.index, pending);
        Ok(reply)
    }

    /// The index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.last_applied.get().0
    }

    /// The term in which this voter leads, if it holds a lease and its state contains
    /// all entries that the lease requires. `None` if it may not answer from its state.
    pub fn leader_term(&self, now: Time) -> Option<Term> {
        let voter = self.voter.borrow();
        let lease = voter.lease(now)?;
        (lease.index <= self.last_applied.get()).then(|| voter.status().term)
    }

    /// The latest accepted configuration with its version.
    pub fn configuration(&self) -> (Version, std::sync::Arc<str>) {
        let state = self.state.borrow();
        let register = state.config();
        (register.version(), register.text().clone())
    }

    /// The recorded replicas, as of the last applied entry.
    pub fn recorded_replicas(&self) -> Vec<ReplicaRecord> {
        self.state.borrow().replicas().records().cloned().collect()
    }

    /// Whether this voter has stopped, because its state would otherwise differ from
    /// that of the others.
    pub fn is_halted(&self) -> bool {
        self.halted.get()
    }

    pub(crate) fn halt<Env: Environment>(&self, env: &Env, reason: String) {
        self.halted.set(true);
        env.log_event(&VoterEvent::NotVoting { reason });
    }

    fn install_snapshot<Env: Environment>(&self, env: &Env, snapshot: &Snapshot) {
        let bytes = &snapshot.state;
        match State::decode(bytes) {
            Ok(state) => {
                self.last_snapshot_bytes.set(bytes.len() as u64);
                self.clock.borrow_mut().observe(state.now(), clock::now());
                self.state.replace(state);
                self.last_applied.set(snapshot.last_included.index);
            }
            Err(e) => self.halt(env, e.to_string()),
        }
    }

    fn apply_entry<Env: Environment>(&self, env: &Env, entry: &Entry) {
        if self.is_halted() {
            return;
        }
        let reply = match &entry.payload {
            Payload::Command(bytes) => match Command::decode(bytes) {
                Ok(command) => {
                    self.clock.borrow_mut().observe(command.at, clock::now());
                    Some(self.state.borrow_mut().apply(entry.index.0, &command))
                }
                Err(e) => {
                    let reason = format!("entry {} cannot be read: {e}", entry.index);
                    self.halt(env, reason);
                    return;
                }
            },
            Payload::Noop | Payload::Group(_) => None,
        };
        self.last_applied.set(entry.index);
        if let Payload::Group(_) = entry.payload {
            env.members_changed();
        }
        let pending = self.pending_proposals.borrow_mut().remove(&entry.index);
        if let Some(pending) = pending {
            // Another term means that another leader's entry was committed at this index.
            let reply = reply.filter(|_| pending.term == entry.term);
            let _ = pending.reply_sender.try_send(reply);
        }
    }

    /// Logs a change of this voter's role or standing.
    fn report_status_change<Env: Environment>(&self, env: &Env) {
        let status = self.voter.borrow().status();
        let now = (status.role, status.standing);
        if *self.last_reported.borrow() == Some(now) {
            return;
        }
        self.last_reported.replace(Some(now));
        match (status.role, status.leader) {
            (Role::Leader, _) => env.log_event(&VoterEvent::Leading {
                term: status.term.0,
            }),
            (_, Some(leader)) => env.log_event(&VoterEvent::Following { leader }),
            _ => {}
        }
        if matches!(status.standing, Standing::Lost | Standing::Replaced) {
            let reason = format!("{:?}", status.standing);
            env.log_event(&VoterEvent::NotVoting { reason });
        }
    }
}
