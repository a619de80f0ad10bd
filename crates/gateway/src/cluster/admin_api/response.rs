//! Answers of the admin API: an HTTP status and a JSON body.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::entry::CommandId;
use hollowpaddle_revision::policy_state::Rejection;
use serde_json::{Value, json};

use super::{AdminRequest, AdminRequestError};
use crate::cluster::machine::ProposalResult;

/// An answer to a call of the admin API.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// HTTP status (RFC 9110, 15).
    pub status: u16,
    /// JSON body.
    pub text: Value,
    /// To be sent only once this revision is in force at every balancer, or after this time.
    pub wait: Option<(u64, Duration)>,
    /// Not done yet: a concurrent change came first, or another step has to be done before.
    pub again: bool,
}

impl AdminResponse {
    pub(super) fn ok(text: Value) -> Self {
        Self { status: 200, text, wait: None, again: false }
    }

    fn error(status: u16, id: &str, why: &str) -> Self {
        Self { status, ..Self::ok(json!({"ok": false, "id": id, "error": why})) }
    }

    /// The fallback policy still allows what is to be taken out; `behind` have not confirmed its change.
    pub(super) fn awaits_fallback(behind: &[(NodeId, Duration)]) -> Self {
        let behind: Vec<u16> = behind.iter().map(|(m, _)| m.0).collect();
        let why = "the charter allows it: it is put out once every member has agreed to let go of it; repeat this call, \
                   or say of those that are gone for good that they are dead";
        let text = json!({"ok": false, "waiting": "charter", "behind": behind, "error": why});
        Self { status: 202, again: true, ..Self::ok(text) }
    }

    /// The call asks for something that makes no sense.
    pub fn bad(why: &str) -> Self {
        Self { status: 400, ..Self::ok(json!({"ok": false, "error": why})) }
    }

    /// The call can't be read.
    pub fn unread(why: &AdminRequestError) -> Self {
        let status = if matches!(why, AdminRequestError::NoSuch { .. }) { 404 } else { 400 };
        Self { status, ..Self::bad(&why.to_string()) }
    }

    /// The policy rejects the change.
    pub(super) fn refused(why: &Rejection) -> Self {
        let is_changing = matches!(why, Rejection::Changing { .. });
        let again = is_changing || matches!(why, Rejection::Lost { .. });
        let status = if is_changing { 202 } else { 409 };
        Self { status, again, ..Self::ok(json!({"ok": false, "error": why.to_string()})) }
    }

    /// The answer to `request`, whose command `id` had this `result`.
    ///
    /// With `fallback_pending` the entry that was proposed only prepares what was asked for: it is not done yet.
    pub fn of(
        request: &AdminRequest,
        id: CommandId,
        result: &ProposalResult,
        fallback_pending: bool,
    ) -> Self {
        let id = format!("{:032x}", id.0);
        match result {
            ProposalResult::Answered(Ok(entry)) if fallback_pending => {
                let text = json!({"ok": false, "waiting": "charter", "entry": entry, "id": id});
                Self { status: 202, again: true, ..Self::ok(text) }
            }
            ProposalResult::Answered(Ok(number)) => Self::accepted(request, *number, &id),
            ProposalResult::Answered(Err(why)) => {
                let mut response = Self::refused(why);
                response.text["id"] = id.into();
                response
            }
            ProposalResult::Stands(index) => {
                Self::ok(json!({"ok": true, "entry": index.to_string(), "id": id}))
            }
            ProposalResult::Never => {
                let why = "it stands nowhere and never will: too long, too many under way, or not to be done";
                Self::error(409, &id, why)
            }
            ProposalResult::Unknown => Self::error(504, &id, request.where_to_ask()),
        }
    }

    /// The log has the change as this revision, or as this entry where it makes no revision.
    fn accepted(request: &AdminRequest, number: u64, id: &str) -> Self {
        let change = match request {
            AdminRequest::Change(change) => Some(change),
            _ => None,
        };
        let key = if change.is_some_and(|c| !c.is_revision()) { "entry" } else { "revision" };
        let wait = change.filter(|c| c.is_revision()).and_then(|c| c.wait);
        let text = json!({"ok": true, key: number, "id": id});
        Self { wait: wait.map(|within| (number, within)), ..Self::ok(text) }
    }
}
