//! The rests that an entry host knows, and which of them others have to learn of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::NodeId;
use base::ServiceName;
use base::Time;
use fleet::AskedRest;
use fleet::RestList;
use forward::RequestedRest;
use forward::RestTable;
use forward::Target;
use forward::TargetId;
use forward::TargetTable;

/// Others are told at once of a rest that ends this much later than was known. In a shorter time no
/// more than one request is sent after a rest.
const MIN_NEWS: Duration = Duration::from_millis(200);

/// Where an upstream takes requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    addr: SocketAddr,
    service: ServiceName,
}

impl Place {
    fn of(target: &Target) -> Self {
        Self {
            addr: target.addr,
            service: target.service.clone(),
        }
    }
}

fn id_of(target: &Target) -> TargetId {
    (target.id.clone(), target.incarnation)
}

/// The rests that this host knows.
#[derive(Debug)]
pub(crate) struct KnownRests {
    /// By the upstream, and the machine that was asked.
    pub table: RestTable<(TargetId, NodeId)>,
    /// The leader's list as this host knows it.
    edition: fleet::Edition,
    /// Where the upstreams are that asked for rest.
    places: BTreeMap<TargetId, Place>,
    /// Rests that are to be reported.
    pub unreported: BTreeSet<(TargetId, NodeId)>,
    /// When the last rest was logged that could not be read.
    pub unreadable_logged_at: Option<Time>,
}

impl KnownRests {
    /// Knows no rests. `seed` is for the random part of the waits.
    pub fn new(seed: u64) -> Self {
        Self {
            table: RestTable::new(seed),
            edition: fleet::Edition::default(),
            places: BTreeMap::new(),
            unreported: BTreeSet::new(),
            unreadable_logged_at: None,
        }
    }

    /// The version of the leader's list that this host knows.
    pub fn edition(&self) -> fleet::Edition {
        self.edition
    }

    /// Takes over the leader's list, if it is newer.
    pub fn apply(&mut self, list: RestList, now: Time) {
        if list.edition <= self.edition {
            return;
        }
        self.edition = list.edition;
        for rest in list.items {
            let left = RequestedRest::new(rest.left());
            let key = ((rest.process, rest.incarnation), rest.entry);
            self.table.record_rest(&key, left, now);
        }
    }

    /// Has targets rest that are new starts of upstreams which asked for rest: those with the same id,
    /// or of the same service at the same address.
    pub fn follow_restarts(&mut self, targets: &TargetTable, now: Time) {
        let mut asked: Vec<TargetId> = self.table.keys().map(|(id, _)| id.clone()).collect();
        asked.dedup();
        self.places.retain(|id, _| asked.binary_search(id).is_ok());
        if asked.is_empty() {
            return;
        }
        let by_place: BTreeMap<Place, TargetId> = targets
            .targets()
            .map(|target| (Place::of(target), id_of(target)))
            .collect();
        for id in asked {
            let same_id = targets.get(&id.0);
            let place = self.places.get(&id);
            let at_place = place.and_then(|place| by_place.get(place)).cloned();
            for successor in same_id.map(id_of).into_iter().chain(at_place) {
                if successor != id {
                    self.inherit(&id, &successor, now);
                }
            }
            if let Some(target) = same_id.filter(|target| id_of(target) == id) {
                self.places.insert(id, Place::of(target));
            }
        }
    }

    /// Has an upstream rest towards all machines that another one asked.
    fn inherit(&mut self, from: &TargetId, to: &TargetId, now: Time) {
        let unfinished = self.table.unfinished(now);
        let keys = unfinished.filter(|((asked, _), _)| asked == from);
        let machines: Vec<NodeId> = keys.map(|((_, machine), _)| *machine).collect();
        for machine in machines {
            let (from, to) = ((from.clone(), machine), (to.clone(), machine));
            self.table.inherit(&from, &to, now);
        }
    }

    /// Records where an upstream is that asked for rest.
    pub fn record_place(&mut self, target: &Target) {
        self.places.insert(id_of(target), Place::of(target));
    }

    /// Whether a rest ends so much later than was known that others must learn of it at once.
    pub fn is_news(&self, key: &(TargetId, NodeId), rest: RequestedRest, now: Time) -> bool {
        let known_end = self.table.ends_at(key);
        known_end.is_none_or(|end| end + MIN_NEWS < now + rest.length())
    }

    /// The rests that are to be reported now.
    pub fn take_reports(&mut self, now: Time) -> Vec<AskedRest> {
        let due = std::mem::take(&mut self.unreported);
        let known = self.table.unfinished(now);
        let known = known.filter(|(key, _)| due.contains(key));
        let reports = known.map(|(((process, incarnation), entry), left)| AskedRest {
            process: process.clone(),
            incarnation: *incarnation,
            entry: *entry,
            left_ms: left.as_millis() as u64,
        });
        reports.collect()
    }

    /// Has all rests reported again, because another control host may lead.
    pub fn report_again(&mut self, now: Time) {
        let known = self.table.unfinished(now).map(|(key, _)| key.clone());
        self.unreported = known.collect();
    }
}
