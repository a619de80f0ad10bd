//! What lies over all that lists say: upstreams that operators have taken out, and the routing policy in force.

use std::collections::BTreeSet;
use std::sync::Arc;

use hollowpaddle_policy::interface;
use hollowpaddle_revision::rules::Place;

use crate::cluster::Held;

/// Classes that [`interface::Member::barred`] has bits for.
const BARRED_BITS: usize = 64;

/// What lies over lists.
pub(super) struct Overlay {
    /// By name, whom operators have taken out.
    pub(super) cordoned: BTreeSet<String>,
    pub(super) classes: Vec<Arc<str>>,
    pub(super) policy: Policy,
}

/// The routing policy, as far as it concerns upstreams.
#[derive(Default)]
pub(super) struct Policy {
    /// What the cluster has agreed on; nothing, where there is no cluster.
    pub(super) held: Option<Held>,
    /// The list is older than the policy allows, and the fallback policy has upstreams on it: nobody else is sent to.
    pub(super) is_restricted: bool,
}

impl Overlay {
    /// Nobody is taken out, and there is no policy.
    pub(super) fn new(classes: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self {
            cordoned: BTreeSet::new(),
            classes: classes.into_iter().collect(),
            policy: Policy::default(),
        }
    }

    /// What the module is told of an upstream that is listed so under the policy in force: one that operators have taken
    /// out drains, and so does one that the policy keeps every class from.
    pub(super) fn apply(&self, listed: interface::Member, place: &Place) -> interface::Member {
        self.apply_under(&self.policy, listed, place)
    }

    /// The same under another policy.
    pub(super) fn apply_under(
        &self,
        policy: &Policy,
        listed: interface::Member,
        place: &Place,
    ) -> interface::Member {
        let mut member = listed;
        let is_live = listed.status == interface::Status::Live;
        if is_live && self.cordoned.contains(place.name) {
            member.status = interface::Status::Draining;
        }
        let Some(Held { rules, stops }) = &policy.held else { return member };
        let is_stopped = stops.names.contains(place.name)
            || policy.is_restricted && !rules.floor().allows(place);
        let is_barred = |class: &Arc<str>| !rules.permits(place, class);
        for (i, class) in self.classes.iter().enumerate().take(BARRED_BITS) {
            member.barred |= u64::from(is_barred(class)) << i;
        }
        if member.status == interface::Status::Live
            && (is_stopped || self.classes.iter().all(is_barred))
        {
            member.status = interface::Status::Draining;
        }
        member.weight *= rules.weight(place);
        member
    }
}

/// An upstream and a class, as the routing policy knows them.
pub struct Placed {
    pub(super) name: Arc<str>,
    pub(super) cell: u32,
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) class: Arc<str>,
}

impl Placed {
    /// Whether this policy allows sending there.
    pub fn permitted(&self, held: &Held) -> bool {
        let place = Place {
            name: &self.name,
            cell: self.cell,
            machine_type: &self.machine_type,
            zone: &self.zone,
        };
        !held.stops.names.contains(&*self.name) && held.rules.permits(&place, &self.class)
    }
}
