//! The handlers of the admin API's calls.

use std::time::Duration;

use hollowpaddle_operator_commands::{Call, OperatorState};
use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use super::server::{Answer, cluster_answer, failure, success};
use super::{Admin, ManagedBalancer, RETRY_INTERVAL};
use crate::cluster::admin_api::{AdminRequest, AdminResponse};

/// Maximum time of retrying a cordon at the cluster while a concurrent change or another step has to precede.
const CLUSTER_RETRY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time before a call's deadline by which the cluster has to answer, so that the response can still be written.
const CLUSTER_ANSWER_MARGIN: Duration = Duration::from_millis(100);

impl<B: ManagedBalancer + 'static> Admin<B> {
    /// Handles `GET /admin/health`. The process counts as ready only once other processes can see that it serves, because an
    /// older process that is asked to end must find this process.
    pub(super) fn health(&self) -> Answer {
        if self.is_serving.get() && self.balancer.is_ready() {
            success()
        } else {
            failure(StatusCode::SERVICE_UNAVAILABLE, "no upstream to send to yet")
        }
    }

    /// Returns the body of `GET /admin/start`: the report of the start, and the commands in force.
    pub(super) fn start_status(&self) -> serde_json::Value {
        let mut status = self.balancer.start_status();
        let state = self.state.borrow();
        status["said"] = serde_json::json!({
            "cordoned": state.cordoned,
            "quiesced": state.quiesced,
            "doubted": state.suspect,
        });
        status
    }

    /// Carries out and stores a command.
    pub(super) async fn carry_out(&self, call: Call, deadline: Instant) -> Answer {
        tracing::info!(?call, "operator command received");
        if let Call::Cordon(name) | Call::Uncordon(name) = &call
            && !self.balancer.has_named(name.clone()).await
        {
            return failure(StatusCode::NOT_FOUND, "no list has named this upstream");
        }
        if self.balancer.is_clustered()
            && let Some(request) = cluster_request(&call)
        {
            return self.request_from_cluster(request, deadline).await;
        }
        match self.change(|state| apply_call(&call, state)).await {
            Ok(true) => success(),
            Ok(false) => failure(StatusCode::SERVICE_UNAVAILABLE, "the engine ended"),
            Err(cause) => {
                tracing::error!(%cause, "operator command not stored");
                failure(StatusCode::SERVICE_UNAVAILABLE, &cause.to_string())
            }
        }
    }

    /// Requests the cluster's response by `deadline`. A cordon that is rejected because a concurrent change was committed
    /// first is retried.
    pub(super) async fn request_from_cluster(
        &self,
        request: AdminRequest,
        deadline: Instant,
    ) -> Answer {
        tracing::info!(?request, "operator request to the cluster received");
        let until = Instant::now() + CLUSTER_RETRY_TIMEOUT;
        loop {
            let answer_by = deadline - CLUSTER_ANSWER_MARGIN;
            match self.balancer.request_from_cluster(request.clone(), answer_by).await {
                None => return failure(StatusCode::NOT_FOUND, "this balancer is in no bank"),
                Some(AdminResponse { is_retryable: true, .. })
                    if request.is_retried() && Instant::now() < until =>
                {
                    sleep(RETRY_INTERVAL).await;
                }
                Some(response) => return cluster_answer(response),
            }
        }
    }
}

/// Returns the cluster request that replaces a balancer's own command, if the cluster decides on this kind of command.
fn cluster_request(call: &Call) -> Option<AdminRequest> {
    match call {
        Call::Cordon(name) => Some(AdminRequest::cordon(name, true)),
        Call::Uncordon(name) => Some(AdminRequest::cordon(name, false)),
        _ => None,
    }
}

fn apply_call(call: &Call, state: &mut OperatorState) {
    match call {
        Call::Cordon(name) => drop(state.cordoned.insert(name.clone())),
        Call::Uncordon(name) => drop(state.cordoned.remove(name)),
        Call::Quiesce => state.quiesced = true,
        Call::Resume => state.quiesced = false,
        Call::Confirm => state.suspect = None,
        Call::Health | Call::Start => {}
    }
}
