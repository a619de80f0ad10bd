//! A bank's rule book small enough to be read at a glance: one list that all balancers of a run look at, with a lease from
//! each look, and a door. The second balancer hears nothing for a while.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{Network, accept};
use hollowpaddle_rehearsal::wire::{Direction, Exchange};
use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::answer;

/// A look at the list gives a lease for so long.
const LEASE: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(100);
/// From when to when, from its start on, the second balancer hears nothing.
const DEAF: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(20));
/// No revision can put out this pod.
const CHARTER: [u64; 1] = [0];

thread_local! {
    /// Pods that each revision has out; each run has a thread of its own.
    static BOOK: RefCell<Vec<Vec<u64>>> = RefCell::new(vec![vec![]]);
}

pub struct Rules {
    number: usize,
    born: Instant,
    heard: Cell<Instant>,
    revision: Cell<usize>,
    /// It goes on past its lease.
    ignores: bool,
}

impl Rules {
    pub fn new(number: usize, ignores: bool) -> Rc<Self> {
        let (born, revision) = (Instant::now(), Cell::new(0));
        Rc::new(Self { number, born, heard: Cell::new(born), revision, ignores })
    }

    fn is_leased(&self) -> bool {
        self.heard.get().elapsed() < LEASE
    }

    /// Whether it sends to a pod.
    pub fn allows(&self, pod: u64) -> bool {
        let out = BOOK.with_borrow(|book| book[self.revision.get()].contains(&pod));
        CHARTER.contains(&pod) || (!out && (self.ignores || self.is_leased()))
    }

    pub async fn listen(self: Rc<Self>) {
        loop {
            let age = self.born.elapsed();
            if self.number != 1 || age < DEAF.0 || age > DEAF.1 {
                self.revision.set(BOOK.with_borrow(Vec::len) - 1);
                self.heard.set(Instant::now());
            }
            sleep(LOOK).await;
        }
    }

    pub async fn door(self: Rc<Self>, network: Rc<dyn Network>, at: SocketAddr) {
        let mut listener = network.listen(at).expect("a free address");
        loop {
            let (stream, _) = accept(&mut *listener).await.expect("a connection");
            let rules = self.clone();
            spawn_local(async move {
                let mut talk = Exchange::new(stream);
                let Ok(call) = talk.message(Direction::Requests).await else { return };
                let body = serde_json::from_slice(&call.body).unwrap_or_default();
                let text = rules.answer(&call.start.0, &call.start.1, &body);
                let _ = talk.write(&answer(200, text.to_string().as_bytes())).await;
            });
        }
    }

    fn answer(&self, method: &str, path: &str, body: &Value) -> Value {
        let pods =
            |v: &Value| v.as_array().into_iter().flatten().filter_map(Value::as_u64).collect();
        if method == "POST" {
            let newest = BOOK.with_borrow_mut(|book| {
                book.push(pods(&body["document"]["out"]["pods"]));
                book.len() - 1
            });
            return json!({"ok": true, "revision": newest});
        }
        let here = self.revision.get();
        match path.strip_prefix("/admin/revisions") {
            None => json!({
                "revision": here, "towards": null, "newest": here, "unconfirmed": false,
                "lease": {"held": self.is_leased()},
                "charter": {"pods": CHARTER, "except": [], "awaited": false},
                "council": {"leader": 0, "log": format!("1.{here}")},
            }),
            Some("") => {
                let all: Vec<Value> = (0..=here).rev().map(|n| json!({"revision": n})).collect();
                json!({"revisions": all})
            }
            Some(number) => {
                let number: usize = number.trim_start_matches('/').parse().expect("a number");
                let out = BOOK.with_borrow(|book| book[number].clone());
                json!({"document": {"out": {"pods": out}}})
            }
        }
    }
}
