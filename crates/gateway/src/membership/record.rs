//! What is kept of one upstream.

use std::rc::Rc;
use std::sync::Arc;

use hollowpaddle_policy::interface;
use hollowpaddle_policy::interface::{ServerId, Time};
use hollowpaddle_policy::settings::stable_hash;

use crate::attempt::UpstreamTarget;
use crate::start_times::{BelievedStart, ListedStart};

/// One upstream.
pub(super) struct Known {
    pub(super) name: Arc<str>,
    pub(super) target: Rc<UpstreamTarget>,
    /// As last listed, whatever operators say.
    pub(super) listed: Listing,
    /// Version of the list that the last word of it came with.
    pub(super) revision: u64,
    /// The last list that named it, as counted by `Membership::lists`.
    pub(super) named_by: u64,
}

/// What a list says of an upstream, without what follows from its name and handle.
#[derive(Clone, Copy)]
pub(super) struct Listing {
    pub(super) weight: f64,
    /// When it last started as listed, and as it is believed; nothing for long ago.
    pub(super) started: Option<(ListedStart, BelievedStart)>,
    pub(super) zone: u32,
    pub(super) machine_type: u32,
    pub(super) cell: u32,
    pub(super) status: interface::Status,
}

impl Known {
    /// As listed, in the module's terms.
    pub(super) fn member(&self, id: ServerId) -> interface::Member {
        interface::Member {
            id,
            identity: stable_hash(&self.name),
            zone: self.listed.zone,
            kind: self.listed.machine_type,
            cell: self.listed.cell,
            status: self.listed.status,
            weight: self.listed.weight,
            started: self.listed.started.map(|(_, believed)| Time(believed.get())),
            barred: 0,
        }
    }
}
