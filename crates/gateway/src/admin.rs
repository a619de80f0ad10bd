//! The operators' door: reads their calls, keeps what they say where the next process finds it, and has the balancer
//! do it. What a call means is in `hollowpaddle_operator_commands`; how the balancer does it is its own.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::{Listener, accept};
use hollowpaddle_operator_commands::call::BODY_LIMIT;
use hollowpaddle_operator_commands::{
    Call, OperatorState, OperatorStateCopy, ProcessRegistration, RecoveredCopy, Store, StoreError,
};
use hollowpaddle_policy::learned::Learned;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::admin_api::{self, AdminRequest, AdminResponse};
use crate::config::CALLERS;
use crate::http::{HEAD_LIMIT, HEAD_LINES};
use crate::tasks::AbortOnDrop;

/// A call must be read and answered in this time: whoever needs longer is not waited for.
const CALL: Duration = Duration::from_secs(2);
/// How often what stands is looked at: another process of this balancer may have been called. Without it an
/// upstream that was taken out there would go on being sent to from here.
const LOOK: Duration = Duration::from_millis(50);
/// A change that another process is in the way of is tried again for so long. Callers wait 1 s.
const BUSY: Duration = Duration::from_millis(700);
const BUSY_STEP: Duration = Duration::from_millis(10);
/// What an older process has learned is waited for so long; it looks every [`LOOK`].
const LEAVE: Duration = Duration::from_millis(500);
/// Without a word of discovery the list as last known has to do, after this time. Failure: a process that took over
/// on an old list alone sent to upstreams that had gone.
const FIRST_WORD: Duration = Duration::from_secs(1);
/// What can't be done at once, since others change the same or something comes first, is tried for so long.
const LOOKS: Duration = Duration::from_millis(1500);
/// Wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What the program was given for its operators.
#[derive(Default)]
pub struct Operating {
    /// Where they call; nowhere, if there is none.
    pub listener: Option<Box<dyn Listener>>,
    /// Where what they say is kept; without it, it ends with the process.
    pub store: Option<Store>,
}

/// The balancer behind the door, as far as operators have to do with it.
pub trait Operated {
    /// Whether there is anywhere to send to.
    fn ready(&self) -> bool;
    /// Whether discovery has told a list since the start.
    fn heard(&self) -> bool;
    /// Whether a list has named this upstream.
    fn has_named(&self, name: String) -> impl Future<Output = bool>;
    /// Takes these out, and lets all others back; whether that is done. Told at once; what is returned waits for
    /// it to be done.
    fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool>;
    /// Sends clients away, or takes them again.
    fn quiesce(&self, quiesced: bool);
    /// What was learned of the upstreams so far; nothing, if there is nobody left to ask.
    fn learned(&self) -> impl Future<Output = Option<Learned>>;
    /// Goes on from what another process of this balancer has learned.
    fn recall(&self, learned: Learned);
    /// From what it started, and how saving for the next start goes.
    fn start(&self) -> serde_json::Value;
    /// What was found of a copy of operators' words, elsewhere than in the store.
    fn copied(&self) -> RecoveredCopy;
    /// Copies them there, as they stand now.
    fn copy(&self, words: OperatorStateCopy);
    /// Whether this balancer is one of a bank that agrees on rules.
    fn is_banked(&self) -> bool;
    /// What the bank has to say to this; nothing, where there is none.
    fn ask(&self, ask: AdminRequest) -> impl Future<Output = Option<AdminResponse>>;
}

/// The door, and what stands behind it.
pub struct Operators<B> {
    balancer: B,
    store: RefCell<Option<Store>>,
    started: Option<ProcessRegistration>,
    said: RefCell<OperatorState>,
    since: Instant,
    /// Others can see that this process serves.
    serving: Cell<bool>,
    /// The newest process that what was learned here was left to.
    left_to: Cell<u64>,
}

/// Joins the processes of this balancer; what can't be read is put aside. What is lost so is put back as far as there is
/// a copy.
async fn joined(
    store: &mut Store,
    copied: &RecoveredCopy,
) -> Result<(ProcessRegistration, OperatorState), StoreError> {
    let mut torn = None;
    if let Err(cause @ StoreError::Malformed { .. }) = store.read() {
        let aside = store.set_aside()?;
        tracing::error!(%cause, "put aside as {}", aside.display());
        torn = Some(cause.to_string());
    }
    if torn.is_some() || *copied != RecoveredCopy::Absent && store.is_empty() {
        let said = patiently(|| store.change(|said| said.recover(torn.as_deref(), copied))).await?;
        warn(&said);
    }
    patiently(|| store.join()).await
}

