//! The events that the engine receives, and the requests and final answers that they carry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use hollowpaddle_policy::interface::{RequestId, SignedDuration};
use hollowpaddle_policy::learned::Learned;
use hyper::Response;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::attempt::AttemptResult;
use crate::cancellation::Cancellation;
use crate::cluster::ClusterEvent;
use crate::discovery::WatchEvent;
use crate::forwarded_request::ForwardedRequest;
use crate::membership::ListPart;
use crate::response_body::ResponseBody;

/// An event for the engine, which handles events in the order in which they were sent.
pub enum EngineEvent {
    /// A client's request is ready to be forwarded.
    RequestArrived {
        /// Id assigned to the request.
        id: RequestId,
        /// Properties of the request for the decision module.
        arrival: Arrival,
        /// The request as forwarded to upstreams.
        forwarded: ForwardedRequest,
        /// Receives the final answer.
        reply: oneshot::Sender<Reply>,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// The last byte of a streamed body was received and passed to the upstream's connection.
    BodyReceived(RequestId),
    /// An attempt has ended.
    AttemptFinished(FinishedAttempt),
    /// A watch on the endpoint list reports an event.
    Watch {
        /// Serial number of the watch, unique among all watches of this process.
        serial: u64,
        /// The reported event.
        event: WatchEvent,
    },
    /// The discovery service has moved to this address.
    DiscoveryMoved(SocketAddr),
    /// Asks whether any endpoint list has named an upstream.
    HasNamed {
        /// The upstream's name.
        name: String,
        /// Receives the answer.
        reply: oneshot::Sender<bool>,
    },
    /// Operators have set the cordoned upstreams; all others are uncordoned.
    Cordon {
        /// Names of the cordoned upstreams.
        names: BTreeSet<String>,
        /// Notified once no new attempt goes to the cordoned upstreams.
        done: oneshot::Sender<()>,
    },
    /// The cluster of balancers reports an event.
    Cluster(ClusterEvent),
    /// The next part of a long endpoint list is due to be passed to the decision module.
    NextListPart,
    /// Asks for the estimates that the decision module has learned.
    ExportLearned(oneshot::Sender<Learned>),
    /// Passes the estimates that another process of this balancer has learned to the decision module.
    ImportLearned(Box<Learned>),
    /// Asks for a part of the endpoint list.
    ReadList {
        /// Handle of the first upstream in the part.
        from: u32,
        /// Receives the part, and whether a live watch confirms that the list is up to date.
        reply: oneshot::Sender<(ListPart, bool)>,
    },
}

/// The end of one attempt of a request.
pub struct FinishedAttempt {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt among those of its request, from 0.
    pub attempt: usize,
    /// Result of the attempt.
    pub result: AttemptResult,
}

/// The properties of a request that the decision module uses.
pub struct Arrival {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's tenant in the settings.
    pub tenant: usize,
    /// Hash of the session id of the request, if any.
    pub key: Option<u64>,
    /// When the client gives up.
    pub client_deadline: Instant,
    /// The client's estimate of the service time.
    pub cost_guess: Option<SignedDuration>,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
    /// Cancellation state of the request, shared with the client's connection.
    pub cancellation: Rc<Cancellation>,
}

/// The one final answer to a request.
pub enum Reply {
    /// An upstream's response.
    Served(Response<ResponseBody>),
    /// The request was rejected, and a retry is harmless.
    Rejected {
        /// How long the client should wait before a retry; zero if no time is recommended.
        retry_after: SignedDuration,
    },
    /// The request failed, and may have run.
    Failed {
        /// Whether the request timed out.
        timed_out: bool,
    },
}

impl Reply {
    /// Whether this is an upstream's response.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Served(_))
    }
}
