//! Reads one call of the admin API from its method, path, query and body.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::canary::CanaryTerms;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::CommandId;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use serde::Deserialize;
use serde_json::Value;

use super::{
    AdminRequest, Change, DEFAULT_ROLLOUT_WAIT, PolicyChange, RevisionOptions, VoterChange,
};

/// And so long at most: a call is closed after 2 s.
const MAX_ROLLOUT_WAIT: Duration = Duration::from_millis(1800);

/// A call that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// No such place.
    #[error("there is no {method} {path}")]
    NoSuch {
        /// Of the call.
        method: String,
        /// Of the call.
        path: String,
    },
    /// The body.
    #[error("reading the call: {0}")]
    Body(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    #[serde(default)]
    document: Option<Value>,
    #[serde(default)]
    to: Option<u64>,
    #[serde(default)]
    if_revision: Option<u64>,
    #[serde(default)]
    #[serde(rename = "trial")]
    canary: Option<CanaryTerms>,
    #[serde(default)]
    force: bool,
    #[serde(default)]
    dry: bool,
    #[serde(default)]
    wait: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    revision: Option<u64>,
    #[serde(default)]
    #[serde(rename = "charter")]
    fallback_policy: Option<FallbackPolicy>,
    #[serde(default)]
    member: Option<u16>,
    #[serde(default)]
    out: Option<u16>,
    #[serde(default)]
    then: Option<u16>,
    #[serde(default)]
    members: Option<Vec<u16>>,
}

/// Whether a path is the bank's.
pub fn is_cluster_path(path: &str) -> bool {
    ["/admin/bank", "/admin/revisions", "/admin/charter", "/admin/council"].iter().any(|ours| {
        path.strip_prefix(ours).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}

impl AdminRequest {
    /// From a call.
    ///
    /// # Errors
    /// What of it can't be read, and what was expected.
    pub fn read(
        method: &str,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Result<Self, AdminRequestError> {
        let no_such =
            || AdminRequestError::NoSuch { method: method.to_string(), path: path.to_string() };
        let parts: Vec<&str> = path.trim_start_matches("/admin/").split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["bank"]) => return Ok(Self::Cluster),
            ("GET", ["revisions"]) => return Ok(Self::Revisions),
            ("GET", ["revisions", "asked", id]) => return named(id).map(Self::Asked),
            ("GET", ["revisions", number]) => {
                return number.parse().map(Self::Revision).map_err(|_| no_such());
            }
            ("POST", _) => {}
            _ => return Err(no_such()),
        }
        let body = if body.is_empty() { b"{}" } else { body };
        let mut reader = serde_json::Deserializer::from_slice(body);
        let body: Body = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| AdminRequestError::Body(format!("`{}`: {}", e.path(), e.inner())))?;
        let lacks = |what: &str| AdminRequestError::Body(format!("`{what}` is missing"));
        let said =
            RevisionOptions { base: body.if_revision, canary: body.canary, forced: body.force };
        let member = || body.member.map(NodeId).ok_or_else(|| lacks("member"));
        let what = match parts.as_slice() {
            ["revisions"] => {
                let document = body.document.as_ref().ok_or_else(|| lacks("document"))?;
                let document = Document::from_json(document.to_string().as_bytes())
                    .map_err(|e| AdminRequestError::Body(e.to_string()))?;
                PolicyChange::Propose(said, Box::new(document))
            }
            ["revisions", "rollback"] => {
                PolicyChange::Rollback(said, body.to.ok_or_else(|| lacks("to"))?)
            }
            ["revisions", "confirm"] => {
                PolicyChange::Confirm(body.revision.ok_or_else(|| lacks("revision"))?)
            }
            ["charter"] => PolicyChange::FallbackPolicy(
                body.fallback_policy.clone().ok_or_else(|| lacks("charter"))?,
            ),
            ["council", "dead"] => PolicyChange::Dead(member()?),
            ["council", "alive"] => PolicyChange::Alive(member()?),
            ["council", "replace"] => {
                let out = body.out.map(NodeId).ok_or_else(|| lacks("out"))?;
                return Ok(Self::VoterChange(VoterChange::Replace {
                    out,
                    then: body.then.map(NodeId),
                }));
            }
            ["council", "restore"] => {
                let members = body.members.as_ref().ok_or_else(|| lacks("members"))?;
                let members = members.iter().copied().map(NodeId).collect();
                return Ok(Self::VoterChange(VoterChange::Restore(members)));
            }
            _ => return Err(no_such()),
        };
        let wait = match body.wait.as_deref() {
            None | Some("yes") => None,
            Some("all") => {
                let within = body.within_s.map_or(DEFAULT_ROLLOUT_WAIT, |s| {
                    Duration::try_from_secs_f64(s)
                        .unwrap_or(DEFAULT_ROLLOUT_WAIT)
                        .min(MAX_ROLLOUT_WAIT)
                });
                Some(within)
            }
            Some(other) => {
                return Err(AdminRequestError::Body(format!(
                    "`wait` is {other:?}; expected `yes` or `all`"
                )));
            }
        };
        let id = body.id.as_deref().map(named).transpose()?;
        let dry = body.dry || query.split('&').any(|q| q == "dry" || q == "dry=1");
        Ok(Self::Change(Box::new(Change { what, dry, wait, id })))
    }
}

/// 32 hexadecimal digits.
fn named(id: &str) -> Result<CommandId, AdminRequestError> {
    let wrong = || {
        AdminRequestError::Body(format!(
            "`{id}` names no question; expected 1 to 32 hexadecimal digits"
        ))
    };
    if id.is_empty() || id.len() > 32 {
        return Err(wrong());
    }
    u128::from_str_radix(id, 16).map(CommandId).map_err(|_| wrong())
}
