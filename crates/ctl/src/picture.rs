//! A run as a picture: service over time against its twin's, and what came at once, with the faults drawn in.

use hollowpaddle_charts::{DrawError, Line, Panel, Picture, Span};
use hollowpaddle_rehearsal::checker::cluster::{PolicyReport, PolicySample};
use hollowpaddle_rehearsal::checker::recovery::RecoveryReport;
use hollowpaddle_rehearsal::report::Report;

/// Kinds of what came at once that are drawn beside one another: attempts would dwarf them.
const RARE: [&str; 3] = ["connects", "list-calls", "datagrams"];

/// The picture of a report with its twin, as SVG.
pub fn svg(report: &Report, account: &RecoveryReport) -> Result<String, DrawError> {
    // A window is drawn at its middle.
    let time = |n: usize| n as f64 * account.step_s + 0.5;
    let service = |name: &str, values: &[Option<f64>]| Line {
        name: name.to_string(),
        points: values.iter().enumerate().map(|(n, v)| (time(n), *v)).collect(),
    };
    let counts = |what: &&str| {
        let rush = account.stampede.iter().find(|r| r.kind == *what)?;
        let points = rush.over_time.iter().enumerate();
        let points = points.map(|(n, v)| (time(n), Some(*v as f64))).collect();
        Some(Line { name: what.to_string(), points })
    };
    let span = |e: &hollowpaddle_rehearsal::checker::recovery::Episode| Span {
        name: e.faults.join(", "),
        from: e.from_s,
        to: e.up_s.unwrap_or(report.length_s),
    };
    let mut panels = vec![
        Panel {
            title: "service in windows of 1 s".to_string(),
            lines: vec![
                service("run", &account.service),
                service("without faults", &account.service_of_control),
            ],
            top: Some(1.0),
        },
        Panel {
            title: "so many a second".to_string(),
            lines: RARE.iter().filter_map(counts).collect(),
            top: None,
        },
    ];
    panels.extend(report.policy.as_ref().map(rule_book));
    Picture {
        title: format!(
            "{}, seed {}, {}: {} balancers, {} nodes",
            report.scenario, report.seed, report.mode, report.size.0, report.size.1
        ),
        length: report.length_s,
        panels,
        spans: account.episodes.iter().map(span).collect(),
    }
    .svg()
}

/// Who holds a lease, and who is at the newest revision; its caption has the figures.
fn rule_book(bank: &PolicyReport) -> Panel {
    let line = |name: &str, of: fn(&PolicySample) -> f64| Line {
        name: name.to_string(),
        points: bank.over_time.iter().map(|m| (m.at_s, Some(of(m)))).collect(),
    };
    Panel {
        title: format!(
            "rule book, share of balancers; {} changes, in force after {:.2} s at most; longest contradiction {:.2} s of {:.1} s",
            bank.changes, bank.in_force_s.at_all, bank.contradiction_s, bank.bound_s
        ),
        lines: vec![
            line("under a lease", |m| m.leased),
            line("at the newest revision", |m| m.newest),
        ],
        top: Some(1.0),
    }
}
