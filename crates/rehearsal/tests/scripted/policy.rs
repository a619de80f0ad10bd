//! A minimal routing policy of a cluster: one list of revisions that all balancers of a run poll,
//! with a lease from each poll, and an admin API. The second balancer receives no updates for a
//! while.

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

/// Duration of the lease that a poll gives.
const LEASE: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Start and end of the second balancer's partition, from its own start.
const PARTITION: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(20));
/// The cells that no revision can exclude.
const FALLBACK_CELLS: [u64; 1] = [0];

thread_local! {
    /// Cells that each revision excludes. Each run has a thread of its own.
    static REVISIONS: RefCell<Vec<Vec<u64>>> = RefCell::new(vec![vec![]]);
}

pub struct PolicyState {
    number: usize,
    started_at: Instant,
    last_update: Cell<Instant>,
    revision: Cell<usize>,
    /// Whether the balancer applies its policy past its lease.
    ignores_lease: bool,
}

impl PolicyState {
    pub fn new(number: usize, ignores_lease: bool) -> Rc<Self> {
        let (started_at, revision) = (Instant::now(), Cell::new(0));
        Rc::new(Self {
            number,
            started_at,
            last_update: Cell::new(started_at),
            revision,
            ignores_lease,
        })
    }

    fn is_leased(&self) -> bool {
        self.last_update.get().elapsed() < LEASE
    }

    /// Returns whether the balancer sends to a cell.
    pub fn allows(&self, cell: u64) -> bool {
        let out = REVISIONS.with_borrow(|revisions| revisions[self.revision.get()].contains(&cell));
        FALLBACK_CELLS.contains(&cell) || (!out && (self.ignores_lease || self.is_leased()))
    }

    pub async fn listen(self: Rc<Self>) {
        loop {
            let age = self.started_at.elapsed();
            if self.number != 1 || age < PARTITION.0 || age > PARTITION.1 {
                self.revision.set(REVISIONS.with_borrow(Vec::len) - 1);
                self.last_update.set(Instant::now());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn serve_admin_api(self: Rc<Self>, network: Rc<dyn Network>, at: SocketAddr) {
        let mut listener = network.listen(at).expect("a free address");
        loop {
            let (stream, _) = accept(&mut *listener).await.expect("a connection");
            let policy = self.clone();
            spawn_local(async move {
                let mut exchange = Exchange::new(stream);
                let Ok(call) = exchange.message(Direction::Requests).await else { return };
                let body = serde_json::from_slice(&call.body).unwrap_or_default();
                let text = policy.answer(&call.start.0, &call.start.1, &body);
                let _ = exchange.write(&answer(200, text.to_string().as_bytes())).await;
            });
        }
    }

    fn answer(&self, method: &str, path: &str, body: &Value) -> Value {
        let cells =
            |v: &Value| v.as_array().into_iter().flatten().filter_map(Value::as_u64).collect();
        if method == "POST" {
            let newest = REVISIONS.with_borrow_mut(|revisions| {
                revisions.push(cells(&body["document"]["out"]["pods"]));
                revisions.len() - 1
            });
            return json!({"ok": true, "revision": newest});
        }
        let here = self.revision.get();
        match path.strip_prefix("/admin/revisions") {
            None => json!({
                "revision": here, "towards": null, "newest": here, "unconfirmed": false,
                "lease": {"held": self.is_leased()},
                "charter": {"pods": FALLBACK_CELLS, "except": [], "awaited": false},
                "council": {"leader": 0, "log": format!("1.{here}")},
            }),
            Some("") => {
                let all: Vec<Value> = (0..=here).rev().map(|n| json!({"revision": n})).collect();
                json!({"revisions": all})
            }
            Some(number) => {
                let number: usize = number.trim_start_matches('/').parse().expect("a number");
                let out = REVISIONS.with_borrow(|revisions| revisions[number].clone());
                json!({"document": {"out": {"pods": out}}})
            }
        }
    }
}
