//! The ids of the requests that are open. Two open requests of one id could not be told apart at an upstream.

use std::cell::RefCell;

use hyper::header::{HeaderMap, HeaderValue};
use rustc_hash::FxHashSet;

/// The ids of all open requests.
#[derive(Default)]
pub(super) struct OpenIds(RefCell<FxHashSet<TenantRequestId>>);

/// The id of a request, and its tenant: tenants choose ids without knowing of each other.
#[derive(Clone, PartialEq, Eq, Hash)]
struct TenantRequestId {
    tenant: Option<HeaderValue>,
    id: HeaderValue,
}

/// The id of an open request, until it is dropped.
pub(super) struct OpenId<'a> {
    ids: &'a OpenIds,
    id: TenantRequestId,
}

impl OpenIds {
    /// Notes the id in these headers as open; nothing, if there is none or it is open already.
    pub(super) fn open(&self, headers: &HeaderMap) -> Option<OpenId<'_>> {
        let id = headers.get("x-request-id")?.clone();
        let id = TenantRequestId { tenant: headers.get("x-tenant").cloned(), id };
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| OpenId { ids: self, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
