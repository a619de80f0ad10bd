//! Responses of the admin API: an HTTP status and a JSON body.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::entry::CommandId;
use hollowpaddle_revision::policy_state::Rejection;
use serde_json::{Value, json};

use super::{AdminRequest, AdminRequestError};
use crate::cluster::machine::ProposalResult;

/// A response to a call of the admin API.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// HTTP status (RFC 9110, 15).
    pub status: u16,
    /// JSON body.
    pub body: Value,
    /// The revision that must be in force at every balancer before the response is sent, and the maximum wait for that.
    pub rollout_wait: Option<(u64, Duration)>,
    /// Whether the call may succeed when repeated, because a concurrent change was committed first or another step has to
    /// precede.
    pub is_retryable: bool,
}

impl AdminResponse {
    pub(super) fn ok(body: Value) -> Self {
        Self { status: 200, body, rollout_wait: None, is_retryable: false }
    }

    fn error(status: u16, id: &str, reason: &str) -> Self {
        Self { status, ..Self::ok(json!({"ok": false, "id": id, "error": reason})) }
    }

    /// Creates the response for a cordon of an upstream that the fallback policy still allows. The balancers in `behind`
    /// have not confirmed the change of the fallback policy.
    pub(super) fn awaits_fallback(behind: &[(NodeId, Duration)]) -> Self {
        let behind: Vec<u16> = behind.iter().map(|(m, _)| m.0).collect();
        let reason = "the charter allows it: it is put out once every member has agreed to let go of it; repeat this call, \
                   or say of those that are gone for good that they are dead";
        let body = json!({"ok": false, "waiting": "charter", "behind": behind, "error": reason});
        Self { status: 202, is_retryable: true, ..Self::ok(body) }
    }

    /// Creates the response to an invalid call.
    pub fn bad_request(reason: &str) -> Self {
        Self { status: 400, ..Self::ok(json!({"ok": false, "error": reason})) }
    }

    /// Creates the response to a call that can't be parsed.
    pub fn unreadable(reason: &AdminRequestError) -> Self {
        let status = if matches!(reason, AdminRequestError::NoSuch { .. }) { 404 } else { 400 };
        Self { status, ..Self::bad_request(&reason.to_string()) }
    }

    /// Creates the response to a change that the policy state rejects.
    pub(super) fn rejected(reason: &Rejection) -> Self {
        let is_changing = matches!(reason, Rejection::FallbackChangeInProgress { .. });
        let is_retryable = is_changing || matches!(reason, Rejection::StaleBase { .. });
        let status = if is_changing { 202 } else { 409 };
        Self { status, is_retryable, ..Self::ok(json!({"ok": false, "error": reason.to_string()})) }
    }

    /// Creates the response to `request`, whose command `id` had this `result`.
    ///
    /// If `fallback_pending`, the proposed entry only prepares the requested change, which is not done yet.
    pub fn of(
        request: &AdminRequest,
        id: CommandId,
        result: &ProposalResult,
        fallback_pending: bool,
    ) -> Self {
        let id = format!("{:032x}", id.0);
        match result {
            ProposalResult::Answered(Ok(entry)) if fallback_pending => {
                let body = json!({"ok": false, "waiting": "charter", "entry": entry, "id": id});
                Self { status: 202, is_retryable: true, ..Self::ok(body) }
            }
            ProposalResult::Answered(Ok(number)) => Self::accepted(request, *number, &id),
            ProposalResult::Answered(Err(reason)) => {
                let mut response = Self::rejected(reason);
                response.body["id"] = id.into();
                response
            }
            ProposalResult::Committed(index) => {
                Self::ok(json!({"ok": true, "entry": index.to_string(), "id": id}))
            }
            ProposalResult::NeverCommitted => {
                let reason = "it stands nowhere and never will: too long, too many under way, or not to be done";
                Self::error(409, &id, reason)
            }
            ProposalResult::Unknown => Self::error(504, &id, request.unknown_outcome_text()),
        }
    }

    /// Creates the response to a change that is committed. `number` is the number of its revision, or of its entry if the
    /// change creates no revision.
    fn accepted(request: &AdminRequest, number: u64, id: &str) -> Self {
        let change = match request {
            AdminRequest::Change(change) => Some(change),
            _ => None,
        };
        let key = if change.is_some_and(|c| !c.is_revision()) { "entry" } else { "revision" };
        let wait = change.filter(|c| c.is_revision()).and_then(|c| c.wait);
        let body = json!({"ok": true, key: number, "id": id});
        Self { rollout_wait: wait.map(|within| (number, within)), ..Self::ok(body) }
    }
}
