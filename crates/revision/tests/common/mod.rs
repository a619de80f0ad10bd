//! Helpers of the tests: a small fleet, and log entries about it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::{ClassFacts, FleetFacts, Group};
use hollowpaddle_revision::policy_state::{Applied, Bootstrap, PolicyState};
use hollowpaddle_revision::rules::Place;

/// Returns the facts of a fleet of two zones. Each zone has four cells, and each cell two machine types with four
/// upstreams each. The load is about a third of the capacity.
pub fn facts() -> FleetFacts {
    let group = |cell: u32, machine_type| Group {
        cell,
        zone: u8::from(cell >= 4),
        machine_type,
        upstreams: 4,
        capacity: 500,
    };
    let name = |n: &str| n.to_string();
    let class = |n: &str| ClassFacts { name: name(n), zones: vec![], machine_types: vec![] };
    FleetFacts {
        zones: vec![name("bilbao"), name("oviedo")],
        load: vec![1300, 1300],
        machine_types: vec![name("m1"), name("m2")],
        groups: (0..8).flat_map(|cell| [group(cell, 0), group(cell, 1)]).collect(),
        classes: vec![class("log"), class("sync")],
        named: BTreeMap::from([(name("u0"), (0, 0)), (name("u3"), (3, 0))]),
    }
}

/// Returns the initial values of a cluster. The mandatory fallback consists of cells 0 and 4; the fallback policy also
/// includes cells 1 and 5.
pub fn bootstrap(members: u16) -> Bootstrap {
    let fallback_policy = |cells: &[u32], attempts| FallbackPolicy {
        cells: cells.iter().copied().collect(),
        except: BTreeSet::new(),
        attempts,
    };
    Bootstrap {
        members,
        mandatory_fallback: fallback_policy(&[0, 4], 1),
        fallback_policy: fallback_policy(&[0, 1, 4, 5], 1),
        document: Document::default(),
    }
}

pub fn policy() -> PolicyState {
    PolicyState::bootstrap(bootstrap(5)).expect("the initial values are valid")
}

/// Returns a document that excludes these cells.
pub fn without(cells: &[u32]) -> Document {
    let mut document = Document::default();
    document.exclusions.cells = cells.iter().copied().collect();
    document
}

pub fn options(id: u128, base: Option<u64>) -> ProposalOptions {
    ProposalOptions { id: CommandId(id), base, canary: None, forced: false, facts: facts() }
}

pub fn propose(id: u128, base: Option<u64>, document: Document) -> Entry {
    Entry::Propose(Box::new(options(id, base)), Box::new(document))
}

pub fn rollback(id: u128, base: Option<u64>, to: u64) -> Entry {
    Entry::Rollback(Box::new(options(id, base)), to)
}

/// Applies the next entry of the log.
pub fn next(policy: &mut PolicyState, entry: &Entry) -> Applied {
    let index = policy.status().index + 1;
    policy.apply(index, &entry.to_bytes().expect("short"))
}

/// Confirms each generation until no change is running.
pub fn settle(policy: &mut PolicyState) {
    while policy.status().unconfirmed {
        let generation = policy.status().generation;
        next(policy, &Entry::GenerationConfirmed(generation));
    }
}

pub fn place(cell: u32) -> Place<'static> {
    Place { name: "u", cell, machine_type: "m1", zone: if cell < 4 { "bilbao" } else { "oviedo" } }
}

/// Returns the cells to which the rules in force permit sending.
pub fn open_cells(policy: &PolicyState) -> Vec<u32> {
    (0..8).filter(|p| policy.status().rules.permits(&place(*p), "log")).collect()
}
