//! Answers of the admin API: an HTTP status and a JSON body.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::entry::CommandId;
use hollowpaddle_revision::policy_state::Refusal;
use serde_json::{Value, json};

use super::{AdminRequest, AdminRequestError};
use crate::cluster::machine::ProposalResult;

/// An answer: an HTTP status and its text.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// As HTTP has it.
    pub status: u16,
    /// The text.
    pub text: Value,
    /// To be told only once this revision is in force everywhere, or after this time.
    pub wait: Option<(u64, Duration)>,
    /// Not done yet: somebody else was first, or something has to be done before.
    pub again: bool,
}

impl AdminResponse {
    pub(super) fn ok(text: Value) -> Self {
        Self { status: 200, text, wait: None, again: false }
    }

    /// The charter has not let go of it yet.
    pub(super) fn waits(behind: &[(NodeId, Duration)]) -> Self {
        let behind: Vec<u16> = behind.iter().map(|(m, _)| m.0).collect();
        let why = "the charter allows it: it is put out once every member has agreed to let go of it; repeat this call, \
                   or say of those that are gone for good that they are dead";
        let text = json!({"ok": false, "waiting": "charter", "behind": behind, "error": why});
        Self { status: 202, again: true, ..Self::ok(text) }
    }

    /// A call that means nothing.
    pub fn bad(why: &str) -> Self {
        Self { status: 400, ..Self::ok(json!({"ok": false, "error": why})) }
    }

    /// A call that can't be read.
    pub fn unread(why: &AdminRequestError) -> Self {
        let status = if matches!(why, AdminRequestError::NoSuch { .. }) { 404 } else { 400 };
        Self { status, ..Self::bad(&why.to_string()) }
    }

    pub(super) fn refused(why: &Refusal) -> Self {
        let changing = matches!(why, Refusal::Changing { .. });
        let again = changing || matches!(why, Refusal::Lost { .. });
        let status = if changing { 202 } else { 409 };
        Self { status, again, ..Self::ok(json!({"ok": false, "error": why.to_string()})) }
    }

    /// The answer to what was asked, now that it is known what became of it. `fallback_pending`: what was asked for comes after
    /// what was done.
    pub fn of(
        ask: &AdminRequest,
        id: CommandId,
        answer: &ProposalResult,
        fallback_pending: bool,
    ) -> Self {
        let name = format!("{:032x}", id.0);
        match answer {
            // Failure: the number of the charter's entry was handed on as a revision's, and what was asked for was not done.
            ProposalResult::Answered(Ok(entry)) if fallback_pending => {
                let text = json!({"ok": false, "waiting": "charter", "entry": entry, "id": name});
                Self { status: 202, again: true, ..Self::ok(text) }
            }
            ProposalResult::Answered(Ok(number)) => {
                let change = match ask {
                    AdminRequest::Change(change) => Some(change),
                    _ => None,
                };
                let key =
                    if change.is_some_and(|c| !c.is_revision()) { "entry" } else { "revision" };
                let wait = change.filter(|c| c.is_revision()).and_then(|c| c.wait);
                let text = json!({"ok": true, key: number, "id": name});
                let wait = wait.map(|within| (*number, within));
                Self { wait, ..Self::ok(text) }
            }
            ProposalResult::Answered(Err(why)) => {
                let mut told = Self::refused(why);
                told.text["id"] = name.into();
                told
            }
            ProposalResult::Stands(index) => {
                Self::ok(json!({"ok": true, "entry": index.to_string(), "id": name}))
            }
            ProposalResult::Never => {
                let why = "it stands nowhere and never will: too long, too many under way, or not to be done";
                Self { status: 409, ..Self::ok(json!({"ok": false, "id": name, "error": why})) }
            }
            ProposalResult::Unknown => {
                let why =
                    "nobody who knows has answered; it may stand: GET /admin/revisions/asked/ID";
                Self { status: 504, ..Self::ok(json!({"ok": false, "id": name, "error": why})) }
            }
        }
    }
}
