//! Checks a recovery report against the expectations of the scenario.

use hollowpaddle_scenario::scenario::Expect;

use super::RecoveryReport;

/// Returns a message for each missed expectation, with the actual and the expected figure.
pub(super) fn missed_expectations(
    expect: &Expect,
    report: &RecoveryReport,
    overall_service: f64,
) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(most) = expect.full_service.map(|d| d.as_secs_f64()) {
        for episode in &report.episodes {
            let (faults, from) = (episode.faults.join(", "), episode.from_s);
            match (episode.up_s, episode.full_service_s) {
                (_, Some(took)) if took <= most => {}
                (_, Some(took)) => missed.push(format!(
                    "full service {took:.1} s after {faults} at {from:.1} s; at most {most:.1} s expected, {:.1} s \
                     too many",
                    took - most
                )),
                (None, None) => missed.push(format!(
                    "not all that {faults} struck at {from:.1} s came back; full service within {most:.1} s expected"
                )),
                (Some(_), None) => missed.push(format!(
                    "no full service in the {:.1} s looked at after {faults} at {from:.1} s; at most {most:.1} s \
                     expected",
                    episode.watched_s
                )),
            }
        }
    }
    let limits = [
        ("connects", expect.connects_times),
        ("list-calls", expect.list_calls_times),
        ("attempts", expect.attempts_times),
        ("datagrams", expect.datagrams_times),
    ];
    for (kind, most) in limits {
        let stampede = report.stampede.iter().find(|r| r.kind == kind);
        let (Some(most), Some(stampede)) = (most, stampede) else { continue };
        for (peak, of) in
            [(Some(stampede.all), "over all"), (stampede.busiest, "at the busiest upstream")]
        {
            let Some(peak) = peak.filter(|p| p.times > most) else { continue };
            missed.push(format!(
                "{kind} {of}: {} in the second from {:.1} s, {:.1} times the twin's {}; at most {most:.1} times \
                 expected",
                peak.peak, peak.at_s, peak.times, peak.control_p99
            ));
        }
    }
    if let Some(most) = expect.contention_share.filter(|most| report.contention.share > *most) {
        missed.push(format!(
            "refused beside idle nodes: {:.3} of all requests; at most {most:.3} expected",
            report.contention.share
        ));
    }
    if let Some(most) = expect.stale.filter(|most| report.stale.informed.sends > *most) {
        missed.push(format!(
            "stale sends: {}, the oldest {:.0} ms after the word against it; at most {most} expected",
            report.stale.informed.sends, report.stale.informed.oldest_ms
        ));
    }
    if let Some(least) = expect.service.filter(|least| overall_service < *least) {
        missed.push(format!("service {overall_service:.3}; at least {least:.3} expected"));
    }
    missed
}
