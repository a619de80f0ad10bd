//! Fits a line to lines of JSON, as the measuring programs print them, and prints it as JSON:
//! `fit-slope COUNT VALUE [BUDGET] [FIELD=VALUE]... < FILE`.
//!
//! `COUNT`, `VALUE` and `FIELD` name fields by their path (`rest.bytes_mean`). Lines that lack the count or the value,
//! or whose field has another value than the one that is asked for, are passed over.

use std::io::{BufRead, stdin};
use std::process::ExitCode;

use hollowpaddle_scale_harness::fit::{Line, Point};
use serde_json::{Value, json};

const USAGE: &str = "usage: fit-slope COUNT VALUE [BUDGET] [FIELD=VALUE]... < FILE";

/// What is asked for.
struct Request {
    count: String,
    value: String,
    budget: Option<f64>,
    filters: Vec<Filter>,
}

/// A field, and the value that it must have.
struct Filter {
    field: String,
    expected: Value,
}

impl Filter {
    fn parse(text: &str) -> Option<Self> {
        let (field, expected) = text.split_once('=')?;
        let expected = serde_json::from_str(expected).unwrap_or_else(|_| json!(expected));
        Some(Self { field: field.to_string(), expected })
    }

    fn matches(&self, measured: &Value) -> bool {
        match (find(measured, &self.field), &self.expected) {
            (Some(Value::Number(found)), Value::Number(expected)) => {
                found.as_f64() == expected.as_f64()
            }
            (Some(found), expected) => found == expected,
            (None, _) => false,
        }
    }
}

impl Request {
    fn parse(arguments: Vec<String>) -> Result<Self, String> {
        let (filters, names): (Vec<String>, Vec<String>) =
            arguments.into_iter().partition(|argument| argument.contains('='));
        let (count, value, budget) = match &names[..] {
            [count, value] => (count, value, None),
            [count, value, budget] => (count, value, Some(number(budget)?)),
            _ => return Err(USAGE.to_string()),
        };
        let filters = filters.iter().filter_map(|text| Filter::parse(text)).collect();
        Ok(Self { count: count.clone(), value: value.clone(), budget, filters })
    }

    /// The point of one line, if it is asked for and has one.
    fn point(&self, measured: &Value) -> Option<Point> {
        if !self.filters.iter().all(|filter| filter.matches(measured)) {
            return None;
        }
        let count = find(measured, &self.count)?.as_f64()?;
        let value = find(measured, &self.value)?.as_f64()?;
        Some(Point { count, value })
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("fit-slope: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<Value, String> {
    let request = Request::parse(std::env::args().skip(1).collect())?;
    let mut points = Vec::new();
    for line in stdin().lock().lines() {
        let line = line.map_err(|cause| cause.to_string())?;
        let measured: Value = serde_json::from_str(&line).map_err(|cause| cause.to_string())?;
        points.extend(request.point(&measured));
    }
    let line = Line::fit(&points).map_err(|cause| cause.to_string())?;
    let mut printed = json!(line);
    if let Some(budget) = request.budget {
        printed["reaches_budget_at"] = json!(line.reaches(budget));
    }
    Ok(printed)
}

fn number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("{text:?} is no number"))
}

/// The field at a path such as `rest.bytes_mean`.
fn find<'a>(measured: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(measured, |at, name| at.get(name))
}
