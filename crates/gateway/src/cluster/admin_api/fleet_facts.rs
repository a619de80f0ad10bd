//! Facts about the upstreams in this balancer's endpoint list, against which a policy revision is checked.

use std::collections::BTreeMap;

use hollowpaddle_revision::fleet::{ClassFacts, FleetFacts, Group, MAX_GROUPS};

use crate::members::{Entry as Member, Phase};

/// Maximum size of one upstream; larger sizes count as this one.
const MAX_SIZE: f64 = 1e6;
/// Capacity units of an upstream of size 1.
const UNITS_PER_SIZE: f64 = 1000.0;

/// Number of upstreams in one group, and their total capacity.
#[derive(Default)]
struct GroupTotals {
    upstreams: u16,
    capacity: u32,
}

/// Returns the facts about the serving upstreams among `members` of the endpoint list and about the classes of the settings.
/// Groups beyond [`MAX_GROUPS`] are omitted.
pub fn fleet_facts(members: &[Member], classes: &[ClassFacts]) -> FleetFacts {
    let mut facts = FleetFacts { classes: classes.to_vec(), ..FleetFacts::default() };
    let mut groups = BTreeMap::<(u32, u8, u8), GroupTotals>::new();
    for member in members.iter().filter(|m| m.phase == Phase::Serving) {
        let zone = index_of(&mut facts.zones, &member.zone);
        let machine_type = index_of(&mut facts.machine_types, &member.machine_type);
        let totals = groups.entry((member.cell, zone, machine_type)).or_default();
        totals.upstreams = totals.upstreams.saturating_add(1);
        let capacity = (member.size.clamp(0.0, MAX_SIZE) * UNITS_PER_SIZE) as u32;
        totals.capacity = totals.capacity.saturating_add(capacity);
        facts.named.insert(member.id.to_string(), (member.cell, machine_type));
    }
    facts.load = vec![0; facts.zones.len()];
    for ((cell, zone, machine_type), totals) in groups.into_iter().take(MAX_GROUPS) {
        let GroupTotals { upstreams, capacity } = totals;
        facts.groups.push(Group { cell, zone, machine_type, upstreams, capacity });
    }
    facts
}

/// Returns the index of a name in `names`, and appends the name if it is missing. Indices above 255 become 255.
fn index_of(names: &mut Vec<String>, name: &str) -> u8 {
    let index = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    index.min(usize::from(u8::MAX)) as u8
}
