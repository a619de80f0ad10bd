//! Applies the routing policy that is in force in the cluster, without interpreting its contents.

use hollowpaddle_policy::interface::{ListKind, RequestId, ServerId, Status};
use tokio::time::Instant;

use super::state::EngineState;
use crate::send_guard::PolicyCheck;

impl EngineState {
    /// Applies the policy in force if it differs from the last applied policy.
    ///
    /// Called before every event that could lead to a send, since a lease may have ended while the process did not run.
    pub(super) fn apply_policy_in_force(&mut self) {
        let Some(cluster) = &self.cluster else { return };
        let policy = cluster.current_policy();
        if self.applied_policy.as_ref().is_some_and(|applied| applied.is_same(&policy)) {
            return;
        }
        self.applied_policy = Some(policy.clone());
        let max_attempts = self.limits.max_attempts.min(policy.rules.attempts().into());
        self.balancer.limit_attempts(max_attempts);
        let changed = self.upstreams.apply_policy(policy, Instant::now());
        for member in changed.iter().filter(|member| member.status != Status::Live) {
            self.pool.close_idle(member.id);
        }
        if !changed.is_empty() {
            self.publish_members(ListKind::LocalChange, changed);
        }
    }

    /// Returns a check for an attempt: whether the policy in force at the moment of the check permits the attempt.
    ///
    /// Attempts run the check immediately before their first byte. Returns `None` if there is no cluster, or no such
    /// request.
    pub(super) fn policy_check(&self, server: ServerId, id: RequestId) -> Option<PolicyCheck> {
        let cluster = self.cluster.clone()?;
        let class = self.requests.get(&id)?.class;
        let route = self.upstreams.route(server, class);
        let applied = self.applied_policy.clone();
        Some(Box::new(move || {
            let policy = cluster.current_policy();
            let is_unchanged = applied.as_ref().is_some_and(|applied| applied.is_same(&policy));
            is_unchanged || route.as_ref().is_some_and(|route| route.is_permitted(&policy))
        }))
    }
}
