//! One host of a model engine.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use gumdrop::Options;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::Place;
use crate::announce::announce_host;
use crate::announce::new_incarnation;
use crate::batch::Batch;
use crate::batch::BatchConfig;
use crate::batch::Key;
use crate::fault::Faults;
use crate::fault::ForeignFrames;
use crate::group::Group;
use crate::head::header;
use crate::head::is_trusted;
use crate::prompt::ChatRequest;
use crate::prompt::Chunk;
use base::Assignment;
use base::CentreId;
use base::DomainId;
use base::Duty;
use base::Fence;
use base::Fencing;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::Load;
use base::Priority;
use base::TokenRate;
use net::Body;
use net::BodySender;
use net::RpcClient;
use net::RpcMethods;
use net::Server;
use net::ServerLimits;
use net::read_body;
use wire::engine::AskDuty;
use wire::engine::EngineOrder;
use wire::engine::FENCE_HEADER;
use wire::engine::PRIORITY_HEADER;
use wire::engine::REPLICA_HEADER;
use wire::engine::REQUEST_ID_HEADER;
use wire::engine::RESUME_HEADER;
use wire::upstream::ANNOUNCE_INTERVAL;

const BODY_BYTES: usize = 16 * 1024 * 1024;
const BODY_TIME: Duration = Duration::from_secs(10);
const READER_STALL: Duration = Duration::from_secs(30);

/// Options of an engine's host.
#[derive(Debug, Options)]
pub(crate) struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "id of the host, such as h1")]
    host: HostId,
    #[options(required, help = "its data centre, such as dc1")]
    centre: CentreId,
    #[options(required, help = "its fabric domain, such as f1")]
    domain: DomainId,
    #[options(help = "address to listen on, any free port of loopback by default")]
    listen: Option<SocketAddr>,
    #[options(help = "internal address of an entry node; may be repeated")]
    entry: Vec<SocketAddr>,
    #[options(required, help = "file with the upstreams' secret")]
    secret_file: String,
    #[options(no_short, help = "refuse orders with an old fencing number")]
    check_fences: bool,
    #[options(no_short, help = "requests that run at once", default = "16")]
    slots: u32,
    #[options(no_short, help = "milliseconds between two tokens", default = "20")]
    step_ms: u64,
    #[options(no_short, help = "prompt tokens prefilled a second", default = "20000")]
    prefill: f64,
    #[options(no_short, help = "milliseconds to load a model", default = "200")]
    load_ms: u64,
    #[options(
        no_short,
        help = "milliseconds by which load reports lag",
        default = "500"
    )]
    lag_ms: u64,
    #[options(no_short, help = "drop the link of each stream after so many tokens")]
    cut_after: Option<u32>,
    #[options(no_short, help = "send each frame of a token twice")]
    repeat_frames: bool,
    #[options(no_short, help = "now and then send a frame of another request")]
    foreign_frames: bool,
    #[options(no_short, help = "leave out the end marker")]
    no_end: bool,
}

impl EngineArgs {
    fn faults(&self) -> Faults {
        Faults {
            cut_after: self.cut_after,
            repeat_frames: self.repeat_frames,
            foreign_frames: self.foreign_frames,
            no_end: self.no_end,
        }
    }
}

/// One host of an engine.
#[derive(Debug)]
struct Engine {
    group: Rc<RefCell<Group>>,
    client: RpcClient,
    batch: RefCell<Batch>,
    waiting: RefCell<BTreeMap<Key, Sender<()>>>,
    reported: RefCell<Load>,
    leaving: Cell<bool>,
    incarnation: Incarnation,
    secret: String,
    faults: Faults,
    foreign: ForeignFrames,
}

