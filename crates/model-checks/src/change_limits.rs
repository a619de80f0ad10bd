//! Whether a cluster accepts a configuration change, by the size of the fleet that the change is checked against.
//!
//! A proposal carries the facts of the fleet: all classes of requests, all machine types, and the upstreams grouped by
//! cell and machine type. [`propose_with`] plays one proposal in a cluster of five, in virtual time.

use std::time::Duration;

use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fleet::{ClassFacts, FleetFacts, Group};
use serde::Serialize;

use crate::figures::{in_force, settled};
use crate::world::{PODS, Plan, facts};

/// Balancers of the cluster.
const BALANCERS: u16 = 5;
/// Longest time until a proposal is answered; one that is accepted is in force long before.
const ANSWER_LIMIT: Duration = Duration::from_secs(12);
/// Upstreams of each group, and what they can do together, as in the played fleet.
const GROUP_UPSTREAMS: u16 = 8;
/// See [`GROUP_UPSTREAMS`].
const GROUP_CAPACITY: u32 = 1_000;

/// The size of a fleet, as a proposal states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Classes of requests.
    pub classes: usize,
    /// Machine types.
    pub machine_types: usize,
    /// Groups of upstreams by cell and machine type.
    pub groups: u32,
}

/// What became of the proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The fleet that it was checked against.
    pub fleet: FleetSize,
    /// Balancers of five that act on it in the end.
    pub in_force: usize,
    /// The answer; absent if there was none.
    pub answer: Option<String>,
}

impl Outcome {
    /// Whether all balancers act on it.
    pub fn is_in_force(&self) -> bool {
        self.in_force == usize::from(BALANCERS)
    }
}

/// Proposes to take one cell out, in a cluster that is at rest; `None` if the cluster does not come to rest.
pub fn propose_with(fleet: FleetSize) -> Option<Outcome> {
    let mut world = settled(Plan::whole(1, BALANCERS))?;
    let leader = world.leader()?;
    let id = CommandId(1);
    let mut document = Document { attempts: 3, ..Document::default() };
    document.out.cells.insert(2);
    let ask =
        ProposalOptions { id, base: None, canary: None, forced: false, facts: facts_of(fleet) };
    let entry = Entry::Propose(Box::new(ask), Box::new(document));
    let ticket = world.propose(leader, Some(id), entry);
    world.run(ANSWER_LIMIT);
    let answer = world.answers.get(&ticket).map(|(_, answer)| format!("{answer:?}"));
    Some(Outcome { fleet, in_force: in_force(&world, 1), answer })
}

/// The played fleet, made as large as this. It has [`PODS`] cells, or as many as there are groups.
fn facts_of(fleet: FleetSize) -> FleetFacts {
    let class = |number| ClassFacts {
        name: format!("service-{number}"),
        zones: Vec::new(),
        machine_types: Vec::new(),
    };
    let group = |cell| Group {
        cell,
        zone: u8::from(cell > PODS / 2),
        machine_type: 0,
        upstreams: GROUP_UPSTREAMS,
        capacity: GROUP_CAPACITY,
    };
    FleetFacts {
        classes: (0..fleet.classes).map(class).collect(),
        machine_types: (0..fleet.machine_types).map(|number| format!("m{number}")).collect(),
        groups: (1..=fleet.groups).map(group).collect(),
        ..facts()
    }
}
