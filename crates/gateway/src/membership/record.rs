//! What is known of one upstream.

use std::rc::Rc;
use std::sync::Arc;

use hollowpaddle_policy::interface::{Member, ServerId, Status, Time};
use hollowpaddle_policy::settings::stable_hash;

use crate::attempt::UpstreamTarget;
use crate::start_times::{CorrectedStart, ListedStart};

/// One upstream.
pub(super) struct UpstreamRecord {
    pub(super) name: Arc<str>,
    pub(super) target: Rc<UpstreamTarget>,
    /// As last listed, whether it is cordoned or not.
    pub(super) listing: Listing,
    /// Version of the list whose entry was applied last.
    pub(super) revision: u64,
    /// The last list that named it, as counted by `Membership::lists_received`.
    pub(super) last_named_by: u64,
}

/// What a list says of an upstream, but for its name and address.
#[derive(Clone, Copy)]
pub(super) struct Listing {
    pub(super) weight: f64,
    /// When it last started as listed, and by this machine's clock; nothing for long ago.
    pub(super) started: Option<(ListedStart, CorrectedStart)>,
    pub(super) zone: u32,
    pub(super) machine_type: u32,
    pub(super) cell: u32,
    pub(super) status: Status,
}

impl UpstreamRecord {
    /// The listed upstream in the decision module's terms.
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
