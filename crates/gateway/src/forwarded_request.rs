//! A client's request as it is forwarded, shared by all its attempts. The module `upstreams` sends it.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

use crate::attempt::AttemptLimits;
use crate::bodies::BodyError;
use crate::streamed_body::StreamedBody;

/// A request as upstreams get it, except for the deadline, which each attempt announces anew.
pub struct ForwardedRequest {
    /// The client's method.
    pub method: Method,
    /// The target in origin form.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: ForwardedBody,
}

/// The body of a forwarded request.
pub enum ForwardedBody {
    /// A complete body, which any number of attempts can send.
    Buffered(Bytes),
    /// A body that is still being received, which only one attempt can send.
    Streamed(Rc<StreamedBody>),
}

impl ForwardedRequest {
    /// Returns the body, if it is streamed.
    pub fn streamed_body(&self) -> Option<&Rc<StreamedBody>> {
        match &self.body {
            ForwardedBody::Buffered(_) => None,
            ForwardedBody::Streamed(body) => Some(body),
        }
    }

    /// Whether a part of a streamed body was sent, so that the request can't be sent again.
    pub fn is_body_started(&self) -> bool {
        self.streamed_body().is_some_and(|body| body.is_started())
    }

    /// Returns the error in the client's streamed body, if there is one.
    pub fn client_fault(&self) -> Option<BodyError> {
        self.streamed_body().and_then(|body| body.client_fault())
    }

    /// Computes the current deadline of an attempt with these limits.
    pub fn attempt_deadline(&self, limits: AttemptLimits) -> Instant {
        match self.streamed_body() {
            Some(body) => body.attempt_deadline(limits.deadline, limits.response_timeout),
            None => limits.deadline,
        }
    }
}
