//! One voter with its disk, and the proposals that wait for it.

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

/// How often the voter goes on in time.
const TICK: Duration = Duration::from_millis(20);

/// Bytes of the log before a snapshot is made, unless the state is larger.
const SNAPSHOT_BYTES: u64 = 1024 * 1024;

/// This node's part among the voters.
#[derive(Debug)]
pub struct LocalVoter {
    /// Its data folder.
    pub folder: PathBuf,
    /// Its voter.
    pub voter: RefCell<Voter>,
    /// The state that the committed entries make.
    pub state: RefCell<State>,
    clock: RefCell<LogClock>,
    batches: Sender<Batch>,
    waiting: RefCell<BTreeMap<Index, Waiter>>,
    /// The last entry that was applied. Entries without a command count too.
    applied: Cell<Index>,
    snapshot_bytes: Cell<u64>,
    encoding: Cell<bool>,
    halted: Cell<bool>,
    reported: RefCell<Option<(Role, Standing)>>,
}

/// A proposal that waits for its entry.
#[derive(Debug)]
struct Waiter {
    term: Term,
    done: Sender<Option<Reply>>,
}

/// The log and the batches that are to be written to it.
pub struct WriteQueue {
    log: Log,
    batches: Receiver<Batch>,
}

/// Opens a voter that keeps its log in `folder`. Its settings are made from the
/// identity of that folder.
pub fn open(
    folder: &Path,
    cfg: impl FnOnce(base::DiskId) -> vote::Config,
) -> io::Result<(LocalVoter, WriteQueue)> {
    let (log, restored) = Log::open(folder).map_err(io::Error::other)?;
    let held = disk_writer::decode(&restored).map_err(io::Error::other)?;
    let cfg = cfg(restored.disk);
    let now = clock::now();
    let (batches, queue) = async_channel::unbounded();
    let local = LocalVoter {
        folder: folder.to_owned(),
        voter: RefCell::new(Voter::open(cfg, held, now)),
        state: RefCell::default(),
        clock: RefCell::new(LogClock::resume(state::LogTime(0), now)),
        batches,
        waiting: RefCell::default(),
        applied: Cell::default(),
        snapshot_bytes: Cell::new(0),
        encoding: Cell::new(false),
        halted: Cell::new(false),
        reported: RefCell::default(),
    };
    let writes = WriteQueue {
        log,
        batches: queue,
    };
    Ok((local, writes))
}

/// Drives the voter, for as long as the process runs.
pub async fn run_voter<Env: Environment>(env: Env, writes: WriteQueue) {
    let writing = disk_writer::write_batches(env.clone(), writes.log, writes.batches);
    compio::runtime::spawn(writing).detach();
    loop {
        if let Some(local) = env.local_voter().filter(|v| !v.is_halted()) {
            local.voter.borrow_mut().tick(clock::now());
        }
        run_effects(&env);
        compio::time::sleep(TICK).await;
    }
}

/// Carries out what the voter asks for. Called after each input.
pub fn run_effects<Env: Environment>(env: &Env) {
    for outgoing in carry_out(env) {
        env.send(outgoing);
    }
}

/// Takes a message of another voter, and gives what there is to say back to it at once.
pub fn receive<Env: Environment>(
    env: &Env,
    from: NodeId,
    message: vote::Message,
) -> Vec<vote::Message> {
    let Some(local) = env.local_voter().filter(|v| !v.is_halted()) else {
        return Vec::new();
    };
    local
        .voter
        .borrow_mut()
        .receive(from, message, clock::now());
    let mut back = Vec::new();
    for outgoing in carry_out(env) {
        match outgoing.to == from {
            true => back.push(outgoing.message),
            false => env.send(outgoing),
        }
    }
    back
}

/// Carries out what the voter asks for but its sends, which it gives.
fn carry_out<Env: Environment>(env: &Env) -> Vec<Outgoing> {
    let Some(local) = env.local_voter().filter(|v| !v.is_halted()) else {
        return Vec::new();
    };
    let effects = local.voter.borrow_mut().take_effects();
    if let Some(snapshot) = effects.install {
        local.install(env, &snapshot);
    }
    for entry in effects.committed {
        local.apply(env, &entry);
    }
    if local.is_halted() {
        return Vec::new();
    }
    if let Some(batch) = effects.batch {
        // The writer ends only with the disk, and then this voter takes no part.
        let _ = local.batches.try_send(batch);
    }
    compact(env, local);
    local.report(env);
    env.entries_applied();
    effects.sends
}

