//! What a scenario expects, held against the account.

use hollowpaddle_scenario::scenario::Expect;

use super::RecoveryReport;

/// What was expected and not shown, a line each, with both figures.
pub(super) fn missed(expect: &Expect, account: &RecoveryReport, whole: f64) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(most) = expect.full_service.map(|d| d.as_secs_f64()) {
        for episode in &account.episodes {
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
    let times = [
        ("connects", expect.connects_times),
        ("list-calls", expect.list_calls_times),
        ("attempts", expect.attempts_times),
        ("datagrams", expect.datagrams_times),
    ];
    for (what, most) in times {
        let rush = account.stampede.iter().find(|r| r.what == what);
        let (Some(most), Some(rush)) = (most, rush) else { continue };
        for (peak, of) in [(Some(rush.all), "over all"), (rush.busiest, "at the busiest upstream")]
        {
            let Some(peak) = peak.filter(|p| p.times > most) else { continue };
            missed.push(format!(
                "{what} {of}: {} in the second from {:.1} s, {:.1} times the twin's {}; at most {most:.1} times \
                 expected",
                peak.peak, peak.at_s, peak.times, peak.control_run
            ));
        }
    }
    if let Some(most) = expect.crowd_share.filter(|most| account.contention.share > *most) {
        missed.push(format!(
            "refused beside idle nodes: {:.3} of all requests; at most {most:.3} expected",
            account.contention.share
        ));
    }
    if let Some(most) = expect.stale.filter(|most| account.stale.told.sends > *most) {
        missed.push(format!(
            "stale sends: {}, the oldest {:.0} ms after the word against it; at most {most} expected",
            account.stale.told.sends, account.stale.told.oldest_ms
        ));
    }
    if let Some(least) = expect.service.filter(|least| whole < *least) {
        missed.push(format!("service {whole:.3}; at least {least:.3} expected"));
    }
    missed
}
