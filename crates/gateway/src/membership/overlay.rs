//! Overrides of the endpoint list: cordons of operators and the routing policy in force.

use std::collections::BTreeSet;
use std::sync::Arc;

use hollowpaddle_policy::interface::{Member, Status};
use hollowpaddle_revision::rules::Place;

use crate::cluster::PolicySnapshot;

/// Number of classes that fit into the bits of [`Member::barred_classes`].
const BARRED_BITS: usize = 64;

/// The overrides of the endpoint list.
pub(super) struct Overlay {
    /// Names of the upstreams that operators have cordoned.
    pub(super) cordoned: BTreeSet<String>,
    /// Names of the classes, by their index in the settings.
    pub(super) classes: Vec<Arc<str>>,
    pub(super) policy: Policy,
}

/// The routing policy and its restriction of upstreams.
#[derive(Default)]
pub(super) struct Policy {
    /// The policy in force; `None` if the balancer is in no cluster.
    pub(super) snapshot: Option<PolicySnapshot>,
    /// Whether requests may go only to upstreams of the fallback policy, because the list is older than the policy allows.
    pub(super) is_restricted: bool,
}

impl Overlay {
    /// Creates an overlay without cordons and without a policy.
    pub(super) fn new(classes: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self {
            cordoned: BTreeSet::new(),
            classes: classes.into_iter().collect(),
            policy: Policy::default(),
        }
    }

    /// Returns the description of a listed upstream for the decision module. An upstream counts as draining if it is
    /// cordoned or if the policy in force bars it for every class.
    pub(super) fn apply(&self, listed: Member, place: &Place) -> Member {
        self.apply_under(&self.policy, listed, place)
    }

    /// Returns the description of a listed upstream for the decision module under the given policy.
    pub(super) fn apply_under(&self, policy: &Policy, listed: Member, place: &Place) -> Member {
        let mut member = listed;
        let is_live = listed.status == Status::Live;
        if is_live && self.cordoned.contains(place.name) {
            member.status = Status::Draining;
        }
        let Some(PolicySnapshot { rules, stops }) = &policy.snapshot else { return member };
        let is_stopped = stops.names.contains(place.name)
            || policy.is_restricted && !rules.floor().allows(place);
        let is_barred = |class: &Arc<str>| !rules.permits(place, class);
        for (i, class) in self.classes.iter().enumerate().take(BARRED_BITS) {
            member.barred_classes |= u64::from(is_barred(class)) << i;
        }
        if member.status == Status::Live && (is_stopped || self.classes.iter().all(is_barred)) {
            member.status = Status::Draining;
        }
        member.weight *= rules.weight(place);
        member
    }
}

/// An upstream and a class, with the properties that routing policies check.
pub struct Route {
    pub(super) name: Arc<str>,
    pub(super) cell: u32,
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) class: Arc<str>,
}

impl Route {
    /// Returns whether the policy allows requests of the class to the upstream.
    pub fn is_permitted(&self, policy: &PolicySnapshot) -> bool {
        let place = Place {
            name: &self.name,
            cell: self.cell,
            machine_type: &self.machine_type,
            zone: &self.zone,
        };
        !policy.stops.names.contains(&*self.name) && policy.rules.permits(&place, &self.class)
    }
}
