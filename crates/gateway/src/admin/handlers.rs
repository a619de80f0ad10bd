//! What each call of the admin API does.

use std::time::Duration;

use hollowpaddle_operator_commands::{Call, OperatorState};
use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use super::server::{Answer, cluster_answer, failure, success};
use super::{Admin, ManagedBalancer, RETRY_INTERVAL};
use crate::cluster::admin_api::{AdminRequest, AdminResponse};

/// How long a cordon is retried at the cluster, while a concurrent change or another step comes first.
const CLUSTER_RETRY_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long before the deadline of a call the cluster has to answer it: the time to write the answer.
const CLUSTER_ANSWER_MARGIN: Duration = Duration::from_millis(100);

impl<B: ManagedBalancer + 'static> Admin<B> {
    /// `GET /admin/health`. The process counts as ready only once other processes can see it serve: an older one must find
    /// this one when it is asked to end.
    pub(super) fn health(&self) -> Answer {
        if self.is_serving.get() && self.balancer.is_ready() {
            success()
        } else {
            failure(StatusCode::SERVICE_UNAVAILABLE, "no upstream to send to yet")
        }
    }

    /// `GET /admin/start`: how the start went, and the commands that apply.
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

    /// Carries out a command, and stores it.
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
            return self.ask_cluster(request, deadline).await;
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

    /// Has the cluster answer a request by `deadline`. One of several cordons at once is rejected since another came first,
    /// and is tried again.
    pub(super) async fn ask_cluster(&self, request: AdminRequest, deadline: Instant) -> Answer {
        tracing::info!(?request, "operator request to the cluster received");
        let until = Instant::now() + CLUSTER_RETRY_TIMEOUT;
        loop {
            let answer_by = deadline - CLUSTER_ANSWER_MARGIN;
            match self.balancer.ask_cluster(request.clone(), answer_by).await {
                None => return failure(StatusCode::NOT_FOUND, "this balancer is in no bank"),
                Some(AdminResponse { again: true, .. })
                    if request.is_retried() && Instant::now() < until =>
                {
                    sleep(RETRY_INTERVAL).await;
                }
                Some(response) => return cluster_answer(response),
            }
        }
    }
}

/// The request to the cluster that replaces a command of one balancer, if the cluster decides on it.
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
