//! A fake service that runs every call that reaches it, and counts the executions.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::OrderKey;
use base::OrgName;
use base::Time;
use order::Call;
use order::CallKind;
use order::QueryReply;
use state::StoredAnswer;

/// One execution of a call.
#[derive(Clone, Debug)]
pub struct Run {
    /// The index of the call in [`Callers`](super::Callers).
    pub call: usize,
    /// When the call was made.
    pub opened_at: Time,
    pub answer: Arc<StoredAnswer>,
}

/// The fake service, with its executions by organisation and key.
#[derive(Default)]
pub struct Service {
    pub runs: BTreeMap<(OrgName, OrderKey), Vec<Run>>,
}

impl Service {
    pub fn run(&mut self, call: usize, terms: &Call, opened_at: Time) -> Arc<StoredAnswer> {
        let CallKind::Keyed(key) = &terms.kind else {
            return Arc::new(StoredAnswer::new(200, "text/plain", *b"no key"));
        };
        let body = format!("{} {} {call}", key.org, key.key);
        let answer = Arc::new(StoredAnswer::new(201, "text/plain", body.into_bytes()));
        let run = Run {
            call,
            opened_at,
            answer: answer.clone(),
        };
        let org_key = (key.org.clone(), key.key.clone());
        self.runs.entry(org_key).or_default().push(run);
        answer
    }

    pub fn query_outcome(&self, terms: &Call) -> QueryReply {
        let CallKind::Keyed(key) = &terms.kind else {
            return QueryReply::Failed;
        };
        let runs = self.runs.get(&(key.org.clone(), key.key.clone()));
        match runs.and_then(|runs| runs.first()) {
            Some(run) => QueryReply::Ran(run.answer.clone()),
            None => QueryReply::NotKnown,
        }
    }
}
