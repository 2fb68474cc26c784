//! What the head of an upstream's answer may be taken for.
//!
//! A faulty upstream may write an earlier answer once more, on any connection and at any moment.
//! So an answer counts only if it names the request. A refusal promises that the request has not
//! run and never will; a request that is sent again after it, or a caller who is told so, rests on
//! that promise. So it must be certain that the refusal is no earlier one either: that the upstream
//! process has not been sent another request with the same id.

/// Which request an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnsweredRequest {
    /// The request that was sent.
    Same,
    /// Another one.
    Other,
    /// None.
    Unnamed,
}

impl AnsweredRequest {
    /// Compares the id that an answer names with the id that was sent.
    pub fn of<Id: PartialEq>(sent: Option<Id>, named: Option<Id>) -> Self {
        match (sent, named) {
            (_, None) => Self::Unnamed,
            (Some(sent), Some(named)) if sent == named => Self::Same,
            (_, Some(_)) => Self::Other,
        }
    }
}

/// How often a request's id was sent to an upstream process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdUse {
    /// For the first time.
    First,
    /// Another request with the same id was sent to the process before.
    Again,
}

/// How upstreams refuse requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalProtocol {
    /// Every answer names its request. Callers take 408, 421, 429 and 503 for promises, and with
    /// 421 no upstream runs a request.
    Statuses,
    /// Refusals say that the request did not run, and name it. Other answers may name none, and
    /// their statuses promise nothing.
    Marks,
}

/// The head of an answer, as far as it says what the answer may be taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// How the upstream refuses requests.
    pub protocol: RefusalProtocol,
    /// The answer's status.
    pub status: u16,
    /// Which request it names.
    pub request: AnsweredRequest,
    /// How often the request's id was sent to the upstream process.
    pub id_use: IdUse,
    /// Whether it says that the request did not run.
    pub says_not_run: bool,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// Whether its body is encoded, though nobody asked for that.
    pub is_encoded: bool,
}

/// What an answer may be taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The answer to the request, once its body is read.
    Answer,
    /// The certain promise that the request has not run and never will.
    NotRun,
    /// Nothing. The request may have run.
    Unknown(AnswerDoubt),
}

/// Why an answer is taken for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDoubt {
    /// It names another request.
    Foreign,
    /// It names no request.
    Unnamed,
    /// Another request with this id was sent to the process, and this may be the answer to it.
    MaybeEarlier,
    /// Its status promises that the request did not run, but it doesn't say so otherwise.
    Unpromised,
    /// Its body is encoded.
    Encoded,
    /// It is a success without a signature.
    Unsigned,
}

impl AnswerDoubt {
    /// The text in the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::Foreign => "an answer to another request",
            Self::Unnamed => "an answer that names no request",
            Self::MaybeEarlier => "a refusal that may be an earlier one",
            Self::Unpromised => "a refusal that does not say that the request did not run",
            Self::Encoded => "an encoded answer",
            Self::Unsigned => "an answer without signature",
        }
    }
}

impl AnswerHead {
    /// What the answer may be taken for.
    pub fn meaning(self) -> AnswerMeaning {
        match self.doubt() {
            Some(doubt) => AnswerMeaning::Unknown(doubt),
            None if self.is_refusal() => AnswerMeaning::NotRun,
            None => AnswerMeaning::Answer,
        }
    }

    fn doubt(self) -> Option<AnswerDoubt> {
        let must_be_named = self.is_refusal() || self.protocol == RefusalProtocol::Statuses;
        match self.request {
            AnsweredRequest::Other => return Some(AnswerDoubt::Foreign),
            AnsweredRequest::Unnamed if must_be_named => return Some(AnswerDoubt::Unnamed),
            AnsweredRequest::Unnamed | AnsweredRequest::Same => {}
        }
        if self.is_refusal() {
            return (self.id_use == IdUse::Again).then_some(AnswerDoubt::MaybeEarlier);
        }
        match (self.protocol, self.status) {
            (RefusalProtocol::Statuses, 408 | 429 | 503) => Some(AnswerDoubt::Unpromised),
            _ if self.is_encoded => Some(AnswerDoubt::Encoded),
            (_, 200..300) if !self.is_signed => Some(AnswerDoubt::Unsigned),
            _ => None,
        }
    }

    fn is_refusal(self) -> bool {
        let is_misdirected = self.protocol == RefusalProtocol::Statuses && self.status == 421;
        self.says_not_run || is_misdirected
    }
}
