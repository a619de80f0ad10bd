//! The side that faces clients: an HTTP server that receives requests, hands them to the engine, and answers each once.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts connections from the first moment to the last one after SIGTERM |
//! | `conversation` | serves one connection until it closes |
//! | `intake` | receives a request, and checks and reads its head |
//! | `request_head` | whether a head is well formed, and what goes on to an upstream |
//! | `response` | the responses that clients get |
//! | `open_ids` | the ids of the requests that are open |
//!
//! How long a connection may stay, and which one gives way, is left to `connections`; how it closes, to `closing`.

mod accept;
mod conversation;
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
use crate::stall_detector::StallDetector;
use crate::tasks::CloseSignal;
use open_ids::OpenIds;

/// How long after `quiesce` idle connections stay open. The front asks every 0.1 s whether clients may come, and sends them
/// for 0.2 s more.
const QUIESCE_NOTICE: Duration = Duration::from_millis(600);
/// Request bodies that are received or buffered may take this part of the memory together.
const BODY_MEMORY_DIVISOR: usize = 8;

/// The server that clients connect to.
pub struct ClientServer {
    engine: EngineHandle,
    facts: Facts,
    classes: Vec<ClassRules>,
    /// The longest deadline of all classes.
    max_deadline: Duration,
    connections: Rc<Connections>,
    open_ids: OpenIds,
    body_memory: MemoryBudget,
    stall_detector: Rc<StallDetector>,
    /// Whether the process is shutting down.
    is_stopping: Cell<bool>,
    /// By when all requests must be answered, once the process is shutting down.
    answer_by: Cell<Option<Instant>>,
    /// Whether operators send clients away.
    is_quiesced: Cell<bool>,
    /// How often operators have changed that.
    quiesce_serial: Cell<u64>,
    /// Shared by all connections that there are; sent to have each of them close once nothing is open on it.
    close_signal: RefCell<Rc<CloseSignal>>,
}

/// What a class asks of its requests.
struct ClassRules {
    effect: Effect,
    /// No client waits longer than this.
    max_deadline: Duration,
}

impl ClassRules {
    fn of(class: &Class) -> Self {
        let max_deadline = Duration::from_micros(class.deadline.0.max(0) as u64);
        Self { effect: class.effect, max_deadline }
    }
}

impl ClientServer {
    /// A server that hands requests to `engine`, with as many connections as `budget` allows.
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
            stall_detector: Rc::default(),
            is_stopping: Cell::new(false),
            answer_by: Cell::new(None),
            is_quiesced: Cell::new(false),
            quiesce_serial: Cell::new(0),
            close_signal: RefCell::default(),
        }
    }

    /// Sends clients away, or takes them again.
    ///
    /// Requests that are open are answered. Idle connections are closed once the front has had time to notice.
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

    /// Closes all connections that there are now, each once nothing is open on it.
    fn close_connections(&self) {
        self.close_signal.take().send();
    }

    /// Whether clients should go elsewhere.
    fn turns_clients_away(&self) -> bool {
        self.is_stopping.get() || self.is_quiesced.get()
    }
}
