//! Measures the cost of the control plane at one cluster size in virtual time, and prints it as a line of JSON:
//! `cargo run --release -p hollowpaddle-model-checks --bin control-plane-figures -- BALANCERS LOSS_PERCENT SEED`.

use std::process::ExitCode;

use hollowpaddle_model_checks::control_plane::{Scenario, measure};

const USAGE: &str = "usage: control-plane-figures BALANCERS LOSS_PERCENT SEED";

fn scenario() -> Option<Scenario> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [balancers, loss, seed] = arguments.as_slice() else { return None };
    let percent: f64 = loss.parse().ok()?;
    Some(Scenario {
        balancers: balancers.parse().ok()?,
        loss: percent / 100.0,
        seed: seed.parse().ok()?,
    })
}

fn main() -> ExitCode {
    let Some(scenario) = scenario() else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    match serde_json::to_string(&measure(scenario)) {
        Ok(line) => println!("{line}"),
        Err(cause) => {
            eprintln!("control-plane-figures: {cause}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
