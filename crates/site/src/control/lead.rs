//! What the control host that leads does: it orders, directs, and takes configurations.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;

use crate::control::Control;
use crate::control::orders;
use crate::control::voter::AtControl;
use crate::events::Event;
use crate::events::emit;
use crate::message::ConfigRead;
use crate::message::ConfigText;
use crate::message::Offered;
use base::ModelName;
use fleet::CompressedText;
use fleet::DecompressError;
use quorum::clock;
use state::ConfigOfferReply;
use state::Op;
use state::Reply;
use vote::ProposeError;

/// The longest time between two looks at the replicas.
const EVERY: Duration = Duration::from_millis(50);

/// After a look at the replicas the loop rests so many times as long as the look took: with
/// a thousand hosts that come up, changes ring for the next look before one has ended.
const REST: u32 = 2;

/// Time between two looks at what callers ask for.
const WORK_EVERY: Duration = Duration::from_secs(1);

/// Time between two looks for what was silent for long.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);

/// How long a configuration may take to be agreed on.
const AGREE_WITHIN: Duration = Duration::from_millis(800);

/// Orders and directs while this control host leads, for as long as the process runs.
pub(crate) async fn lead_on(control: Rc<Control>) {
    let mut worked = clock::now();
    let mut expired = worked;
    loop {
        control.due.wait(EVERY).await;
        let now = clock::now();
        let term = control.term();
        let due = {
            let mut controller = control.controller.borrow_mut();
            controller.set_term(term, now);
            if term.is_some() && control.crowd.borrow().has_offered_work() {
                controller.mark_traffic_begun();
            }
            if WORK_EVERY <= now.since(worked) {
                worked = now;
                controller.record_busy_replicas(&offered(&control));
            }
            controller.tick(now)
        };
        for order in due {
            orders::spawn(&control, order);
        }
        if term.is_some() {
            direct(&control);
        }
        compio::time::sleep(REST * clock::now().since(now)).await;
        if EXPIRE_EVERY <= now.since(expired) {
            expired = now;
            control.roster.borrow_mut().remove_silent(now);
            control.pool.expire();
        }
    }
}

/// Replicas of each model that the requests of all entry hosts keep busy.
fn offered(control: &Control) -> BTreeMap<ModelName, f64> {
    let all = control.crowd.borrow().total(clock::now());
    let work = all.work.into_iter();
    work.map(|work| (work.model, work.offered)).collect()
}

/// Gives out the controller's directions if they are newer.
fn direct(control: &Control) {
    let Some(newer) = control.controller.borrow().routing_table() else {
        return;
    };
    if newer.edition <= control.directions.borrow().edition {
        return;
    }
    let shape = control.controller.borrow().shape(clock::now());
    emit(&Event::Directed {
        edition: newer.edition,
        serving: newer.serving.len(),
        shape: format!("{shape:?}"),
    });
    control.directions.replace(newer);
    control.news.ring();
}

/// Gets a configuration agreed on, if this control host leads.
pub(crate) async fn offer_here(control: &Rc<Control>, configuration: ConfigText) -> Offered {
    let version = configuration.version;
    let text = match configuration.text.decompress() {
        Ok(text) => text,
        Err(DecompressError::TooLong) => return Offered::TooLarge,
        Err(e @ (DecompressError::InvalidBase64 | DecompressError::Corrupt)) => {
            let error = e.to_string();
            emit(&Event::ConfigUnreadable { version, error });
            return Offered::Unknown;
        }
    };
    let op = Op::Offer(state::ConfigOffer {
        version,
        text: text.into(),
    });
    let waiting = match control.voters.propose(op) {
        Ok(waiting) => waiting,
        Err(ProposeError::NotLeader { leader }) => return Offered::NotLeading { leader },
        Err(ProposeError::Busy) => return Offered::NotLeading { leader: None },
        Err(ProposeError::TooLarge { .. }) => return Offered::TooLarge,
    };
    quorum::run_effects(&AtControl(Rc::clone(control)));
    match timeout(AGREE_WITHIN, waiting.recv()).await {
        Ok(Ok(Some(Reply::Offer(ConfigOfferReply::InForce | ConfigOfferReply::Kept { .. })))) => {
            Offered::Taken
        }
        Ok(Ok(Some(Reply::Offer(ConfigOfferReply::TooLarge { .. })))) => Offered::TooLarge,
        Ok(Ok(None)) => Offered::NotLeading { leader: None },
        Ok(Ok(Some(_)) | Err(_)) | Err(_) => Offered::Unknown,
    }
}

/// Reads the newest configuration, if this control host leads.
pub(crate) fn read_here(control: &Control) -> ConfigRead {
    if !control.leads() {
        let leader = control.known_leader();
        return ConfigRead::NotLeading { leader };
    }
    let (version, text) = control.voters.configuration();
    if text.is_empty() {
        return ConfigRead::None;
    }
    let in_force = control.in_force.borrow();
    let text = match in_force.version == version {
        true => in_force.text.clone(),
        false => CompressedText::compress(&text),
    };
    ConfigRead::Newest(ConfigText { version, text })
}
