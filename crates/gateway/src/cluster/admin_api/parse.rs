//! Parses a call of the admin API from its method, path, query and body. No other module contains the API's paths or the
//! keys of its bodies.

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

/// Maximum wait that a call may request. The admin server closes a call after 2 s.
const MAX_ROLLOUT_WAIT: Duration = Duration::from_millis(1800);
/// Hexadecimal digits of a command id.
const ID_DIGITS: usize = 32;
/// Prefixes of the paths of the cluster's admin API.
const PATHS: [&str; 4] = ["/admin/bank", "/admin/revisions", "/admin/charter", "/admin/council"];

/// An error in parsing a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// The method and path are unknown.
    #[error("there is no {method} {path}")]
    NoSuch {
        /// Method of the call.
        method: String,
        /// Path of the call.
        path: String,
    },
    /// The body is incomplete or has unexpected content.
    #[error("reading the call: {0}")]
    Body(String),
}

impl AdminRequestError {
    fn missing(key: &str) -> Self {
        Self::Body(format!("`{key}` is missing"))
    }
}

/// Keys of the bodies of all calls. Each call reads the keys that apply to it and ignores the others.
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

/// Returns whether a path belongs to the cluster's admin API.
pub fn is_cluster_path(path: &str) -> bool {
    PATHS.iter().any(|prefix| {
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}

impl AdminRequest {
    /// Parses a call.
    ///
    /// # Errors
    /// Returns an error if the path is unknown or the body can't be parsed. The error's text states the expected content.
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
            ("GET", ["bank"]) => Ok(Self::Cluster),
            ("GET", ["revisions"]) => Ok(Self::Revisions),
            ("GET", ["revisions", "asked", id]) => command_id(id).map(Self::CommandOutcome),
            ("GET", ["revisions", number]) => {
                number.parse().map(Self::Revision).map_err(|_| no_such())
            }
            ("POST", parts) => {
                let body = Body::read(body)?;
                if let Some(change) = body.voter_change(parts)? {
                    return Ok(Self::VoterChange(change, body.command_id()?));
                }
                let what = body.policy_change(parts)?.ok_or_else(no_such)?;
                Ok(Self::Change(Box::new(body.change(what, query)?)))
            }
            _ => Err(no_such()),
        }
    }
}

impl Body {
    fn read(bytes: &[u8]) -> Result<Self, AdminRequestError> {
        let bytes = if bytes.is_empty() { b"{}" } else { bytes };
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| AdminRequestError::Body(format!("`{}`: {}", e.path(), e.inner())))
    }

    /// Returns the change of the voters for the path of a POST request; `None` if the path is another one.
    fn voter_change(&self, path: &[&str]) -> Result<Option<VoterChange>, AdminRequestError> {
        let change = match path {
            ["council", "replace"] => {
                let removed = required(self.out, "out").map(NodeId)?;
                VoterChange::Replace { removed, replacement: self.then.map(NodeId) }
            }
            ["council", "restore"] => {
                let members = required(self.members.as_ref(), "members")?;
                VoterChange::ForceNewEpoch(members.iter().copied().map(NodeId).collect())
            }
            _ => return Ok(None),
        };
        Ok(Some(change))
    }

    /// Returns the change of the policy log for the path of a POST request; `None` if the path is another one.
    fn policy_change(&self, path: &[&str]) -> Result<Option<PolicyChange>, AdminRequestError> {
        let member = || required(self.member, "member").map(NodeId);
        let change = match path {
            ["revisions"] => {
                let document = required(self.document.as_ref(), "document")?;
                let document = Document::from_json(document.to_string().as_bytes())
                    .map_err(|e| AdminRequestError::Body(e.to_string()))?;
                PolicyChange::Propose(self.options(), Box::new(document))
            }
            ["revisions", "rollback"] => {
                PolicyChange::Rollback(self.options(), required(self.to, "to")?)
            }
            ["revisions", "confirm"] => PolicyChange::Confirm(required(self.revision, "revision")?),
            ["charter"] => {
                PolicyChange::FallbackPolicy(required(self.fallback_policy.clone(), "charter")?)
            }
            ["council", "dead"] => PolicyChange::Dead(member()?),
            ["council", "alive"] => PolicyChange::Alive(member()?),
            _ => return Ok(None),
        };
        Ok(Some(change))
    }

    fn options(&self) -> RevisionOptions {
        let (base, canary) = (self.if_revision, self.canary);
        RevisionOptions { base, canary, forced: self.force }
    }

    /// Combines a change with its options in the body and the query.
    fn change(&self, what: PolicyChange, query: &str) -> Result<Change, AdminRequestError> {
        let wait = self.rollout_wait()?;
        let id = self.command_id()?;
        let is_dry_run = self.dry || query.split('&').any(|q| q == "dry" || q == "dry=1");
        Ok(Change { what, is_dry_run, is_forced: self.force, wait, id })
    }

    /// Returns the command's id, if the caller gave one.
    fn command_id(&self) -> Result<Option<CommandId>, AdminRequestError> {
        self.id.as_deref().map(command_id).transpose()
    }

    fn rollout_wait(&self) -> Result<Option<Duration>, AdminRequestError> {
        match self.wait.as_deref() {
            None | Some("yes") => Ok(None),
            Some("all") => {
                let wait = self.within_s.map_or(DEFAULT_ROLLOUT_WAIT, |seconds| {
                    Duration::try_from_secs_f64(seconds)
                        .unwrap_or(DEFAULT_ROLLOUT_WAIT)
                        .min(MAX_ROLLOUT_WAIT)
                });
                Ok(Some(wait))
            }
            Some(other) => Err(AdminRequestError::Body(format!(
                "`wait` is {other:?}; expected `yes` or `all`"
            ))),
        }
    }
}

fn required<T>(value: Option<T>, key: &str) -> Result<T, AdminRequestError> {
    value.ok_or_else(|| AdminRequestError::missing(key))
}

/// Parses a command id. All 32 hexadecimal digits are required, so that responses print the id as the caller wrote it.
fn command_id(text: &str) -> Result<CommandId, AdminRequestError> {
    let is_complete = text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    let id = u128::from_str_radix(text, 16).ok().filter(|_| is_complete).map(CommandId);
    id.ok_or_else(|| {
        AdminRequestError::Body(format!(
            "`{text}` is no id of a command; expected {ID_DIGITS} hexadecimal digits"
        ))
    })
}
