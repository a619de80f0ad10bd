//! Records of vans: which pod keeps what a van (`session`) left there, which keyed requests of it may have run
//! where, and which site owns that knowledge. A machine without I/O; what asks, sends and keeps time is the
//! gateway's.
//!
//! It holds, whoever is dead, cut off, paused, restarted or late, each with the tests under `tests/` (or
//! beside the code) that hold it to that:
//!
//! 1. **No keyed request runs twice** within the pods' window, in one pod or two, however often it is sent
//!    again and wherever: 0 in 1,000 days (`nothing_runs_twice_and_one_owns_over_a_thousand_days`), where
//!    some 1,200 do in 20 days without records (`without_records_keys_run_twice_and_with_them_none`). An
//!    unsafe one is placed once.
//! 2. **One owner of a record at every moment**, epochs never go back, and nothing is sent under an old epoch
//!    once another owns: the same test, by the machines' own claims; also when a refused record's copy comes
//!    late (`a_record_that_was_refused_is_not_taken_when_its_copy_comes_late`) or the record was forgotten
//!    (`a_forgotten_record_comes_back_under_a_higher_epoch_at_either_site`).
//! 3. **Any one step may fail**: each word of a move lost, doubled, its sender or receiver ended or paused
//!    past its lease, in turn; 1 and 2 hold, and 6 s later the van is served
//!    (`a_fault_at_each_step_in_turn_brings_nothing_about_twice`,
//!    `two_faults_drawn_by_seed_bring_nothing_about_twice`).
//! 4. **No request waits for a record** over 25 ms or a twentieth of its time; then safe and unsafe ones go
//!    by the hash, keyed ones are refused
//!    (`nobody_waits_longer_than_25_ms_or_a_twentieth_and_only_keyed_ones_are_refused`).
//! 5. **A key whose pod is out goes nowhere else** before its window ends; new ones of the van do
//!    (`a_key_whose_pod_is_out_goes_nowhere_else_and_new_keys_go_on`). One that may have run where nobody
//!    left knows of waits out the window if its time allows, or fails
//!    (`a_dead_sites_vans_are_taken_over_and_their_keys_wait_out_the_window`,
//!    `a_repeat_near_the_windows_end_waits_it_out_if_its_time_allows`).
//! 6. **Bounded**: 200,000 records with a key each take less than 32 MiB, and a key inside its window is
//!    never dropped: when full, keyed requests are refused
//!    (`two_hundred_thousand_records_take_32_mb_and_none_is_dropped_inside_its_window`,
//!    `records_are_forgotten_in_the_stated_order_and_never_inside_a_window`,
//!    `keys_are_bounded_in_all_and_of_one_van`).
//! 7. **A mass arrival is paced**, newest need first (`the_morning_round_is_paced_and_the_newest_go_first`).
//! 8. **Nothing that a peer says** panics or keeps a request from being placed
//!    (`whatever_a_peer_says_nothing_panics_and_all_requests_are_placed`, `any_bytes_are_read_or_refused`).
//!
//! It takes for granted: the council's table leaves a seat out only after its time has passed
//! ([`Event::TableChanged`]); an attempt runs within [`Config::run`] of its sending, or never; pods drop repeats for
//! [`Config::window`] from the run on; clocks run alike within one in a hundred; the wire lets no word of a
//! former life through. What a lying peer can do is in `docs/design/cluster/sessions.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod machine;
mod message;
mod ownership;
mod ownership_table;
mod reconfiguration;
mod record_store;
mod rendezvous;
mod routing_client;

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

pub use machine::{SessionMetrics, Sessions};
pub use message::{MAX_MESSAGE_BYTES, MessageError};
pub use rendezvous::{WeightedCell, cell_for};

/// A van: the hash of its cookie `session` (PROTOCOL, 'Clients to balancers').
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// The hash of an `Idempotency-IdempotencyKey`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey(pub u64);

/// A pod: upstreams that drop each other's repeats, by number in the agreed revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell(pub u16);

/// A site, by number in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

/// Which ownership of a record: each has a higher one than all before it. The upper 32 bits are those of the
/// table under which it began: whoever has forgotten is out of that table, so what begins anew stands above
/// what was forgotten.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The lowest under a table.
    pub(crate) const fn of_table(version: u64) -> Self {
        Self(version << 32)
    }

    /// The next.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// One balancer's place in the table that the council agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerSlot {
    /// Which balancer.
    pub node: NodeId,
    /// Which process of it: one that has restarted has no seat until a table names its new life.
    pub incarnation: Incarnation,
    /// Where it is.
    pub zone: Zone,
    /// The version of the table that gave this seat; it kept it in all since. One that was left out and is
    /// back has a new one: whatever it owned may have been taken over.
    pub since: u64,
}

/// How often a request may be sent (the class's, from the settings).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idempotency {
    /// As often as one likes.
    Idempotent,
    /// Again within the pod that drops its repeats, as long as it remembers.
    Keyed(IdempotencyKey),
    /// Once.
    NotIdempotent,
}

/// Whether an attempt has run (PROTOCOL, 'Balancers to upstreams').
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutionStatus {
    /// It was served.
    Executed,
    /// It is known not to have, and not to be going to.
    NotExecuted,
    /// It may have, or may yet.
    Unknown,
}

