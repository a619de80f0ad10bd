//! Whom this balancer has given leases, until when, and what they have confirmed. Whether it may give any is
//! in `leases`.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::message::Generation;
use crate::node_set::NodeSet;

/// Children at most: the tree's eight, and as many that have lost their own parent, as the log's learners take them.
/// Failure, found in played banks: such guests learned the log and got no lease, and of 300 balancers 5 to 34 kept to the
/// charter.
pub const MAX_CHILDREN: usize = 16;
/// Whoever was not heard of for so long (three renewals were lost) makes room for another child. Its leases
/// count on.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(1);
/// Records at most, those of former lives and of former children included. Without a bound one that restarts
/// in a loop takes memory; with it, whoever comes then is told that there is no room, for a lease at most.
const MAX_CHILD_RECORDS: usize = 64;

/// One life of a child.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Child {
    /// When it asked last, by its clock.
    pub(crate) asked: u64,
    /// When that was heard.
    pub(crate) heard: Duration,
    pub(crate) generation: Generation,
    pub(crate) confirmed: Generation,
    pub(crate) here: NodeSet,
    /// All leases that it was given have ended by then, by the clock here.
    pub(crate) until: Duration,
    /// All that it was given of older stages than the present one.
    pub(crate) older: Duration,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Children(BTreeMap<(NodeId, Incarnation), Child>);

impl Children {
    /// Notes what one said; `None`: there is no room for it.
    pub(crate) fn heard(
        &mut self,
        now: Duration,
        who: (NodeId, Incarnation),
        asked: u64,
        generation: Generation,
        confirmed: Generation,
        here: NodeSet,
    ) -> Option<&mut Child> {
        if !self.0.contains_key(&who) {
            let others =
                self.0.iter().filter(|((m, _), c)| *m != who.0 && c.is_recent(now)).count();
            if others >= MAX_CHILDREN || self.0.len() >= MAX_CHILD_RECORDS {
                return None;
            }
        }
        let zero = Duration::ZERO;
        let new =
            Child { asked, heard: now, generation, confirmed, here, until: zero, older: zero };
        let child = self.0.entry(who).or_insert(new);
        // What it confirmed stays confirmed, whichever of its words comes last.
        child.confirmed = child.confirmed.max(confirmed);
        if asked >= child.asked {
            (child.asked, child.heard, child.generation, child.here) =
                (asked, now, generation, here);
        }
        Some(child)
    }

    /// One that went elsewhere has left all older stages.
    pub(crate) fn left_by(&mut self, who: (NodeId, Incarnation), confirmed: Generation) {
        if let Some(child) = self.0.get_mut(&who) {
            child.confirmed = child.confirmed.max(confirmed);
        }
    }

    /// From here on all that was given is of an older stage.
    pub(crate) fn turn(&mut self) {
        self.0.values_mut().for_each(|c| c.older = c.older.max(c.until));
    }

    /// Forgets those that were not heard of for long and hold nothing.
    pub(crate) fn forget(&mut self, now: Duration) {
        self.0.retain(|_, c| c.is_recent(now) || now <= c.until);
    }

    /// Whether nobody under a lease that was given here acts on an older stage than this; until when one may,
    /// else.
    pub(crate) fn left(&self, now: Duration, generation: Generation) -> Result<(), Duration> {
        let behind = self.0.values().filter(|c| c.confirmed < generation && now <= c.older);
        behind.map(|c| c.older).max().map_or(Ok(()), Err)
    }

    /// Who is there at this stage.
    pub(crate) fn here(&self, now: Duration, generation: Generation) -> NodeSet {
        let mut here = NodeSet::default();
        self.0
            .values()
            .filter(|c| c.generation == generation && c.is_recent(now))
            .for_each(|c| here.extend(&c.here));
        here
    }
}

impl Child {
    fn is_recent(&self, now: Duration) -> bool {
        now <= self.heard.saturating_add(CHILD_TIMEOUT)
    }
}
