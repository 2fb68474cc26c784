//! The share of orders that are served during each partition, by enumerating all partitions.

use crate::report::Table;

const CENTRES: usize = 3;

/// A partition: which data centres are down, and which links between them work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Partition {
    down: [bool; CENTRES],
    links: [[bool; CENTRES]; CENTRES],
}

/// How the record of a key is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Storage {
    /// At a majority of all data centres. Callers send to the leader directly.
    Majority,
    /// As `Majority`, but any voter that reaches the leader forwards calls to it.
    Relayed,
    /// At the data centre that the key hashes to.
    Hashed,
    /// At the data centre that first took the order, which the key names.
    Carried,
}

impl Storage {
    const ALL: [Self; 4] = [Self::Majority, Self::Relayed, Self::Hashed, Self::Carried];

    fn name(self) -> &'static str {
        match self {
            Self::Majority => "majority of all",
            Self::Relayed => "majority, relayed",
            Self::Hashed => "home hashed from key",
            Self::Carried => "home carried in key",
        }
    }
}

impl Partition {
    /// All distinct partitions with at most one data centre down and any set of links lost.
    fn all() -> Vec<Self> {
        let mut partitions: Vec<Self> = Vec::new();
        for down in 0..CENTRES + 1 {
            for lost_links in 0..8_u8 {
                let partition = Self::new(down, lost_links);
                if !partitions.contains(&partition) {
                    partitions.push(partition);
                }
            }
        }
        partitions
    }

    /// `down` is the index of the data centre that is down, or `CENTRES` for none. Each bit of
    /// `lost_links` is a lost link.
    fn new(down: usize, lost_links: u8) -> Self {
        let mut partition = Self {
            down: [false; CENTRES],
            links: [[true; CENTRES]; CENTRES],
        };
        for (bit, (one, two)) in [(0, 1), (0, 2), (1, 2)].into_iter().enumerate() {
            let is_working = lost_links & (1 << bit) == 0 && one != down && two != down;
            partition.links[one][two] = is_working;
            partition.links[two][one] = is_working;
        }
        if down < CENTRES {
            partition.down[down] = true;
        }
        partition
    }

    fn kind(&self) -> &'static str {
        let links = [(0, 1), (0, 2), (1, 2)];
        let working_links = links.iter().filter(|(a, b)| self.links[*a][*b]).count();
        match (self.down.contains(&true), working_links) {
            (false, 3) => "no cut",
            (false, 2) => "one link lost",
            (false, 1) => "one data centre cut off",
            (false, _) => "all cut off from each other",
            (true, 1) => "one data centre dark",
            (true, _) => "one dark, the others cut",
        }
    }

    fn alive(&self) -> Vec<usize> {
        (0..CENTRES).filter(|c| !self.down[*c]).collect()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.down[from] && !self.down[to] && (from == to || self.links[from][to])
    }

    /// The data centres whose voter can be the leader, because it reaches a majority.
    fn leaders(&self) -> Vec<usize> {
        let reached = |leader: usize| (0..CENTRES).filter(|c| self.reaches(leader, *c)).count();
        (0..CENTRES).filter(|c| CENTRES < 2 * reached(*c)).collect()
    }

    /// The share of calls that are served: new orders, or resends of orders that any data centre
    /// took before the partition.
    fn served(&self, storage: Storage, call: Call) -> f64 {
        let alive = self.alive();
        let share = |targets: &[usize], serves: &dyn Fn(usize, usize) -> bool| {
            let pairs = targets
                .iter()
                .flat_map(|target| alive.iter().map(move |caller| (*caller, *target)));
            let served = pairs
                .filter(|(caller, target)| serves(*caller, *target))
                .count();
            served as f64 / (targets.len() * alive.len()).max(1) as f64
        };
        let leaders = self.leaders();
        let everywhere: Vec<_> = (0..CENTRES).collect();
        match (storage, call) {
            (Storage::Majority, _) => share(&leaders, &|c, leader| self.reaches(c, leader)),
            (Storage::Relayed, _) => share(&leaders, &|c, leader| {
                (0..CENTRES).any(|via| self.reaches(c, via) && self.reaches(via, leader))
            }),
            (Storage::Carried, Call::New) => 1.0,
            (Storage::Hashed, _) | (Storage::Carried, Call::Resend) => {
                share(&everywhere, &|c, home| self.reaches(c, home))
            }
        }
    }
}

/// A call that sends an order: for the first time, or again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    New,
    Resend,
}

/// The share of new orders and of resends that each storage method serves during each partition.
pub fn served() -> Table {
    let mut columns = vec!["cut".to_owned(), "states".to_owned()];
    for storage in Storage::ALL {
        columns.push(format!("{} %", storage.name()));
    }
    let mut table = Table::new("orders served, new / resent at any data centre", &[]);
    table.columns = columns;
    let partitions = Partition::all();
    let mut kinds: Vec<_> = Vec::new();
    for partition in &partitions {
        if !kinds.contains(&partition.kind()) {
            kinds.push(partition.kind());
        }
    }
    for kind in kinds {
        let partitions: Vec<_> = partitions
            .iter()
            .filter(|partition| partition.kind() == kind)
            .collect();
        let mut row = vec![kind.to_owned(), partitions.len().to_string()];
        for storage in Storage::ALL {
            let mean = |call| {
                let sum: f64 = partitions
                    .iter()
                    .map(|partition| partition.served(storage, call))
                    .sum();
                format!("{:.0}", 100.0 * sum / partitions.len() as f64)
            };
            row.push(format!("{} / {}", mean(Call::New), mean(Call::Resend)));
        }
        table.row(row);
    }
    table
}

/// The round trips between data centres that a claim waits for without a partition.
pub fn costs() -> Table {
    let mut table = Table::new(
        "round trips between data centres before the first byte goes out",
        &[
            "way",
            "best",
            "mean",
            "worst",
            "record lost with one data centre's disks",
        ],
    );
    for storage in Storage::ALL {
        let round_trips = round_trips(storage);
        let mean = round_trips.iter().sum::<f64>() / round_trips.len() as f64;
        let best = round_trips.iter().copied().fold(f64::MAX, f64::min);
        let worst = round_trips.iter().copied().fold(0.0, f64::max);
        let record_lost = match storage {
            Storage::Majority | Storage::Relayed => "no",
            Storage::Hashed | Storage::Carried => "yes",
        };
        let number = |n: f64| format!("{n:.2}");
        table.row([
            storage.name().to_owned(),
            number(best),
            number(mean),
            number(worst),
            record_lost.to_owned(),
        ]);
    }
    table
}

/// The round trips of a claim, for each data centre of the caller and of the leader or home.
fn round_trips(storage: Storage) -> Vec<f64> {
    let mut round_trips = Vec::new();
    for caller in 0..CENTRES {
        for home in 0..CENTRES {
            let to_home = if caller == home { 0.0 } else { 1.0 };
            round_trips.push(match storage {
                // One to the leader, and one from it to the nearest other voter.
                Storage::Majority | Storage::Relayed => to_home + 1.0,
                Storage::Hashed => to_home,
                Storage::Carried => 0.0,
            });
        }
    }
    round_trips
}