pub(crate) async fn run(args: EngineArgs) -> io::Result<()> {
    let place = Place::read(args.listen, &args.entry, &args.secret_file)?;
    let engine = Rc::new(Engine::open(&args, &place)?);
    let methods = RpcMethods::new(Rc::clone(&engine))
        .register(|engine: Rc<Engine>, order: EngineOrder| async move {
            Ok(Group::order(&engine.group, &engine.client, order))
        })
        .register(|engine: Rc<Engine>, _: AskDuty| async move {
            Ok(engine.group.borrow().duty.clone())
        });
    let methods = Rc::new(methods);
    let handled = Rc::clone(&engine);
    let server = Server::bind(place.listen, ServerLimits::default(), move |req| {
        handle(Rc::clone(&handled), Rc::clone(&methods), req)
    })
    .await?;
    println!("host {} listens on {}", args.host, server.addr());
    compio::runtime::spawn(Rc::clone(&engine).step_on(args.step_ms)).detach();
    compio::runtime::spawn(Rc::clone(&engine).report_on(args.lag_ms)).detach();
    let reporter = Rc::clone(&engine);
    let addr = server.addr();
    let announcing = announce_host(engine.client.clone(), place.clone(), move |sequence| {
        reporter.report(&args, addr, sequence)
    });
    compio::runtime::spawn(announcing).detach();
    engine.leave_on_signal().await;
    Ok(())
}

impl Engine {
    fn open(args: &EngineArgs, place: &Place) -> io::Result<Self> {
        let fencing = match args.check_fences {
            true => Fencing::Checked,
            false => Fencing::Ignored,
        };
        let group = Group {
            host: args.host,
            fencing,
            fence: Fence(0),
            duty: Duty::Idle,
            whole: true,
            load_time: Duration::from_millis(args.load_ms),
        };
        let batch = Batch::open(BatchConfig {
            slots: args.slots,
            step: Duration::from_millis(args.step_ms),
            prefill: TokenRate(args.prefill),
        });
        let reported = batch.load();
        Ok(Self {
            group: Rc::new(RefCell::new(group)),
            client: RpcClient::new(place.secret.clone()).map_err(io::Error::other)?,
            batch: RefCell::new(batch),
            waiting: RefCell::default(),
            reported: RefCell::new(reported),
            leaving: Cell::new(false),
            incarnation: new_incarnation(),
            secret: place.secret.clone(),
            faults: args.faults(),
            foreign: ForeignFrames::default(),
        })
    }

    fn report(&self, args: &EngineArgs, addr: SocketAddr, sequence: u64) -> HostReport {
        let group = self.group.borrow();
        HostReport {
            host: args.host,
            incarnation: self.incarnation,
            sequence,
            centre: args.centre,
            domain: args.domain,
            addr,
            fencing: group.fencing,
            fence: group.fence,
            duty: group.duty.clone(),
            load: self.reported.borrow().clone(),
            leaving: self.leaving.get(),
        }
    }

    /// Runs the batch, a step at a time.
    async fn step_on(self: Rc<Self>, step_ms: u64) {
        let mut every = compio::time::interval(Duration::from_millis(step_ms));
        loop {
            every.tick().await;
            for key in self.batch.borrow_mut().step() {
                if let Some(tx) = self.waiting.borrow().get(&key) {
                    let _ = tx.try_send(());
                }
            }
        }
    }

    /// Makes load reports lag behind the load.
    async fn report_on(self: Rc<Self>, lag_ms: u64) {
        loop {
            let load = self.batch.borrow().load();
            compio::time::sleep(Duration::from_millis(lag_ms.max(10))).await;
            self.reported.replace(load);
        }
    }

