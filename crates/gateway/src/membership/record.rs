//! The state of one upstream.

use std::rc::Rc;
use std::sync::Arc;

use hollowpaddle_policy::interface::{Member, ServerId, Status, Time};
use hollowpaddle_policy::settings::stable_hash;

use crate::attempt::UpstreamTarget;
use crate::start_times::{CorrectedStart, ListedStart};

/// The state of one upstream.
pub(super) struct UpstreamRecord {
    pub(super) name: Arc<str>,
    pub(super) target: Rc<UpstreamTarget>,
    /// Content of the last applied entry, without cordons.
    pub(super) listing: Listing,
    /// Version of the list whose entry was applied last.
    pub(super) revision: u64,
    /// Value of `Membership::lists_received` for the last list that named the upstream.
    pub(super) last_named_by: u64,
}

/// Content of an upstream's entry, without the name and the address.
#[derive(Clone, Copy)]
pub(super) struct Listing {
    pub(super) weight: f64,
    /// The last start as listed, and the last start by this machine's clock; `None` for long ago.
    pub(super) started: Option<(ListedStart, CorrectedStart)>,
    pub(super) zone: u32,
    pub(super) machine_type: u32,
    pub(super) cell: u32,
    pub(super) status: Status,
}

impl UpstreamRecord {
    /// Converts the listing for the decision module.
    pub(super) fn member(&self, id: ServerId) -> Member {
        Member {
            id,
            identity: stable_hash(&self.name),
            zone: self.listing.zone,
            machine_type: self.listing.machine_type,
            cell: self.listing.cell,
            status: self.listing.status,
            weight: self.listing.weight,
            started: self.listing.started.map(|(_, corrected)| Time(corrected.get())),
            barred_classes: 0,
        }
    }
}
