//! The fleet as this balancer has it listed, as facts against which a policy revision is checked.

use std::collections::BTreeMap;

use hollowpaddle_revision::fleet::{ClassFacts, FleetFacts, Group, MAX_GROUPS};

use crate::members::{Entry as Member, Phase};

/// The largest size that counts of one upstream.
const MAX_SIZE: f64 = 1e6;
/// Capacity units of an upstream of size 1.
const UNITS_PER_SIZE: f64 = 1000.0;

/// Upstreams of one group, and their capacity together.
#[derive(Default)]
struct GroupTotals {
    upstreams: u16,
    capacity: u32,
}

/// The facts on the upstreams that serve, by `members` of the endpoint list, and on the classes of the settings. Groups
/// beyond [`MAX_GROUPS`] are left out.
pub fn facts(members: &[Member], classes: &[ClassFacts]) -> FleetFacts {
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

/// The place of a name in `names`, which is added where it is missing. Places beyond 255 count as 255.
fn index_of(names: &mut Vec<String>, name: &str) -> u8 {
    let index = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    index.min(usize::from(u8::MAX)) as u8
}
