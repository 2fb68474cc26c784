//! The contracts and the requests of both users, lantern and association.

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

/// The user whose requests run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Mix {
    /// Design chats and quotes. Long requests are drafts, which generate many tokens.
    #[display("lantern")]
    Lantern,
    /// Quotes and checks of notes. Long requests are letters, which are mostly prompt.
    #[display("association")]
    Association,
}

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// The name in contracts and tables.
    pub name: &'static str,
    /// The share of all requests.
    pub share: f64,
    /// The mean length of the prompt in tokens.
    pub prompt: f64,
    /// The mean length of the answer in tokens.
    pub output: f64,
    /// The time to the first token in the contract.
    pub first_token: Duration,
    /// How long requests may wait when capacity is short. `None` refuses them at once.
    pub wait: Option<Duration>,
    /// True for the kind that is 30 times as long as the others.
    pub is_long: bool,
}

/// The share of long requests.
pub const LONG_SHARE: f64 = 0.03;
/// How many times longer long requests are.
const LONG_FACTOR: f64 = 30.0;
/// The tokens a second in every contract.
const CONTRACT_TOKEN_RATE: TokenRate = TokenRate(20.0);
/// The time to the first token of short requests.
const SHORT_FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(380);

impl Mix {
    /// The kinds of requests: two short ones and a long one.
    pub fn kinds(self) -> [RequestKind; 3] {
        let (first, second, long) = match self {
            Self::Lantern => (("chat", 250.0, 60.0), ("quote", 350.0, 70.0), "draft"),
            Self::Association => (("quote", 400.0, 60.0), ("note", 500.0, 30.0), "letter"),
        };
        let short = |(name, prompt, output), share, wait| RequestKind {
            name,
            share,
            prompt,
            output,
            first_token: SHORT_FIRST_TOKEN_LIMIT,
            wait,
            is_long: false,
        };
        let prompt = (first.1 + second.1) / 2.0 * LONG_FACTOR;
        let output = (first.2 + second.2) / 2.0 * LONG_FACTOR;
        let long = RequestKind {
            name: long,
            share: LONG_SHARE,
            prompt,
            output,
            first_token: Duration::from_secs(5),
            wait: Some(Duration::from_secs(10)),
            is_long: true,
        };
        let rest = 1.0 - LONG_SHARE;
        let wait = Some(Duration::from_millis(500));
        [
            short(first, rest * 0.6, None),
            short(second, rest * 0.4, wait),
            long,
        ]
    }

    /// The mean engine time of a request in seconds.
    pub fn mean_cost(self) -> f64 {
        let kinds = self.kinds();
        kinds
            .iter()
            .map(|kind| kind.share * super::traffic::cost(kind.prompt, kind.output))
            .sum()
    }
}

/// One organisation.
#[derive(Clone, Copy, Debug)]
pub struct Org {
    /// The share of the capacity in its contracts.
    pub contracted_share: f64,
    /// Its demand at the peak, relative to its contracts.
    pub peak_demand: f64,
}

/// Ten organisations. Three are large and ask at the peak for far more than their contracts, so
/// that all together ask for 1.5 times the capacity.
pub fn orgs() -> Vec<Org> {
    let large = Org {
        contracted_share: 0.18,
        peak_demand: 1.185 / 0.54,
    };
    let small = Org {
        contracted_share: 0.05,
        peak_demand: 0.9,
    };
    let mut orgs = vec![large; 3];
    orgs.extend([small; 7]);
    orgs
}

/// The name of the model of all contracts.
pub fn model() -> ModelName {
    "assistant".parse().expect("a valid name")
}

/// Requests a second that all engines together can answer.
pub fn load_capacity(mix: Mix) -> f64 {
    REPLICAS as f64 / mix.mean_cost()
}

/// The terms of each kind of request.
pub fn terms_of(mix: Mix) -> [Terms; 3] {
    mix.kinds().map(|kind| Terms {
        first_token_limit: kind.first_token + kind.wait.unwrap_or_default(),
        token_rate: CONTRACT_TOKEN_RATE,
    })
}

/// One contract for each organisation and kind of request. `capacity` is in requests a second.
pub fn contracts(mix: Mix, capacity: f64) -> Vec<Contract> {
    let mut contracts = Vec::new();
    for (index, org) in orgs().iter().enumerate() {
        for kind in mix.kinds() {
            let rate = capacity * org.contracted_share * kind.share;
            contracts.push(contract(index, org, &kind, rate));
        }
    }
    contracts
}

fn contract(index: usize, org: &Org, kind: &RequestKind, rate: f64) -> Contract {
    let org_name = format!("org{index}");
    Contract {
        name: format!("{org_name}-{}", kind.name)
            .parse()
            .expect("a valid name"),
        callers: vec![org_name.parse().expect("a valid name")],
        org: org_name.parse().expect("a valid name"),
        weight: (org.contracted_share * 100.0).round() as u32,
        model: model(),
        first_token: kind.first_token,
        token_rate: CONTRACT_TOKEN_RATE,
        request_rate: RequestRate(rate),
        burst: (rate * 2.0).ceil().max(4.0) as u32,
        total_token_rate: TokenRate(rate * kind.output * 2.0),
        overflow: kind.wait.map_or(Overflow::Refuse, Overflow::Wait),
        priority: Priority(1),
    }
}
