//! Plain records of the scanning module.

use std::collections::VecDeque;

use hollowpaddle_policy::interface::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Time,
    pub(crate) fate: Fate,
    /// Unanswered for too long.
    pub(crate) overdue: bool,
    /// Out at the time when a second copy had to go to be in time.
    pub(crate) asked: bool,
    /// Its slot was given back before its outcome came.
    pub(crate) freed: bool,
}

impl Attempt {
    pub(crate) fn new(server: usize, sent: Time) -> Self {
        Self { server, sent, fate: Fate::Out, overdue: false, asked: false, freed: false }
    }
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) class: usize,
    pub(crate) send_deadline: Time,
    /// When an answer stops being worth anything.
    pub(crate) worth_until: Time,
    /// When a held request must be given up.
    pub(crate) hold_until: Time,
    pub(crate) held: bool,
    pub(crate) ended: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The key whose turn it waits for.
    pub(crate) turn: Option<u64>,
}

/// The requests of one key that are to run in turn, and until when the key rests.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) rest_until: Time,
}

/// What the upstreams that one set of classes may be sent to hold and can hold. The first room is the whole
/// fleet; a class bound to zones or kinds has a room of its own. Failure: refused and held by the sums of the
/// whole fleet, a bound class queued behind slots it could never have.
#[derive(Debug, Default)]
pub(crate) struct Room {
    /// A class that is bound so; `None` for the whole fleet.
    pub(crate) class: Option<usize>,
    pub(crate) queued: usize,
    pub(crate) in_flight: usize,
    /// This proxy's part of the sum of K_i, and of the sum of 1 / (2*TP_i + TS_i), over live upstreams.
    pub(crate) slots: f64,
    pub(crate) n_per_time: f64,
}

/// A tenant's share at this proxy, as a bucket of requests.
#[derive(Debug)]
pub(crate) struct Quota {
    pub(crate) tokens: f64,
    pub(crate) counted: Time,
}

/// What is known of so many requests side by side at upstreams of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Level {
    /// This round: time spent at the level, and work done there.
    pub(crate) time: f64,
    pub(crate) done: f64,
    /// Of all rounds: work done, and what the level in use would have done in that time. A fleet that slows
    /// down as a whole changes neither against the other.
    pub(crate) all: f64,
    pub(crate) expected: f64,
}

impl Entry {
    pub(crate) fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }
    pub(crate) fn all_never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }
}

pub(crate) trait Rooms {
    fn rooms(&self) -> (Vec<Room>, Vec<usize>);
}

impl Rooms for Settings {
    /// One room for the whole fleet, and one for each set of upstreams that some class is bound to.
    fn rooms(&self) -> (Vec<Room>, Vec<usize>) {
        let (mut rooms, mut room_of) = (vec![Room::default()], Vec::new());
        for (i, c) in self.classes.iter().enumerate() {
            let like = |r: &Room| {
                let of = r.class.map(|o| &self.classes[o]);
                of.map(|o| (&o.zones, &o.machine_types)).unwrap_or((&None, &None))
                    == (&c.zones, &c.machine_types)
            };
            room_of.push(rooms.iter().position(like).unwrap_or_else(|| {
                rooms.push(Room { class: Some(i), ..Room::default() });
                rooms.len() - 1
            }));
        }
        (rooms, room_of)
    }
}
