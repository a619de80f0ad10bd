//! The fleet as this balancer has it listed, for the checks of a policy revision.

use std::collections::BTreeMap;

use hollowpaddle_revision::fleet::{ClassFacts, Facts, Group};

use crate::members::{Entry as Member, Phase};

/// The fleet as this balancer has it listed, for what is checked against it.
pub fn facts(members: &[Member], classes: &[ClassFacts]) -> Facts {
    let mut facts = Facts { classes: classes.to_vec(), ..Facts::default() };
    let place = |names: &mut Vec<String>, name: &str| {
        let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        });
        at.min(255) as u8
    };
    let mut groups = BTreeMap::<(u32, u8, u8), (u16, u32)>::new();
    for listed in members.iter().filter(|m| m.phase == Phase::Serving) {
        let zone = place(&mut facts.zones, &listed.zone);
        let machine_type = place(&mut facts.machine_types, &listed.machine_type);
        let group = groups.entry((listed.cell, zone, machine_type)).or_default();
        group.0 = group.0.saturating_add(1);
        let size = (listed.size.clamp(0.0, 1e6) * 1000.0) as u32;
        group.1 = group.1.saturating_add(size);
        facts.named.insert(listed.id.to_string(), (listed.cell, machine_type));
    }
    facts.load = vec![0; facts.zones.len()];
    let group = |((cell, zone, machine_type), (upstreams, capacity))| Group {
        cell,
        zone,
        machine_type,
        upstreams,
        capacity,
    };
    facts.groups =
        groups.into_iter().map(group).take(hollowpaddle_revision::fleet::MOST_GROUPS).collect();
    facts
}
