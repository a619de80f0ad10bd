//! Checks whether a cluster accepts a configuration change, by the size of the fleet that the change is validated
//! against.
//!
//! A proposal carries the facts of the fleet: all classes of requests, all machine types, and the upstreams grouped by
//! cell and machine type. [`propose_with`] simulates one proposal in a cluster of five, in virtual time.

use std::time::Duration;

use hollowpaddle_gateway::cluster::machine::ProposalResult;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fleet::{ClassFacts, FleetFacts, Group};
use hollowpaddle_revision::policy_state::Rejection;
use serde::Serialize;

use crate::figures::{count_in_force, settled_cluster};
use crate::simulated_cluster::{CELLS, SimulationConfig, fleet_facts};

/// Balancers of the cluster.
const BALANCERS: u16 = 5;
/// Longest time until a proposal is answered; one that is accepted is in force long before.
const ANSWER_LIMIT: Duration = Duration::from_secs(12);
/// Upstreams of each group, and their total capacity, as among the simulated upstreams.
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

/// Outcome of the proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The fleet that the proposal was validated against.
    pub fleet: FleetSize,
    /// Number of balancers that act on the change at the end, of five.
    pub in_force: usize,
    /// The response; absent if there was none.
    pub answer: Option<String>,
}

impl Outcome {
    /// Returns whether all balancers act on the change.
    pub fn is_in_force(&self) -> bool {
        self.in_force == usize::from(BALANCERS)
    }
}

/// Proposes to exclude one cell, in a cluster that is at rest; `None` if the cluster does not settle.
pub fn propose_with(fleet: FleetSize) -> Option<Outcome> {
    let mut cluster = settled_cluster(SimulationConfig::without_faults(1, BALANCERS))?;
    let leader = cluster.leader()?;
    let id = CommandId(1);
    let mut document = Document { attempts: 3, ..Document::default() };
    document.exclusions.cells.insert(2);
    let options =
        ProposalOptions { id, base: None, canary: None, forced: false, facts: facts_of(fleet) };
    let entry = Entry::Propose(Box::new(options), Box::new(document));
    let ticket = cluster.propose(leader, Some(id), entry);
    cluster.run_for(ANSWER_LIMIT);
    let answer = cluster.proposal_results.get(&ticket).map(|(_, answer)| answer_text(answer));
    Some(Outcome { fleet, in_force: count_in_force(&cluster, 1), answer })
}

/// Returns the text of a result in [`Outcome::answer`]. The variant names in the text are part of the output format and
/// stay when a variant is renamed in the code.
fn answer_text(result: &ProposalResult) -> String {
    match result {
        ProposalResult::Committed(index) => format!("Stands({index:?})"),
        ProposalResult::NeverCommitted => "Never".to_string(),
        ProposalResult::Answered(Err(Rejection::StaleBase { base, first, newest })) => {
            format!("Answered(Err(Lost {{ base: {base}, first: {first}, newest: {newest} }}))")
        }
        ProposalResult::Answered(Err(Rejection::FallbackChangeInProgress { since })) => {
            format!("Answered(Err(Changing {{ since: {since} }}))")
        }
        ProposalResult::Answered(_) | ProposalResult::Unknown => format!("{result:?}"),
    }
}

/// Returns the facts of a fleet of this size. It has [`CELLS`] cells, or as many as there are groups.
fn facts_of(fleet: FleetSize) -> FleetFacts {
    let class = |number| ClassFacts {
        name: format!("service-{number}"),
        zones: Vec::new(),
        machine_types: Vec::new(),
    };
    let group = |cell| Group {
        cell,
        zone: u8::from(cell > CELLS / 2),
        machine_type: 0,
        upstreams: GROUP_UPSTREAMS,
        capacity: GROUP_CAPACITY,
    };
    FleetFacts {
        classes: (0..fleet.classes).map(class).collect(),
        machine_types: (0..fleet.machine_types).map(|number| format!("m{number}")).collect(),
        groups: (1..=fleet.groups).map(group).collect(),
        ..fleet_facts()
    }
}