/// Lets another voter lead before this process ends.
pub fn hand_over_leadership<Env: Environment>(env: &Env) {
    if let Some(local) = env.local_voter() {
        local.voter.borrow_mut().hand_over_leadership(clock::now());
    }
    run_effects(env);
}

/// Makes a snapshot once enough was applied. It is encoded on a thread that may wait.
fn compact<Env: Environment>(env: &Env, local: &LocalVoter) {
    let limit = SNAPSHOT_BYTES.max(2 * local.snapshot_bytes.get());
    if local.encoding.get() || local.voter.borrow().log_bytes().0 < limit {
        return;
    }
    local.encoding.set(true);
    let applied = local.applied_index();
    let image = local.state.borrow().copy_for_snapshot();
    let env = env.clone();
    compio::runtime::spawn(async move {
        let encoded = compio::runtime::spawn_blocking(move || image.encode()).await;
        if let (Ok(bytes), Some(local)) = (encoded, env.local_voter()) {
            local.snapshot_bytes.set(bytes.len() as u64);
            local.encoding.set(false);
            local.voter.borrow_mut().compact(Index(applied), bytes);
            run_effects(&env);
        }
    })
    .detach();
}

impl LocalVoter {
    /// Proposes a command. The reply comes once it is applied, None if it was not accepted.
    pub fn propose(&self, op: state::Op) -> Result<Receiver<Option<Reply>>, vote::ProposeError> {
        let now = clock::now();
        let at = self.clock.borrow().time_at(now);
        let command = Command { at, op }.encode();
        let ticket = self.voter.borrow_mut().propose(command, now)?;
        let (done, reply) = async_channel::bounded(1);
        let waiter = Waiter {
            term: ticket.term,
            done,
        };
        self.waiting.borrow_mut().insert(ticket.index, waiter);
        Ok(reply)
    }

    /// The index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied.get().0
    }

    /// The term in which it leads with a majority behind it and a state that contains all
    /// that was committed. None if it may not answer from its state.
    pub fn leader_term(&self, now: Time) -> Option<Term> {
        let voter = self.voter.borrow();
        let lease = voter.lease(now)?;
        (lease.index <= self.applied.get()).then(|| voter.status().term)
    }

    /// The configuration that was accepted last.
    pub fn configuration(&self) -> (Version, std::sync::Arc<str>) {
        let state = self.state.borrow();
        let register = state.config();
        (register.version(), register.text().clone())
    }

    /// Whether this voter has stopped: going on would make its state differ from the
    /// others'.
    pub fn is_halted(&self) -> bool {
        self.halted.get()
    }

    fn halt<Env: Environment>(&self, env: &Env, reason: String) {
        self.halted.set(true);
        env.log_event(&VoterEvent::NotVoting { reason });
    }

    fn install<Env: Environment>(&self, env: &Env, snapshot: &Snapshot) {
        let bytes = &snapshot.state;
        match State::decode(bytes) {
            Ok(state) => {
                self.snapshot_bytes.set(bytes.len() as u64);
                self.clock.borrow_mut().observe(state.now(), clock::now());
                self.state.replace(state);
                self.applied.set(snapshot.last_included.index);
            }
            Err(e) => self.halt(env, e.to_string()),
        }
    }

    fn apply<Env: Environment>(&self, env: &Env, entry: &Entry) {
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
        self.applied.set(entry.index);
        let waiter = self.waiting.borrow_mut().remove(&entry.index);
        if let Some(waiter) = waiter {
            // Another term at this place means that another leader's entry took it.
            let reply = reply.filter(|_| waiter.term == entry.term);
            let _ = waiter.done.try_send(reply);
        }
    }

    /// Logs a change of this voter's part.
    fn report<Env: Environment>(&self, env: &Env) {
        let status = self.voter.borrow().status();
        let now = (status.role, status.standing);
        if *self.reported.borrow() == Some(now) {
            return;
        }
        self.reported.replace(Some(now));
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
