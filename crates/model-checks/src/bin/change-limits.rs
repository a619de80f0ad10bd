//! Simulates one configuration change in a fleet of this size, and prints the outcome as a line of JSON:
//! `cargo run --release -p hollowpaddle-model-checks --bin change-limits -- CLASSES MACHINE_TYPES GROUPS`.

use std::process::ExitCode;

use hollowpaddle_model_checks::change_limits::{FleetSize, propose_with};

const USAGE: &str = "usage: change-limits CLASSES MACHINE_TYPES GROUPS";

fn fleet_size() -> Option<FleetSize> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [classes, machine_types, groups] = arguments.as_slice() else { return None };
    Some(FleetSize {
        classes: classes.parse().ok()?,
        machine_types: machine_types.parse().ok()?,
        groups: groups.parse().ok()?,
    })
}

fn main() -> ExitCode {
    let Some(fleet) = fleet_size() else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    let Some(outcome) = propose_with(fleet) else {
        eprintln!("change-limits: the cluster did not settle");
        return ExitCode::FAILURE;
    };
    match serde_json::to_string(&outcome) {
        Ok(line) => println!("{line}"),
        Err(cause) => {
            eprintln!("change-limits: {cause}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