    /// On SIGTERM says that it leaves, and goes once its work is finished.
    async fn leave_on_signal(&self) {
        const SIGTERM: i32 = 15;
        let _ = compio::signal::unix::signal(SIGTERM).await;
        self.leaving.set(true);
        compio::time::sleep(ANNOUNCE_INTERVAL + ANNOUNCE_INTERVAL / 2).await;
        while !self.waiting.borrow().is_empty() {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The assignment that a request's headers name, if this host can serve it.
    fn serving(&self, headers: &HeaderMap) -> Option<Assignment> {
        let group = self.group.borrow();
        let Duty::Ready(assignment) = &group.duty else {
            return None;
        };
        let replica = header(headers, REPLICA_HEADER);
        let fence = header(headers, FENCE_HEADER);
        let first = assignment.hosts.first() == Some(&group.host);
        let named = replica == Some(assignment.replica) && fence == Some(assignment.fence);
        (first && named && group.whole).then(|| assignment.clone())
    }

    fn still_serves(&self, assignment: &Assignment) -> bool {
        let group = self.group.borrow();
        group.whole && group.is_assigned(assignment)
    }
}

async fn handle(
    engine: Rc<Engine>,
    methods: Rc<RpcMethods<Engine>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = req.into_parts();
    if !is_trusted(&head.headers, &engine.secret) {
        return plain(StatusCode::UNAUTHORIZED, "the upstreams' secret is missing");
    }
    let Ok(body) = read_body(body, BODY_BYTES, BODY_TIME).await else {
        return plain(StatusCode::BAD_REQUEST, "the body cannot be read");
    };
    match head.uri.path() {
        "/rpc" => Response::new(Body::whole(methods.handle_request(&body).await)),
        "/v1/chat/completions" => complete(engine, &head.headers, &body),
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn complete(engine: Rc<Engine>, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let Some(assignment) = engine.serving(headers) else {
        return plain(
            StatusCode::CONFLICT,
            "this host does not serve that replica",
        );
    };
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(body) else {
        return plain(StatusCode::BAD_REQUEST, "not a chat request");
    };
    let id: String = header(headers, REQUEST_ID_HEADER).unwrap_or_default();
    let priority = header(headers, PRIORITY_HEADER).unwrap_or(Priority(5));
    let from: u32 = header(headers, RESUME_HEADER).unwrap_or(0);
    let cut = engine.faults.cut_after;
    let cut = cut.filter(|after| from == 0 && *after < chat.max_tokens);
    let (tx, body) = Body::stream();
    let work = Work {
        assignment: assignment.clone(),
        chat,
        id,
        priority,
        from,
        cut,
    };
    compio::runtime::spawn(answer(engine, work, tx)).detach();
    let mut builder = Response::builder();
    if cut.is_some() {
        // A body that ends before its stated length breaks the link.
        builder = builder.header("content-length", u32::MAX);
    }
    builder
        .header("content-type", "text/event-stream")
        .header(REPLICA_HEADER, assignment.replica.to_string())
        .header(FENCE_HEADER, assignment.fence.to_string())
        .body(body)
        .unwrap_or_default()
}

/// Takes its place in the batch, and gives it up however the answer ends.
struct Seat {
    engine: Rc<Engine>,
    key: Key,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.engine.batch.borrow_mut().leave(self.key);
        self.engine.waiting.borrow_mut().remove(&self.key);
    }
}

/// A request for a completion that was taken.
struct Work {
    assignment: Assignment,
    chat: ChatRequest,
    id: String,
    priority: Priority,
    from: u32,
    /// Tokens after which the link is dropped.
    cut: Option<u32>,
}

async fn answer(engine: Rc<Engine>, work: Work, tx: BodySender) {
    let (token, tokens) = async_channel::bounded(1024);
    let chat = &work.chat;
    let key = engine
        .batch
        .borrow_mut()
        .join(work.priority, chat.prompt_tokens(), chat.digest());
    engine.waiting.borrow_mut().insert(key, token);
    let _seat = Seat {
        engine: Rc::clone(&engine),
        key,
    };
    for index in work.from..chat.max_tokens {
        let still = !tx.is_closed() && engine.still_serves(&work.assignment);
        if work.cut == Some(index) || tokens.recv().await.is_err() || !still {
            return;
        }
        for frame in frames(&engine, &work, index) {
            if tx.send(Bytes::from(frame), READER_STALL).await.is_err() {
                return;
            }
        }
    }
    let mut end = Chunk::end(&work.id, work.assignment.model.as_str(), chat.max_tokens).to_event();
    if !engine.faults.no_end {
        end += "data: [DONE]\n\n";
    }
    let _ = tx.send(Bytes::from(end), READER_STALL).await;
}

/// The frames that one token becomes, faults included.
fn frames(engine: &Engine, work: &Work, index: u32) -> Vec<String> {
    let model = work.assignment.model.as_str();
    let token = || work.chat.token(index);
    let own = Chunk::token(&work.id, model, index, token()).to_event();
    let mut frames = Vec::new();
    if engine.faults.foreign_frames && engine.foreign.is_due() {
        let foreign = " foreign".to_owned();
        frames.push(Chunk::token("another-request", model, index, foreign).to_event());
    }
    if engine.faults.repeat_frames {
        frames.push(own.clone());
    }
    frames.push(own);
    frames
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response
}
