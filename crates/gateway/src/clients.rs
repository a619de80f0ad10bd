//! The HTTP server for clients: receives requests, submits them to the engine, and sends one response to each.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts connections, from the start until after SIGTERM |
//! | `backlog` | bounds the time that a connection has waited to be accepted |
//! | `client_connection` | serves one connection until it closes |
//! | `intake` | receives a request, checks its head, and submits the request to the engine |
//! | `request_head` | validates the head of a request, and derives the head for upstreams |
//! | `response` | builds the responses to clients |
//! | `open_ids` | tracks the ids of open requests |
//!
//! The module `connections` enforces the timeouts of connections and evicts them; `closing` closes them.

mod accept;
mod backlog;
mod client_connection;
mod intake;
mod open_ids;
mod request_head;
mod response;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::{Class, Effect};
use hollowpaddle_policy::settings::Facts;
use tokio::time::{Instant, sleep};

use crate::bodies::MemoryBudget;
use crate::config::{Budget, Config};
use crate::connections::Connections;
use crate::engine::EngineHandle;
use crate::tasks::CloseSignal;
use open_ids::OpenIds;

/// How long idle connections stay open after `quiesce`. The front polls the readiness every 0.1 s, and continues to send
/// clients for 0.2 s after that.
const QUIESCE_NOTICE: Duration = Duration::from_millis(600);
/// Request bodies that are received or buffered may use the memory limit divided by this in total.
const BODY_MEMORY_DIVISOR: usize = 8;

/// The server that clients connect to.
pub struct ClientServer {
    engine: EngineHandle,
    facts: Facts,
    classes: Vec<ClassRules>,
    /// The longest deadline among all classes.
    max_deadline: Duration,
    connections: Rc<Connections>,
    open_ids: OpenIds,
    body_memory: MemoryBudget,
    /// Whether the process is shutting down.
    is_stopping: Cell<bool>,
    /// When all requests must be answered, if the process is shutting down.
    answer_deadline: Cell<Option<Instant>>,
    /// Whether operators have quiesced this balancer, so that its clients are to use another one.
    is_quiesced: Cell<bool>,
    /// Number of changes of `is_quiesced`.
    quiesce_serial: Cell<u64>,
    /// Shared by all current connections. When the signal is sent, each connection closes once no request is open on it.
    close_signal: RefCell<Rc<CloseSignal>>,
}

/// Requirements of a class on its requests.
struct ClassRules {
    effect: Effect,
    /// Upper bound of the deadlines that clients may announce.
    max_deadline: Duration,
}

impl ClassRules {
    fn of(class: &Class) -> Self {
        let max_deadline = Duration::from_micros(class.deadline.0.max(0) as u64);
        Self { effect: class.effect, max_deadline }
    }
}

impl ClientServer {
    /// Creates a server that submits requests to `engine`, with as many connections as `budget` allows.
    pub fn new(config: &Config, engine: EngineHandle, budget: &Budget) -> Self {
        let settings = config.facts.settings();
        let classes: Vec<ClassRules> = settings.classes.iter().map(ClassRules::of).collect();
        let max_deadline = classes.iter().map(|class| class.max_deadline).max();
        Self {
            engine,
            facts: config.facts.clone(),
            classes,
            max_deadline: max_deadline.unwrap_or_default(),
            connections: Connections::new(budget.clients, budget.idle_close_threshold),
            open_ids: OpenIds::default(),
            body_memory: MemoryBudget::new(config.memory / BODY_MEMORY_DIVISOR),
            is_stopping: Cell::new(false),
            answer_deadline: Cell::new(None),
            is_quiesced: Cell::new(false),
            quiesce_serial: Cell::new(0),
            close_signal: RefCell::default(),
        }
    }

    /// Quiesces this balancer, or ends the quiescence.
    ///
    /// Open requests are answered. Idle connections are closed once the front has had time to notice the changed readiness.
    pub fn quiesce(self: &Rc<Self>, quiesced: bool) {
        if self.is_quiesced.replace(quiesced) == quiesced {
            return;
        }
        tracing::info!(quiesced, "quiesce state changed by operators");
        let serial = self.quiesce_serial.get() + 1;
        self.quiesce_serial.set(serial);
        if quiesced {
            let this = self.clone();
            tokio::task::spawn_local(async move {
                sleep(QUIESCE_NOTICE).await;
                if this.quiesce_serial.get() == serial {
                    this.close_connections();
                }
            });
        }
    }

    /// Closes all current connections, each once no request is open on it.
    fn close_connections(&self) {
        self.close_signal.take().send();
    }

    /// Whether clients should use another balancer.
    fn is_quiesced_or_stopping(&self) -> bool {
        self.is_stopping.get() || self.is_quiesced.get()
    }
}
