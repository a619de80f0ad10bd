//! Tracks the ids of open requests, since an upstream could not distinguish two open requests with the same id.

use std::cell::RefCell;

use hyper::header::{HeaderMap, HeaderValue};
use rustc_hash::FxHashSet;

/// The ids of all open requests.
#[derive(Default)]
pub(super) struct OpenIds(RefCell<FxHashSet<TenantRequestId>>);

/// The id of a request and its tenant. Tenants choose ids independently, so ids are unique within a tenant only.
#[derive(Clone, PartialEq, Eq, Hash)]
struct TenantRequestId {
    tenant: Option<HeaderValue>,
    id: HeaderValue,
}

/// Registration of the id of an open request. Dropping it removes the id.
pub(super) struct OpenId<'a> {
    ids: &'a OpenIds,
    id: TenantRequestId,
}

impl OpenIds {
    /// Registers the id in these headers as open. Returns `None` if there is no id or it is open already.
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
