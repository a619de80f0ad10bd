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

/// An event for the engine. Events are handled in the order in which they were sent.
pub enum EngineEvent {
    /// A client's request is ready to be forwarded.
    RequestArrived {
        /// The id that the request was given.
        id: RequestId,
        /// What the decision module needs to know of it.
        arrival: Arrival,
        /// The request as upstreams get it.
        forwarded: ForwardedRequest,
        /// Takes the final answer.
        reply: oneshot::Sender<Reply>,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// The last byte of a streamed body was received and handed to its upstream's connection.
    BodyReceived(RequestId),
    /// An attempt has ended.
    AttemptFinished(FinishedAttempt),
    /// A watch on the endpoint list has something to report.
    Watch {
        /// Serial number of the watch, which tells it from earlier ones.
        serial: u64,
        /// The report.
        event: WatchEvent,
    },
    /// The discovery service has this address from now on.
    DiscoveryMoved(SocketAddr),
    /// Asks whether an endpoint list has named this upstream.
    HasNamed {
        /// The upstream's name.
        name: String,
        /// Takes the answer.
        reply: oneshot::Sender<bool>,
    },
    /// Operators have cordoned these upstreams and no others.
    Cordon {
        /// Names of the upstreams.
        names: BTreeSet<String>,
        /// Notified once no new attempt goes to them.
        done: oneshot::Sender<()>,
    },
    /// The cluster of balancers reports a change.
    Cluster(ClusterEvent),
    /// The next part of a long endpoint list is due to the decision module.
    NextListPart,
    /// Asks for what the decision module has learned.
    ExportLearned(oneshot::Sender<Learned>),
    /// Has the decision module continue from what another process of this balancer has learned.
    ImportLearned(Box<Learned>),
    /// Asks for a part of the endpoint list.
    ReadList {
        /// Handle of the first upstream of the part.
        from: u32,
        /// Takes the part, and whether a live watch vouches for the list.
        reply: oneshot::Sender<(ListPart, bool)>,
    },
}

/// The end of one attempt of a request.
pub struct FinishedAttempt {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt among those of its request, from 0.
    pub attempt: usize,
    /// How the attempt ended.
    pub result: AttemptResult,
}

/// A request as the decision module needs to know it.
pub struct Arrival {
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// Hash of the session that it belongs to, if any.
    pub key: Option<u64>,
    /// When the client gives up.
    pub client_deadline: Instant,
    /// The client's estimate of the service time.
    pub cost_guess: Option<SignedDuration>,
    /// Whether the client says that this is a retry of its own.
    pub resent: bool,
    /// Shared with the client's connection.
    pub cancellation: Rc<Cancellation>,
}

/// The one final answer to a request.
pub enum Reply {
    /// An upstream's response.
    Served(Response<ResponseBody>),
    /// The request was rejected, and a retry is harmless.
    Refused {
        /// How long the client should wait before a retry; zero for no advice.
        retry_after: SignedDuration,
    },
    /// The request failed, and may have run.
    Failed {
        /// Whether it ran out of time.
        late: bool,
    },
}

impl Reply {
    /// Whether this is an upstream's response.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Served(_))
    }
}
