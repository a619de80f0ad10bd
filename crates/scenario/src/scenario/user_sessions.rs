//! Vans: clients with a `session_id` of their own that drive from site to site. What chance decides about them is
//! `crate::sessions`'s.

use std::time::Duration;

use hollowpaddle_toml_fields::Table;

use super::Fleet;

/// Most vans of a scenario. What pods know of them is held for each van and pod.
const MAX_SESSIONS: u32 = 200_000;

/// Vans, each with one `session_id`. Each request of the day is one of theirs, and comes to the balancers of the
/// site where its van is then. A pod is a cell: its nodes share what they know.
#[derive(Clone, Debug, PartialEq)]
pub struct UserSessions {
    /// How many. They begin at sites that are drawn.
    pub count: u32,
    /// What a run costs on top in a pod that does not know the van, in milliseconds of a core of speed 1.
    pub unknown_session_work_ms: f64,
    /// A pod that no request of a van has run in for so long does not know it any more.
    pub session_expiry: Duration,
    /// Share of them that drive to another site.
    pub move_share: f64,
    /// When the first of them goes.
    pub moves_start: Duration,
    /// From the first to the last, evenly at random.
    pub moves_spread: Duration,
    /// How long after that each drives back, if they do.
    pub return_after: Option<Duration>,
    /// Share of the keyed requests sent shortly before a move that are pressed again at the other site: the
    /// same key, a new request, whatever came of the first.
    pub resubmit_share: f64,
    /// How shortly before.
    pub resubmit_window: Duration,
    /// How long after the move.
    pub resubmit_delay: Duration,
}

/// Reads `[sessions]`. `has_errors`: something before was wrong, and any length may be right.
pub(super) fn read(t: Table, fleet: &Fleet, length: Duration, has_errors: bool) -> UserSessions {
    let length_s = length.as_secs_f64();
    let share = |key| t.number(key, 0.0..=1.0, Some(0.0));
    let (move_share, resubmit_share) = (share("move_share"), share("again_share"));
    let sessions = UserSessions {
        count: t.whole("count", 1..=MAX_SESSIONS, None),
        unknown_session_work_ms: t.number("stranger_work_ms", 0.0..=1e6, Some(0.0)),
        session_expiry: t.time("forgotten_s", 0.1..=86_400.0, Some(600.0)),
        move_share,
        // Without a default where some move: when is the point of such a day.
        moves_start: t.time("moves_at_s", 0.0..=86_400.0, (move_share == 0.0).then_some(0.0)),
        moves_spread: t.time("moves_over_s", 0.0..=86_400.0, Some(0.0)),
        return_after: t.has("back_after_s").then(|| t.time("back_after_s", 0.001..=86_400.0, None)),
        resubmit_share,
        resubmit_window: t.time("again_within_ms", 1.0..=600_000.0, Some(2_000.0)),
        resubmit_delay: t.time("again_after_ms", 0.0..=600_000.0, Some(300.0)),
    };
    let moving = ["moves_at_s", "moves_over_s", "back_after_s", "again_share"];
    if let Some(key) = moving.into_iter().find(|k| move_share == 0.0 && t.has(k)) {
        let what =
            format!("`{key}` means nothing where no van moves; remove it, or add `move_share`");
        t.wrong(&t.span_of(key), what);
    }
    if move_share > 0.0 && fleet.zones.len() < 2 && !has_errors {
        let what = "`vans.move_share`: there is one site and nowhere to drive to; expected two or more \
                    `fleet.zones`";
        t.wrong(&t.span_of("move_share"), what);
    }
    let last = (sessions.moves_start + sessions.moves_spread).as_secs_f64();
    if move_share > 0.0 && last > length_s && !has_errors {
        let what = format!(
            "vans move until {last} s, and the day ends at {length_s} s; expected all of them within it"
        );
        t.wrong(&t.span_of("moves_at_s"), what);
    }
    t.finish();
    sessions
}