/// What happens to a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has come. It is answered with one [`Action::Route`].
    Request {
        /// Unique among those that are not placed yet.
        id: u64,
        /// Its van.
        session: SessionId,
        /// Its class's.
        idempotency: Idempotency,
        /// Clients mark retries here, and this one is not marked: nobody sent its key before.
        first: bool,
        /// When its client stops waiting, in the process's time.
        deadline: Duration,
    },
    /// What was placed as this id has gone out, or will not any more.
    Sent {
        /// As in the request.
        id: u64,
    },
    /// All attempts of a keyed request are over; `status` is the worst of them.
    Finished {
        /// As in the request.
        id: u64,
        /// Whether it ran.
        status: ExecutionStatus,
    },
    /// A word of another balancer, of a life that the wire has confirmed.
    Message {
        /// From whom.
        from: NodeId,
        /// Which process of it.
        incarnation: Incarnation,
        /// As it came.
        message: Vec<u8>,
    },
    /// The table that the council agreed on. It must hold: a table without a seat is made only after the time
    /// up to which that seat was given has passed, by the giver's clock and drift.
    TableChanged {
        /// Of the table. Lower ones than the present are ignored.
        version: u64,
        /// Up to when the own seat holds, in the process's time.
        until: Duration,
        /// All seats.
        slots: Vec<OwnerSlot>,
    },
    /// The own seat holds for longer.
    SlotExtended {
        /// Of the table it is of; another than the present is ignored.
        version: u64,
        /// Up to when.
        until: Duration,
    },
    /// The council's word that a site's lease is over: none of its balancers owns anything.
    ZoneLeaseEnded {
        /// Which.
        zone: Zone,
        /// Of the table from now on: the present one without that site.
        version: u64,
    },
    /// The pods in force, with their weights. Those not named are out.
    CellsChanged {
        /// The revision; lower ones than the present are ignored.
        revision: u64,
        /// All.
        cells: Vec<WeightedCell>,
    },
    /// The time that [`Action::WakeAt`] asked for has come.
    Due,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoutingDecision {
    /// To this pod. A keyed one goes out before `until` or is asked about anew: a shell looks at the time
    /// right before the send.
    Send {
        /// Which.
        cell: Cell,
        /// Under which ownership; `None`: by the hash, no record was to be had in time.
        epoch: Option<Epoch>,
        /// When the right to send ends.
        until: Duration,
    },
    /// Refused: this request has not run and will not. Trying again is harmless (429, 503).
    Reject(RoutingFailure),
    /// Failed, with no promise: its key may have run.
    Fail(RoutingFailure),
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoutingFailure {
    /// This balancer has no seat, or its time is over.
    NoSlot,
    /// Nobody who knows said in time where its key may have run.
    NoRecord,
    /// As many keys as can be remembered are inside their windows.
    Full,
    /// Its key may have run in a pod that can't be asked again, and its window ends after the request's time.
    MayHaveExecuted,
    /// No pod is in force.
    NoCell,
}

/// What a balancer does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A request's place.
    Route {
        /// As in the request.
        id: u64,
        /// Where.
        decision: RoutingDecision,
    },
    /// A word to another balancer. It may be lost.
    Send {
        /// To whom.
        to: NodeId,
        /// At most [`MAX_MESSAGE_BYTES`] bytes; all but those of a change of the table fit a datagram.
        message: Vec<u8>,
    },
    /// [`Event::Due`] is wanted by then. A later one replaces it.
    WakeAt(Duration),
}

/// What a balancer is, and its figures.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Who this is.
    pub node_id: NodeId,
    /// Which process of it.
    pub incarnation: Incarnation,
    /// No process of this bank can have sent a keyed request within [`Config::retention`] before this
    /// one began: the platform's very first start. When in doubt, `false`.
    pub first_start: bool,
    /// How long pods drop repeats (the settings; 10 s). With [`Config::run`] no more than 100 s: words cut
    /// longer spans, and keys would be forgotten too early.
    pub window: Duration,
    /// An attempt that went out runs within this time, or never (3 s: the longest deadline).
    pub run: Duration,
    /// Longest wait for a record (25 ms), and
    pub wait: Duration,
    /// the part of a request's remaining time that it may take: one in so many (20).
    pub wait_part: u32,
    /// Records at most (200,000).
    pub records: usize,
    /// Keys at most, inside their windows (200,000).
    pub keys: usize,
    /// Moves under way at most (256): more would have a mass arrival take all datagrams, and finish none in
    /// time.
    pub moves: usize,
    /// How long a copy may be used (500 ms): what a move waits for a holder that is silent.
    pub copy: Duration,
}

impl Config {
    /// The usual figures.
    pub fn new(node_id: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node_id,
            incarnation,
            first_start: false,
            window: Duration::from_secs(10),
            run: Duration::from_secs(3),
            wait: Duration::from_millis(25),
            wait_part: 20,
            records: 200_000,
            keys: 200_000,
            moves: 256,
            copy: Duration::from_millis(500),
        }
    }

    /// After so long nothing that went out can matter: it ran, and pods have forgotten it.
    pub fn retention(&self) -> Duration {
        PERMIT_DURATION * 2 + self.run + self.window
    }
}

/// A right to send one keyed attempt holds so long, from the asking. Shorter would end on the way at 30 %
/// loss; longer would be added to each move.
pub const PERMIT_DURATION: Duration = Duration::from_millis(100);
