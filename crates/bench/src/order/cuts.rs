//! The share of orders served under each cut, by counting all of them.

use crate::report::Table;

const CENTRES: usize = 3;

/// Which data centres are alive and reach each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cut {
    dark: [bool; CENTRES],
    links: [[bool; CENTRES]; CENTRES],
}

/// Where a key's record is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// By a majority of all data centres. Calls go to the leader directly.
    Majority,
    /// The same, and a voter that reaches the leader passes calls on.
    Relayed,
    /// By the data centre that the key hashes to.
    Hashed,
    /// By the data centre that took the order first, as the key says.
    Carried,
}

impl Way {
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

impl Cut {
    fn all() -> Vec<Self> {
        let mut found: Vec<Self> = Vec::new();
        for dark in 0..CENTRES + 1 {
            for lost in 0..8_u8 {
                let cut = Self::of(dark, lost);
                if !found.contains(&cut) {
                    found.push(cut);
                }
            }
        }
        found
    }

    /// `dark` is the data centre that is dark, if there is one; each bit of
    /// `lost` a link.
    fn of(dark: usize, lost: u8) -> Self {
        let mut cut = Self {
            dark: [false; CENTRES],
            links: [[true; CENTRES]; CENTRES],
        };
        for (bit, (one, two)) in [(0, 1), (0, 2), (1, 2)].into_iter().enumerate() {
            let up = lost & (1 << bit) == 0 && one != dark && two != dark;
            cut.links[one][two] = up;
            cut.links[two][one] = up;
        }
        if dark < CENTRES {
            cut.dark[dark] = true;
        }
        cut
    }

    fn kind(&self) -> &'static str {
        let links = [(0, 1), (0, 2), (1, 2)];
        let up = links.iter().filter(|(a, b)| self.links[*a][*b]).count();
        match (self.dark.contains(&true), up) {
            (false, 3) => "no cut",
            (false, 2) => "one link lost",
            (false, 1) => "one data centre cut off",
            (false, _) => "all cut off from each other",
            (true, 1) => "one data centre dark",
            (true, _) => "one dark, the others cut",
        }
    }

    fn alive(&self) -> Vec<usize> {
        (0..CENTRES).filter(|c| !self.dark[*c]).collect()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.dark[from] && !self.dark[to] && (from == to || self.links[from][to])
    }

    /// Those that could lead: they reach a majority.
    fn leaders(&self) -> Vec<usize> {
        let reached = |leader: usize| (0..CENTRES).filter(|c| self.reaches(leader, *c)).count();
        (0..CENTRES).filter(|c| CENTRES < 2 * reached(*c)).collect()
    }

    /// The share of calls served, of new orders or of resends of orders that were
    /// taken at any data centre before the cut.
    fn served(&self, way: Way, call: Call) -> f64 {
        let alive = self.alive();
        let share = |homes: &[usize], serves: &dyn Fn(usize, usize) -> bool| {
            let pairs = homes
                .iter()
                .flat_map(|h| alive.iter().map(move |c| (*c, *h)));
            let served = pairs.filter(|(c, h)| serves(*c, *h)).count();
            served as f64 / (homes.len() * alive.len()).max(1) as f64
        };
        let leaders = self.leaders();
        let everywhere: Vec<_> = (0..CENTRES).collect();
        match (way, call) {
            (Way::Majority, _) => share(&leaders, &|c, leader| self.reaches(c, leader)),
            (Way::Relayed, _) => share(&leaders, &|c, leader| {
                (0..CENTRES).any(|via| self.reaches(c, via) && self.reaches(via, leader))
            }),
            (Way::Carried, Call::New) => 1.0,
            (Way::Hashed, _) | (Way::Carried, Call::Resend) => {
                share(&everywhere, &|c, home| self.reaches(c, home))
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    New,
    Resend,
}

/// The share of new orders and of resends that each way serves under each cut.
pub fn served() -> Table {
    let mut columns = vec!["cut".to_owned(), "states".to_owned()];
    for way in Way::ALL {
        columns.push(format!("{} %", way.name()));
    }
    let mut table = Table::new("orders served, new / resent at any data centre", &[]);
    table.columns = columns;
    let cuts = Cut::all();
    let mut kinds: Vec<_> = Vec::new();
    for cut in &cuts {
        if !kinds.contains(&cut.kind()) {
            kinds.push(cut.kind());
        }
    }
    for kind in kinds {
        let cuts: Vec<_> = cuts.iter().filter(|cut| cut.kind() == kind).collect();
        let mut row = vec![kind.to_owned(), cuts.len().to_string()];
        for way in Way::ALL {
            let mean = |call| {
                let sum: f64 = cuts.iter().map(|cut| cut.served(way, call)).sum();
                format!("{:.0}", 100.0 * sum / cuts.len() as f64)
            };
            row.push(format!("{} / {}", mean(Call::New), mean(Call::Resend)));
        }
        table.row(row);
    }
    table
}

/// Round trips between data centres that a claim waits for, no cut.
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
    for way in Way::ALL {
        let trips = trips(way);
        let mean = trips.iter().sum::<f64>() / trips.len() as f64;
        let best = trips.iter().copied().fold(f64::MAX, f64::min);
        let worst = trips.iter().copied().fold(0.0, f64::max);
        let lost = match way {
            Way::Majority | Way::Relayed => "no",
            Way::Hashed | Way::Carried => "yes",
        };
        let number = |n: f64| format!("{n:.2}");
        table.row([
            way.name().to_owned(),
            number(best),
            number(mean),
            number(worst),
            lost.to_owned(),
        ]);
    }
    table
}

/// Round trips of a claim for each place of the call and of the leader or home.
fn trips(way: Way) -> Vec<f64> {
    let mut trips = Vec::new();
    for caller in 0..CENTRES {
        for home in 0..CENTRES {
            let there = if caller == home { 0.0 } else { 1.0 };
            trips.push(match way {
                // To the leader, and from it to the nearest other voter.
                Way::Majority | Way::Relayed => there + 1.0,
                Way::Hashed => there,
                Way::Carried => 0.0,
            });
        }
    }
    trips
}
