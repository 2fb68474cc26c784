//! The contracts and the work of both users.

use std::time::Duration;

use derive_more::Display;

use super::outcome::Terms;
use super::world::REPLICAS;
use base::Contract;
use base::ModelName;
use base::Overflow;
use base::Priority;
use base::RequestRate;
use base::TokenRate;

/// Whose requests run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Mix {
    /// Design chats and quote drafts; long drafts generate much.
    #[display("lantern")]
    Lantern,
    /// Quotes and checks of notes; long letters are mostly prompt.
    #[display("association")]
    Association,
}

/// One kind of work.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Its name in contracts and tables.
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Mean prompt in tokens.
    pub prompt: f64,
    /// Mean answer in tokens.
    pub output: f64,
    /// Time to the first token that is paid for.
    pub first_token: Duration,
    /// What happens when capacity is short.
    pub wait: Option<Duration>,
    /// True for the requests that are 30 times as long.
    pub is_long: bool,
}

/// Share of the requests that are long.
pub const LONG_SHARE: f64 = 0.03;
/// How many times longer they are.
const LONG_TIMES: f64 = 30.0;
/// Tokens a second that every contract pays for.
const TOKEN_RATE: TokenRate = TokenRate(20.0);
/// Time to the first token of short work.
const FIRST_TOKEN: Duration = Duration::from_millis(380);

impl Mix {
    /// The kinds of work.
    pub fn work(self) -> [Work; 3] {
        let (first, second, long) = match self {
            Self::Lantern => (("chat", 250.0, 60.0), ("quote", 350.0, 70.0), "draft"),
            Self::Association => (("quote", 400.0, 60.0), ("note", 500.0, 30.0), "letter"),
        };
        let short = |(name, prompt, output), share, wait| Work {
            name,
            share,
            prompt,
            output,
            first_token: FIRST_TOKEN,
            wait,
            is_long: false,
        };
        let prompt = (first.1 + second.1) / 2.0 * LONG_TIMES;
        let output = (first.2 + second.2) / 2.0 * LONG_TIMES;
        let long = Work {
            name: long,
            share: LONG_SHARE,
            prompt,
            output,
            first_token: Duration::from_secs(5),
            wait: Some(Duration::from_secs(10)),
            is_long: true,
        };
        let rest = 1.0 - LONG_SHARE;
        let patience = Some(Duration::from_millis(500));
        [
            short(first, rest * 0.6, None),
            short(second, rest * 0.4, patience),
            long,
        ]
    }

    /// Mean engine time of a request in seconds.
    pub fn mean_cost(self) -> f64 {
        let works = self.work();
        works
            .iter()
            .map(|w| w.share * super::traffic::cost(w.prompt, w.output))
            .sum()
    }
}

/// One organisation.
#[derive(Clone, Copy, Debug)]
pub struct Org {
    /// Its share of the capacity by contract.
    pub sold: f64,
    /// Its demand at the crest as a part of what it bought.
    pub crest: f64,
}

/// Ten organisations: three are large and ask for far more than they bought at the
/// crest, so that all together ask for 1.5 times the capacity.
pub fn orgs() -> Vec<Org> {
    let large = Org {
        sold: 0.18,
        crest: 1.185 / 0.54,
    };
    let small = Org {
        sold: 0.05,
        crest: 0.9,
    };
    let mut orgs = vec![large; 3];
    orgs.extend([small; 7]);
    orgs
}

/// The model of all contracts.
pub fn model() -> ModelName {
    "assistant".parse().expect("a valid name")
}

/// Requests a second that all engines together can answer.
pub fn load_capacity(mix: Mix) -> f64 {
    REPLICAS as f64 / mix.mean_cost()
}

/// What each kind of work was promised.
pub fn terms_of(mix: Mix) -> [Terms; 3] {
    mix.work().map(|work| Terms {
        allowed: work.first_token + work.wait.unwrap_or_default(),
        token_rate: TOKEN_RATE,
    })
}

/// One contract for each organisation and kind of work, at this capacity in requests a
/// second.
pub fn contracts(mix: Mix, capacity: f64) -> Vec<Contract> {
    let mut contracts = Vec::new();
    for (at, org) in orgs().iter().enumerate() {
        for work in mix.work() {
            let rate = capacity * org.sold * work.share;
            contracts.push(contract(at, org, &work, rate));
        }
    }
    contracts
}

fn contract(at: usize, org: &Org, work: &Work, rate: f64) -> Contract {
    let org_name = format!("org{at}");
    Contract {
        name: format!("{org_name}-{}", work.name)
            .parse()
            .expect("a valid name"),
        callers: vec![org_name.parse().expect("a valid name")],
        org: org_name.parse().expect("a valid name"),
        weight: (org.sold * 100.0).round() as u32,
        model: model(),
        first_token: work.first_token,
        token_rate: TOKEN_RATE,
        request_rate: RequestRate(rate),
        burst: (rate * 2.0).ceil().max(4.0) as u32,
        total_token_rate: TokenRate(rate * work.output * 2.0),
        overflow: work.wait.map_or(Overflow::Refuse, Overflow::Wait),
        priority: Priority(1),
    }
}
