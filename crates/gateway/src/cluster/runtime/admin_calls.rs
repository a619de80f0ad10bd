//! Admin calls in progress: calls waiting for the machine's answer, and calls waiting until a revision is in force at every
//! balancer.

use hollowpaddle_net::Datagrams;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fleet::FleetFacts;
use hollowpaddle_revision::policy_state::PolicyStatus;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{RunState, Runtime};
use crate::cluster::admin_api::{AdminRequest, AdminResponse};
use crate::cluster::machine::{Event, ProposalResult};

/// A call of the admin API.
pub struct AdminCall {
    /// The operator's request.
    pub request: AdminRequest,
    /// Facts about the upstreams in this balancer's endpoint list.
    pub facts: FleetFacts,
    /// Time by which the caller gets a response, even if the outcome is unknown then.
    pub deadline: Instant,
    /// Sender of the response.
    pub reply: oneshot::Sender<AdminResponse>,
}

/// A call that waits for the machine's answer.
struct PendingCommand {
    reply: oneshot::Sender<AdminResponse>,
    request: AdminRequest,
    id: CommandId,
    /// Whether the proposed entry is a change of the fallback policy that must precede the requested change.
    fallback_pending: bool,
    /// Time at which the call is answered with an unknown outcome.
    deadline: Instant,
}

/// A call that waits until a revision is in force at every balancer.
struct RolloutWait {
    reply: oneshot::Sender<AdminResponse>,
    response: AdminResponse,
    revision: u64,
    until: Instant,
}

/// The admin calls in progress.
#[derive(Default)]
pub(super) struct AdminCalls {
    /// Calls waiting for the machine's answer, by ticket.
    pending: FxHashMap<u64, PendingCommand>,
    rollouts: Vec<RolloutWait>,
    last_ticket: u64,
}

impl AdminCalls {
    /// Returns whether a call waits for the rollout of a revision.
    pub(super) fn has_rollouts(&self) -> bool {
        !self.rollouts.is_empty()
    }

    /// Returns the earliest deadline of a call that waits for an answer or a rollout.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let commands = self.pending.values().map(|command| command.deadline);
        let rollouts = self.rollouts.iter().map(|wait| wait.until);
        commands.chain(rollouts).min()
    }

    /// Answers the calls whose deadline has passed with an unknown outcome.
    pub(super) fn answer_expired(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, command)| command.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.answer(ticket, &ProposalResult::Unknown);
        }
    }

    /// Answers the call with this ticket, or makes the call wait for the rollout of its revision.
    pub(super) fn answer(&mut self, ticket: u64, result: &ProposalResult) {
        let Some(command) = self.pending.remove(&ticket) else { return };
        let PendingCommand { reply, request, id, fallback_pending, deadline } = command;
        let response = AdminResponse::of(&request, id, result, fallback_pending);
        match response.rollout_wait {
            Some((revision, within)) => {
                let until = (Instant::now() + within).min(deadline);
                self.rollouts.push(RolloutWait { reply, response, revision, until });
            }
            None => drop(reply.send(response)),
        }
    }

    /// Answers the calls whose revision is in force at every balancer according to `status`, and the calls whose deadline
    /// has passed.
    pub(super) fn answer_rollouts(&mut self, status: &PolicyStatus) {
        let now = Instant::now();
        for mut wait in std::mem::take(&mut self.rollouts) {
            let is_everywhere = status.revision >= wait.revision
                && !status.unconfirmed
                && status.target_revision.is_none();
            if is_everywhere || now >= wait.until {
                wait.response.body["everywhere"] = is_everywhere.into();
                let _ = wait.reply.send(wait.response);
            } else {
                self.rollouts.push(wait);
            }
        }
    }
}

impl Runtime {
    /// Answers a call that needs no event of the machine, and passes the event of any other call to the machine.
    pub(super) async fn on_admin_call(
        &mut self,
        call: AdminCall,
        state: &mut RunState,
        socket: &dyn Datagrams,
    ) {
        let AdminCall { request, facts, deadline, reply } = call;
        state.admin_calls.last_ticket += 1;
        let ticket = state.admin_calls.last_ticket;
        let id = request.command_id().unwrap_or_else(|| self.fresh_command_id(ticket));
        match request.event(ticket, id, &facts, &self.machine) {
            Ok(event) => {
                let pending = &mut state.admin_calls.pending;
                pending.retain(|_, command| !command.reply.is_closed());
                let fallback_pending = request.is_retried()
                    && matches!(&event, Event::Propose { entry: Entry::FallbackPolicy(..), .. });
                let command = PendingCommand { reply, request, id, fallback_pending, deadline };
                pending.insert(ticket, command);
                self.dispatch(event, state, socket).await;
            }
            Err(response) => drop(reply.send(response)),
        }
    }

    /// Returns an id for a command for which the caller gave none. The id is unique, because no two processes share an
    /// incarnation and a process never reuses a ticket.
    fn fresh_command_id(&self, ticket: u64) -> CommandId {
        let incarnation = u128::from(self.machine.transport().own_incarnation().0);
        let node_id = u128::from(self.machine.node_id().0);
        CommandId(incarnation << 96 | node_id << 64 | u128::from(ticket))
    }
}