/// What stands where there is no store to join (`torn`: why it can't be used, if there should be one).
fn alone(
    torn: Option<&str>,
    copied: &RecoveredCopy,
) -> (Option<Store>, Option<ProcessRegistration>, OperatorState) {
    let mut said = OperatorState::default();
    said.recover(torn, copied);
    warn(&said);
    (None, None, said)
}

/// Tells of a doubt, if there is one.
fn warn(said: &OperatorState) {
    if let Some(doubt) = &said.suspect {
        let cordoned = said.cordoned.len();
        tracing::error!(
            doubt,
            cordoned,
            "compare what is cordoned, then POST /admin/confirm at the door"
        );
    }
}

impl<B: Operated + 'static> Operators<B> {
    /// Joins the processes of this balancer, and does what stands. A store that can't be used is no reason not to
    /// serve: what can't be read is put aside, and without a store what operators say ends with the process.
    pub async fn join(balancer: B, store: Option<Store>) -> Rc<Self> {
        let copied = balancer.copied();
        let (store, started, said) = match store {
            None => alone(None, &copied),
            Some(mut store) => match joined(&mut store, &copied).await {
                Ok((started, said)) => (Some(store), Some(started), said),
                Err(cause) => {
                    tracing::error!(%cause, "what operators say is not kept: tell this process anew after each start");
                    alone(Some(&cause.to_string()), &copied)
                }
            },
        };
        let operators = Self {
            balancer,
            store: RefCell::new(store),
            started,
            said: RefCell::default(),
            since: Instant::now(),
            serving: Cell::new(false),
            left_to: Cell::new(0),
        };
        // Whatever the copy had: this is what stands.
        operators.balancer.copy(said.copy());
        operators.apply(said).await;
        Rc::new(operators)
    }

    /// Does what stands, whoever was called; and tells the others once this process can serve.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let news = self.store.borrow_mut().as_mut().map(Store::read_if_changed).transpose();
            match news {
                Ok(Some(Some(said))) => drop(self.apply(said).await),
                Ok(_) => {}
                Err(cause) => tracing::error!(%cause, "what operators have said can't be read"),
            }
            // News or not: a call that changes the store after a newer process has joined takes that news with it.
            self.leave_learned().await;
            if !self.serving.get() && self.could_serve() {
                self.recall_learned().await;
                self.announce().await;
            }
            sleep(LOOK).await;
        }
    }

    /// Takes calls.
    pub async fn take_calls(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        let mut callers = VecDeque::<AbortOnDrop>::new();
        loop {
            match accept(&mut *listener).await {
                Ok((stream, _)) => {
                    callers.retain(|c| !c.0.is_finished());
                    while callers.len() >= CALLERS {
                        callers.pop_front();
                    }
                    let this = self.clone();
                    callers.push_back(AbortOnDrop(tokio::task::spawn_local(async move {
                        let service = service_fn(|request| this.answer(request));
                        let call = http1::Builder::new()
                            .keep_alive(false)
                            .header_read_timeout(None)
                            .max_buf_size(HEAD_LIMIT)
                            .max_headers(HEAD_LINES)
                            .serve_connection(TokioIo::new(stream), service);
                        let _ = timeout(CALL, call).await;
                    })));
                }
                Err(cause) => {
                    tracing::warn!(%cause, "accept at the operators' door");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Ends once clients may be accepted: at once, unless an older process of this balancer still serves them and this
    /// one could not do so well yet.
    pub async fn opens(&self) {
        let older = || self.others(|said, me| said.started_before(me).collect());
        if older() {
            tracing::info!("an older process of this balancer serves until this one can");
        }
        // Asked again each time: with the older one dead nobody else answers, not even that nobody can serve.
        while !self.serving.get() && older() {
            sleep(BUSY_STEP).await;
        }
    }

    /// Whether a process that was started later serves in this one's place.
    pub fn succeeded(&self) -> bool {
        self.others(|said, me| said.serving_after(me).collect())
    }

    /// Whether one of these other processes is alive, as things stand now.
    fn others(&self, which: impl Fn(&OperatorState, u64) -> Vec<u64>) -> bool {
        let (mut store, Some(me)) = (self.store.borrow_mut(), &self.started) else { return false };
        let Some(store) = store.as_mut() else { return false };
        // Not by `look`: what is news to it is yet to be done.
        let stands = store.read().unwrap_or_else(|_| self.said.borrow().clone());
        which(&stands, me.number).into_iter().any(|n| store.is_alive(n))
    }

    /// Leaves what was learned here to a process that was started since.
    async fn leave_learned(&self) {
        let Some(me) = &self.started else { return };
        let newest = self.said.borrow().processes.keys().max().copied().unwrap_or(0);
        if newest <= me.number.max(self.left_to.get()) {
            return;
        }
        self.left_to.set(newest);
        let Some(learned) = self.balancer.learned().await else { return };
        let Ok(text) = serde_json::to_vec(&learned) else { return };
        if let Some(Err(cause)) =
            self.store.borrow().as_ref().map(|s| s.write_handoff(me.number, &text))
        {
            tracing::warn!(%cause, "what was learned can't be left to the next process");
        }
    }

    /// Goes on from what an older process has learned, if it leaves that in time.
    async fn recall_learned(&self) {
        let until = Instant::now() + LEAVE;
        let older = |said: &OperatorState, me| said.started_before(me).next().into_iter().collect();
        while self.others(older) {
            let number = self
                .started
                .as_ref()
                .and_then(|me| self.said.borrow().started_before(me.number).next());
            let left =
                number.and_then(|n| self.store.borrow().as_ref().and_then(|s| s.read_handoff(n)));
            if let Some(learned) = left.and_then(|text| serde_json::from_slice(&text).ok()) {
                self.balancer.recall(learned);
                return;
            }
            if Instant::now() >= until {
                tracing::warn!("an older process has not left what it learned");
                return;
            }
            sleep(BUSY_STEP).await;
        }
    }

    fn could_serve(&self) -> bool {
        self.balancer.ready() && (self.balancer.heard() || self.since.elapsed() >= FIRST_WORD)
    }

    async fn announce(&self) {
        if let Some(me) = &self.started {
            let number = me.number;
            if let Err(cause) = self.change(move |said| said.mark_serving(number)).await {
                tracing::error!(%cause, "an older process can't be told that this one serves");
            }
        }
        self.serving.set(true);
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let banks = admin_api::is_cluster_path(head.uri.path());
        let limit = if banks { hollowpaddle_revision::document::LONGEST_JSON } else { BODY_LIMIT };
        let Ok(body) = Limited::new(body, limit).collect().await else {
            return Ok(word(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long or ends early"));
        };
        if banks {
            let query = head.uri.query().unwrap_or_default();
            let ask =
                AdminRequest::read(head.method.as_str(), head.uri.path(), query, &body.to_bytes());
            return Ok(match ask {
                Ok(ask) => self.ask_cluster(ask).await,
                Err(cause) => told(AdminResponse::unread(&cause)),
            });
        }
        let call = Call::read(head.method.as_str(), head.uri.path(), &body.to_bytes());
        let answer = match call {
            Ok(Call::Health) => self.health(),
            Ok(Call::Start) => text(StatusCode::OK, &self.told()),
            Ok(call) => self.grant(call).await,
            Err(cause) => {
                let status = StatusCode::from_u16(cause.status());
                word(status.unwrap_or(StatusCode::BAD_REQUEST), &cause.to_string())
            }
        };
        Ok(answer)
    }

    /// How it came back, and what stands of operators' words.
    fn told(&self) -> serde_json::Value {
        let mut told = self.balancer.start();
        let said = self.said.borrow();
        told["said"] = serde_json::json!({
            "cordoned": said.cordoned,
            "quiesced": said.quiesced,
            "doubted": said.suspect,
        });
        told
    }

    fn health(&self) -> Response<Full<Bytes>> {
        // The word of the store comes before the word of the engine: an older process must find this one when
        // it is told to end.
        if self.serving.get() && self.balancer.ready() {
            word(StatusCode::OK, "")
        } else {
            word(StatusCode::SERVICE_UNAVAILABLE, "no upstream to send to yet")
        }
    }

    async fn grant(&self, call: Call) -> Response<Full<Bytes>> {
        tracing::info!(?call, "an operator calls");
        if let Call::Cordon(name) | Call::Uncordon(name) = &call
            && !self.balancer.has_named(name.clone()).await
        {
            return word(StatusCode::NOT_FOUND, "no list has named this upstream");
        }
        if self.balancer.is_banked() {
            match &call {
                Call::Cordon(name) => {
                    return self.ask_cluster(AdminRequest::cordon(name, true)).await;
                }
                Call::Uncordon(name) => {
                    return self.ask_cluster(AdminRequest::cordon(name, false)).await;
                }
                _ => {}
            }
        }
        let change = |said: &mut OperatorState| match &call {
            Call::Cordon(name) => drop(said.cordoned.insert(name.clone())),
            Call::Uncordon(name) => drop(said.cordoned.remove(name)),
            Call::Quiesce => said.quiesced = true,
            Call::Resume => said.quiesced = false,
            Call::Confirm => said.suspect = None,
            Call::Health | Call::Start => {}
        };
        match self.change(change).await {
            Ok(true) => word(StatusCode::OK, ""),
            Ok(false) => word(StatusCode::SERVICE_UNAVAILABLE, "the engine ended"),
            Err(cause) => {
                tracing::error!(%cause, "an operator's word can't be kept");
                word(StatusCode::SERVICE_UNAVAILABLE, &cause.to_string())
            }
        }
    }

    /// Has the bank answer. One of many who say the same at once is told that another was first, and looks again.
    async fn ask_cluster(&self, ask: AdminRequest) -> Response<Full<Bytes>> {
        tracing::info!(?ask, "an operator calls");
        let until = Instant::now() + LOOKS;
        loop {
            match self.balancer.ask(ask.clone()).await {
                None => return word(StatusCode::NOT_FOUND, "this balancer is in no bank"),
                Some(AdminResponse { again: true, .. })
                    if ask.is_retried() && Instant::now() < until =>
                {
                    sleep(BUSY_STEP).await;
                }
                Some(answer) => return told(answer),
            }
        }
    }

    /// Changes what stands, keeps it and does it; whether the engine has it.
    async fn change(&self, change: impl Fn(&mut OperatorState)) -> Result<bool, StoreError> {
        let said = patiently(|| match &mut *self.store.borrow_mut() {
            Some(store) => store.change(&change),
            None => {
                let mut said = self.said.borrow().clone();
                change(&mut said);
                Ok(said)
            }
        });
        let said = said.await?;
        Ok(self.apply(said).await)
    }

    /// Does what stands. Nothing is waited for before the engine is told, so that it is told in the order in which
    /// the store changed.
    async fn apply(&self, said: OperatorState) -> bool {
        self.balancer.quiesce(said.quiesced);
        let cordoned = self.balancer.cordon(said.cordoned.clone());
        let words = said.copy();
        if words != self.said.borrow().copy() {
            self.balancer.copy(words);
        }
        *self.said.borrow_mut() = said;
        cordoned.await
    }
}

/// Tries until no other process is in the way.
async fn patiently<T>(mut change: impl FnMut() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let until = Instant::now() + BUSY;
    loop {
        match change() {
            Err(cause) if cause.is_busy() && Instant::now() < until => sleep(BUSY_STEP).await,
            done => return done,
        }
    }
}

/// The answer to a call: yes where there is nothing to say against it.
fn word(status: StatusCode, against: &str) -> Response<Full<Bytes>> {
    let word = if against.is_empty() {
        serde_json::json!({"ok": true})
    } else {
        serde_json::json!({"ok": false, "error": against})
    };
    text(status, &word)
}

fn told(AdminResponse { status, text: words, .. }: AdminResponse) -> Response<Full<Bytes>> {
    text(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &words)
}

fn text(status: StatusCode, word: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(format!("{word}\n")));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A balancer that does nothing, and has an upstream or none.
    struct Idle {
        ready: bool,
    }

    impl Operated for Idle {
        fn ready(&self) -> bool {
            self.ready
        }
        fn heard(&self) -> bool {
            self.ready
        }
        async fn has_named(&self, _: String) -> bool {
            true
        }
        async fn cordon(&self, _: BTreeSet<String>) -> bool {
            true
        }
        fn quiesce(&self, _: bool) {}
        async fn learned(&self) -> Option<Learned> {
            Some(Learned::default())
        }
        fn recall(&self, _: Learned) {}
        fn start(&self) -> serde_json::Value {
            serde_json::Value::Null
        }
        fn copied(&self) -> RecoveredCopy {
            RecoveredCopy::Absent
        }
        fn copy(&self, _: OperatorStateCopy) {}
        fn is_banked(&self) -> bool {
            false
        }
        async fn ask(&self, _: AdminRequest) -> Option<AdminResponse> {
            None
        }
    }

    async fn joined(dir: &tempfile::TempDir, ready: bool) -> Rc<Operators<Idle>> {
        let store = Store::open(dir.path()).expect("a store");
        Operators::join(Idle { ready }, Some(store)).await
    }

    #[tokio::test(start_paused = true)]
    async fn what_was_learned_is_left_though_a_call_comes_before_the_next_look() {
        let dir = tempfile::tempdir().expect("a directory");
        let old = joined(&dir, true).await;
        let mut store = Store::open(dir.path()).expect("a store");
        let (_new, _) = store.join().expect("a newer process joins");
        assert_eq!(old.grant(Call::Quiesce).await.status(), StatusCode::OK);
        let me = old.started.as_ref().expect("it has a store").number;
        let _ = timeout(10 * LOOK, old.follow()).await;
        assert!(store.read_handoff(me).is_some(), "the newer process would start from nothing");
    }

    #[tokio::test(start_paused = true)]
    async fn with_the_older_process_dead_one_opens_that_can_serve_nobody_yet() {
        let dir = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(dir.path()).expect("a store");
        let (older, _) = store.join().expect("an older process joins");
        let new = joined(&dir, false).await;
        let opens = new.opens();
        tokio::pin!(opens);
        assert!(timeout(10 * LOOK, &mut opens).await.is_err(), "the older one serves");
        drop(older);
        timeout(10 * LOOK, &mut opens).await.expect("nobody else answers clients");
    }
}
