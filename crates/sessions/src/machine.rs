//! Dispatches events, messages and timers to the modules of the protocol.

use std::collections::VecDeque;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::ids::{OwnerSlot, UNKNOWN_CELL};
use crate::interface::{Action, Event};
use crate::message::{Message, decode};
use crate::ownership_table::OwnershipTable;
use crate::rendezvous::WeightedCell;
use crate::requests::Request;
use crate::state::{Context, Sessions, Timer};
use crate::time::{to_duration, to_moment};

impl Sessions {
    /// Handles an event at `now`, in time since the start of the process, and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let now = to_moment(now);
        let mut ctx = Context { now, actions, local_messages: VecDeque::new() };
        self.on_event(event, &mut ctx);
        self.handle_local_messages(&mut ctx);
        while let Some(timer) = self.timers.take_due(now) {
            match timer {
                Timer::Request(number) => self.retry_request(number, &mut ctx),
                Timer::Claim(session) => self.retry_claim(session, &mut ctx),
                Timer::Transfer(session) => self.retry_transfer(session, &mut ctx),
                Timer::Fetch(from) => self.retry_fetch(from, &mut ctx),
            }
            self.handle_local_messages(&mut ctx);
        }
        self.store.drop_expired(now);
        self.drop_expired(now);
        self.schedule_wake(&mut ctx);
    }

    fn on_event(&mut self, event: Event, ctx: &mut Context) {
        match event {
            Event::Request { id, session, idempotency, first, deadline } => {
                let deadline = to_moment(deadline);
                let request = Request { id, session, idempotency, is_first: first, deadline };
                self.on_request(request, ctx);
            }
            Event::Sent { id } => self.on_sent(id, ctx),
            Event::Finished { id, status } => self.on_finished(id, status, ctx),
            Event::Message { from, incarnation, message } => {
                self.on_encoded_message(from, incarnation, &message, ctx);
            }
            Event::TableChanged { version, until, slots } => {
                self.on_table(version, to_moment(until), &slots, ctx);
            }
            Event::SlotExtended { version, until } => self.extend_slot(version, to_moment(until)),
            Event::ZoneLeaseEnded { zone, version } => {
                if version > self.table.version {
                    let table = self.table.without(zone, version);
                    self.reconfigure(table, self.slot_until, ctx);
                }
            }
            Event::CellsChanged { revision, cells } => self.on_cells(revision, cells),
            // `schedule_wake` sets the timer again if it fired too early.
            Event::Due => self.next_wake = None,
        }
    }

    /// Handles a message of another balancer, if the sender's incarnation has a slot and the sender uses the same
    /// version of the ownership table.
    fn on_encoded_message(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        bytes: &[u8],
        ctx: &mut Context,
    ) {
        let Ok((version, message)) = decode(bytes) else {
            self.metrics.undecodable += 1;
            return;
        };
        let has_slot = self.table.slot(from).is_some_and(|slot| slot.incarnation == incarnation);
        if has_slot && version == self.table.version && from != self.config.node_id {
            self.on_message(from, message, ctx);
        } else {
            self.metrics.stale += 1;
        }
    }

    fn on_table(&mut self, version: u64, until: u64, slots: &[OwnerSlot], ctx: &mut Context) {
        if version > self.table.version {
            self.reconfigure(OwnershipTable::new(version, slots), until, ctx);
        } else {
            self.extend_slot(version, until);
        }
    }

    fn extend_slot(&mut self, version: u64, until: u64) {
        if version == self.table.version && self.slot.is_some() {
            self.slot_until = self.slot_until.max(until);
        }
    }

    fn on_cells(&mut self, revision: u64, mut cells: Vec<WeightedCell>) {
        if revision >= self.cells_revision {
            self.cells_revision = revision;
            cells.retain(|weighted| weighted.weight > 0 && weighted.cell != UNKNOWN_CELL);
            self.cells = cells;
        }
    }

    fn handle_local_messages(&mut self, ctx: &mut Context) {
        while let Some(message) = ctx.local_messages.pop_front() {
            self.on_message(self.config.node_id, message, ctx);
        }
    }

    fn on_message(&mut self, from: NodeId, message: Message, ctx: &mut Context) {
        if !self.holds_slot(ctx.now) {
            return;
        }
        match message {
            Message::RouteRequest(request) => self.on_route_request(from, request, ctx),
            Message::RouteResponse { number, outcome } => {
                self.on_route_response(from, number, outcome, ctx);
            }
            Message::AttemptNotRun { number, session, key } => {
                self.store.remove_not_run(session, key, from, number);
            }
            Message::Replicate { number, session, key } => {
                self.on_replicate(from, number, session, key, ctx);
            }
            Message::ReplicateAck { number } => self.on_replicate_ack(number, ctx),
            Message::Revoke { session, epoch } => self.on_revoke(from, session, epoch, ctx),
            Message::RevokeAck { session, epoch } => self.on_revoke_ack(from, session, epoch, ctx),
            Message::ClaimRequest(request) => self.on_claim_request(from, request, ctx),
            Message::NoRecord { claim, min_epoch, record } => {
                self.on_no_record(from, claim, min_epoch, &record, ctx);
            }
            Message::Transfer { claim, record } => self.on_transfer(from, claim, &record, ctx),
            Message::TransferAck { session, epoch, is_accepted } => {
                self.on_transfer_ack(from, session, epoch, is_accepted, ctx.now);
            }
            Message::FetchRecords { started_at, offset } => {
                self.on_fetch_records(from, started_at, offset, ctx);
            }
            Message::RecordChunk(chunk) => self.on_record_chunk(from, &chunk, ctx),
        }
    }

    fn schedule_wake(&mut self, ctx: &mut Context) {
        let next = self.timers.next();
        if let Some(moment) = next.filter(|_| next != self.next_wake) {
            ctx.actions.push(Action::WakeAt(to_duration(moment)));
        }
        self.next_wake = next;
    }
}
