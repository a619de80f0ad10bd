//! Fits a line to lines of JSON, as the measuring programs print them, and prints it as JSON:
//! `fit-line COUNT VALUE [BUDGET] < FILE`. `COUNT` and `VALUE` name numbers by their path (`rest.bytes_mean`); lines
//! that lack one of them are passed over.

use std::io::{BufRead, stdin};
use std::process::ExitCode;

use hollowpaddle_hollow::fit::{Line, Point};
use serde_json::{Value, json};

const USAGE: &str = "usage: fit-line COUNT VALUE [BUDGET] < FILE";

fn main() -> ExitCode {
    match run() {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("fit-line: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<Value, String> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (count, value, budget) = match &arguments[..] {
        [count, value] => (count, value, None),
        [count, value, budget] => (count, value, Some(number(budget)?)),
        _ => return Err(USAGE.to_string()),
    };
    let mut points = Vec::new();
    for line in stdin().lock().lines() {
        let line = line.map_err(|cause| cause.to_string())?;
        let measured: Value = serde_json::from_str(&line).map_err(|cause| cause.to_string())?;
        let (Some(count), Some(value)) = (find(&measured, count), find(&measured, value)) else {
            continue;
        };
        points.push(Point { count, value });
    }
    let line = Line::fit(&points).map_err(|cause| cause.to_string())?;
    let mut printed = json!(line);
    if let Some(budget) = budget {
        printed["reaches_budget_at"] = json!(line.reaches(budget));
    }
    Ok(printed)
}

fn number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("{text:?} is no number"))
}

/// The number at a path such as `rest.bytes_mean`.
fn find(measured: &Value, path: &str) -> Option<f64> {
    let mut at = measured;
    for name in path.split('.') {
        at = at.get(name)?;
    }
    at.as_f64()
}
