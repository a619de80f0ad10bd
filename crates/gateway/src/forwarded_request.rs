//! A client's request as it is forwarded, the same for each of its attempts. Sending it is left to `upstreams`.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

use crate::attempt::AttemptLimits;
use crate::bodies::BodyError;
use crate::streamed_body::StreamedBody;

/// A request as upstreams get it, but for the deadline that each attempt announces.
pub struct ForwardedRequest {
    /// The client's method.
    pub method: Method,
    /// The target in origin form.
    pub uri: Uri,
    /// The headers that are not about the client's connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: ForwardedBody,
}

/// The body of a forwarded request.
pub enum ForwardedBody {
    /// The complete body, for any number of attempts.
    Buffered(Bytes),
    /// A body that is still being received, for one attempt.
    Streamed(Rc<StreamedBody>),
}

impl ForwardedRequest {
    /// The body, if it is streamed.
    pub fn streamed_body(&self) -> Option<&Rc<StreamedBody>> {
        match &self.body {
            ForwardedBody::Buffered(_) => None,
            ForwardedBody::Streamed(body) => Some(body),
        }
    }

    /// Whether the request can't be sent again, since a part of its streamed body was.
    pub fn is_spent(&self) -> bool {
        self.streamed_body().is_some_and(|body| body.is_spent())
    }

    /// What the client did wrong with its streamed body.
    pub fn client_fault(&self) -> Option<BodyError> {
        self.streamed_body().and_then(|body| body.client_fault())
    }

    /// When an attempt with these limits has to end, as things stand.
    pub fn attempt_deadline(&self, limits: AttemptLimits) -> Instant {
        match self.streamed_body() {
            Some(body) => body.attempt_deadline(limits.deadline, limits.response_timeout),
            None => limits.deadline,
        }
    }
}
