//! Contradictions, answers and times in force, on accounts written by hand.

use hollowpaddle_checker::cluster::{self, Bank};
use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{At, Line, Observation, Played};
use hollowpaddle_scenario::scenario::{OperatorVerb, Scenario};
use serde_json::json;

/// Zones a and b alternate: nodes 0 and 2 are pod 0, 4 and 6 pod 2, 1 and 3 pod 1, 5 and 7 pod 3.
const DAY: &str = r#"
name = "by hand"
length_s = 40

[fleet]
zones = ["a", "b"]
nodes = 8
cell_size = 2

[[fleet.kinds]]
name = "std"

[balancers]
count = 3
peers = true

[[classes]]
name = "read"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "safe"

[load]
of_capacity = 0.2

[[bank]]
at_s = 5
does = "rollback"

[[faults]]
kind = "links-cut"
start_s = 20
length_s = 5
balancers = [2]
"#;

fn at(s: f64) -> At {
    At((s * 1e6) as u64)
}

struct RecoveryReport(Vec<(f64, Observation)>);

impl RecoveryReport {
    /// All run; revision 5 forbids pod 2.
    fn new() -> Self {
        let mut account = Self(Vec::new());
        for balancer in 0..3 {
            account.add(0.0, Observation::Started { balancer, start: 1 });
            account.add(0.0, Observation::Ready { balancer, start: 1 });
        }
        account.holds(0.5, (1, 0), json!({}));
        account.holds(9.0, (1, 5), json!({"out": {"pods": [2]}}));
        account
    }

    fn add(&mut self, s: f64, seen: Observation) -> &mut Self {
        self.0.push((s, seen));
        self
    }

    /// What a revision holds: its log, and its number there.
    fn holds(
        &mut self,
        s: f64,
        (epoch, number): (u32, u64),
        document: serde_json::Value,
    ) -> &mut Self {
        self.add(s, Observation::Revision { balancer: 0, start: 1, epoch, number, document })
    }

    fn stands(
        &mut self,
        asked: f64,
        told: f64,
        balancer: usize,
        revision: u64,
        held: bool,
    ) -> &mut Self {
        self.word(asked, told, balancer, (1, revision, None), held, &[0])
    }

    fn word(
        &mut self,
        asked: f64,
        told: f64,
        balancer: usize,
        (epoch, revision, towards): (u32, u64, Option<u64>),
        held: bool,
        charter: &[u32],
    ) -> &mut Self {
        let newest = towards.unwrap_or(revision).max(revision);
        let word = Observation::Stands {
            balancer,
            start: 1,
            asked: at(asked),
            revision,
            towards,
            newest,
            held,
            unconfirmed: false,
            charter: charter.to_vec(),
            except: Vec::new(),
            awaited: false,
            leader: None,
            epoch,
        };
        self.add(told, word)
    }

    fn sends(&mut self, s: f64, balancer: usize, node: usize) -> &mut Self {
        let (attempt, request, start, dark, work_ms) = (0, 0, 1, false, 1.0);
        let first = at(s);
        self.add(
            s,
            Observation::Attempt { attempt, request, node, balancer, start, first, dark, work_ms },
        )
    }

    fn asks(&mut self, s: f64, call: u32, verb: OperatorVerb, id: &str) -> &mut Self {
        let member = (verb == OperatorVerb::Dead).then_some(0);
        let id = Some(id.to_string());
        self.add(s, Observation::Said { call, tries: 0, balancer: 0, verb, id, member })
    }

    fn hears(&mut self, s: f64, call: u32, status: u16, number: Option<u64>) -> &mut Self {
        let (verb, everywhere) = (OperatorVerb::Revision, false);
        let (status, why, balancer) = (Some(status), None, 0);
        self.add(s, Observation::Heard { call, balancer, verb, status, number, everywhere, why })
    }

    fn judged(&mut self) -> Bank {
        let scenario = Scenario::read("by-hand.toml", DAY).expect("sound");
        self.0.sort_by(|a, b| a.0.total_cmp(&b.0));
        let trace =
            self.0.iter().map(|(s, seen)| Line { at: at(*s), seen: seen.clone() }).collect();
        let plan = Plan::draw(&scenario, 1);
        let (began, resources) = (At(0), Vec::new());
        let played = Played { scenario, plan, trace, began, resources, simulated: true };
        cluster::of(&played, 0.01).expect("there are acts")
    }
}

fn near(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 1e-6
}

#[test]
fn who_sends_where_another_forbids_contradicts_from_the_first_that_is_known_to() {
    let mut account = RecoveryReport::new();
    account.stands(9.9, 10.0, 1, 5, true).sends(9.99, 0, 4).sends(12.0, 0, 4).sends(13.0, 0, 1);
    let bank = account.judged();
    assert!(near(bank.contradiction_s, 2.0), "{bank:?}");
    assert_eq!((bank.sends, bank.contradicting, bank.broken.len()), (2, 1, 0), "{bank:?}");
    let bank = account.sends(13.1, 2, 6).judged();
    assert!(near(bank.contradiction_s, 3.1) && bank.broken.len() == 1, "{bank:?}");
    let longest = &bank.contradictions[0];
    assert_eq!((longest.balancer, longest.node, longest.revision, longest.other), (2, 6, 5, 1));
    assert!(!longest.ahead);
}

#[test]
fn the_step_towards_a_revision_forbids_what_either_does() {
    let mut account = RecoveryReport::new();
    let bank = account.word(9.9, 10.0, 1, (1, 0, Some(5)), true, &[0]).sends(10.5, 0, 4).judged();
    assert!(near(bank.contradiction_s, 0.5), "{bank:?}");
    let mut account = RecoveryReport::new();
    account.holds(12.0, (1, 9), json!({})).word(11.9, 12.0, 1, (1, 5, Some(9)), true, &[0]);
    let bank = account.word(14.0, 14.1, 1, (1, 5, Some(9)), true, &[0]).sends(13.0, 0, 4).judged();
    assert!(near(bank.contradiction_s, 1.0), "{bank:?}");
}

#[test]
fn who_sends_again_while_another_still_forbids_contradicts_until_the_last_that_does() {
    let mut account = RecoveryReport::new();
    account.stands(9.9, 10.0, 1, 5, true).stands(24.0, 24.1, 1, 5, true);
    account.asks(19.9, 0, OperatorVerb::Revision, "a").hears(20.0, 0, 200, Some(9));
    account.holds(20.2, (1, 9), json!({})).stands(20.1, 20.2, 0, 9, true).sends(20.5, 0, 4);
    let bank = account.judged();
    assert!(near(bank.contradiction_s, 3.5) && bank.contradictions[0].ahead, "{bank:?}");
    // Before anybody had asked for it, it can only have stayed behind.
    let bank = account.sends(19.0, 2, 4).judged();
    assert!(near(bank.contradiction_s, 9.0) && !bank.contradictions[0].ahead, "{bank:?}");
}

#[test]
fn once_all_have_let_it_in_nobody_contradicts() {
    let mut account = RecoveryReport::new();
    account.stands(9.9, 10.0, 1, 5, true).stands(20.3, 20.4, 1, 9, true);
    account.holds(20.2, (1, 9), json!({}));
    account
        .asks(19.9, 0, OperatorVerb::Revision, "a")
        .hears(20.0, 0, 200, Some(9))
        .sends(30.0, 0, 4);
    let bank = account.judged();
    assert_eq!((bank.contradicting, bank.sends), (0, 1), "{bank:?}");
}

#[test]
fn what_proves_nothing_is_left_out() {
    let contradicting = |change: &dyn Fn(&mut RecoveryReport)| {
        let mut account = RecoveryReport::new();
        change(&mut account);
        account.sends(15.0, 0, 4).judged().contradicting
    };
    let plain = |a: &mut RecoveryReport| {
        a.stands(9.9, 10.0, 1, 5, true);
    };
    assert_eq!(contradicting(&plain), 1);
    // Without a lease it acts on the charter; and what that allows no revision forbids.
    assert_eq!(
        contradicting(&|a| {
            a.stands(9.9, 10.0, 1, 5, false);
        }),
        0
    );
    assert_eq!(
        contradicting(&|a| {
            a.word(9.9, 10.0, 1, (1, 5, None), true, &[0, 2]);
        }),
        0
    );
    // Frozen between the question and the answer: nobody knows of which moment it tells.
    let frozen = |a: &mut RecoveryReport| {
        a.add(9.95, Observation::Paused { balancer: 1, start: 1 })
            .add(9.99, Observation::Resumed { balancer: 1, start: 1 });
        plain(a);
    };
    assert_eq!(contradicting(&frozen), 0);
    // Operators said that it is dead.
    let dead = |a: &mut RecoveryReport| {
        plain(a);
        a.asks(12.0, 0, OperatorVerb::Dead, "d");
    };
    assert_eq!(contradicting(&dead), 0);
    // The log was founded anew without that revision.
    let anew = |a: &mut RecoveryReport| {
        plain(a);
        a.holds(14.0, (2, 0), json!({})).word(13.9, 14.0, 1, (2, 0, None), true, &[0]);
    };
    assert_eq!(contradicting(&anew), 0);
}

#[test]
fn in_force_everywhere_is_a_word_of_all() {
    let mut account = RecoveryReport::new();
    account.asks(9.0, 0, OperatorVerb::Revision, "a");
    let (verb, status, number, everywhere, why) =
        (OperatorVerb::Revision, Some(200), Some(5), true, None);
    account.add(
        10.0,
        Observation::Heard { call: 0, balancer: 0, verb, status, number, everywhere, why },
    );
    account.stands(9.0, 9.1, 0, 0, true).stands(10.5, 10.6, 0, 5, true).sends(14.0, 2, 4);
    let bank = account.judged();
    assert!(near(bank.contradiction_s, 4.0) && bank.broken.len() == 1, "{bank:?}");
}

#[test]
fn a_question_has_one_answer_a_number_one_question_and_a_yes_is_not_lost() {
    let mut account = RecoveryReport::new();
    account.asks(5.0, 0, OperatorVerb::Revision, "a").hears(5.1, 0, 200, Some(5));
    account.stands(6.0, 6.1, 0, 5, true);
    assert_eq!(account.judged().broken, Vec::<String>::new());
    account.asks(7.0, 1, OperatorVerb::Revision, "b").hears(7.1, 1, 200, Some(5));
    let broken = account.judged().broken;
    assert!(broken.len() == 1 && broken[0].contains("to 2 questions"), "{broken:?}");
    account.0.retain(|(s, _)| *s < 7.0);
    account.asks(7.0, 1, OperatorVerb::Revision, "a").hears(7.1, 1, 409, None);
    let broken = account.judged().broken;
    assert!(broken.len() == 1 && broken[0].contains("in 2 ways"), "{broken:?}");
    account.0.retain(|(s, _)| *s < 7.0);
    account
        .asks(7.0, 1, OperatorVerb::Revision, "c")
        .hears(7.1, 1, 200, Some(9))
        .stands(30.0, 30.1, 0, 5, true);
    let broken = account.judged().broken;
    assert!(broken.len() == 1 && broken[0].contains("revision 9 was granted"), "{broken:?}");
    account.0.retain(|(s, _)| *s < 7.0);
    account.holds(8.0, (1, 5), json!({"out": {"pods": [2]}})).holds(
        9.0,
        (1, 5),
        json!({"out": {"pods": [3]}}),
    );
    let broken = account.judged().broken;
    assert!(broken.len() == 1 && broken[0].contains("two contents"), "{broken:?}");
}

#[test]
fn a_yes_may_be_gone_where_nobody_who_knew_it_could_be_asked_at_the_founding() {
    let mut account = RecoveryReport::new();
    account
        .asks(5.0, 0, OperatorVerb::Revision, "a")
        .hears(5.1, 0, 200, Some(5))
        .stands(6.0, 6.1, 0, 5, true);
    account.word(20.0, 20.1, 1, (2, 0, None), true, &[0]).word(
        21.0,
        21.1,
        0,
        (2, 0, None),
        true,
        &[0],
    );
    let bank = account.judged();
    assert_eq!((bank.broken.len(), bank.forgotten, bank.logs), (1, 0, 2), "{bank:?}");
    account.add(15.0, Observation::Killed { balancer: 0, start: 1 });
    let bank = account.judged();
    assert_eq!((bank.broken.len(), bank.forgotten), (0, 1), "{bank:?}");
}

#[test]
fn in_force_is_reckoned_over_those_that_were_well() {
    let mut account = RecoveryReport::new();
    account.asks(19.9, 0, OperatorVerb::Revision, "a").hears(20.0, 0, 200, Some(5));
    account
        .stands(20.2, 20.3, 0, 5, true)
        .stands(20.2, 20.4, 1, 5, false)
        .stands(20.5, 20.6, 1, 5, true);
    let bank = account.judged();
    let change = &bank.in_force_s.changes[0];
    assert_eq!((change.excused, change.missing, change.most_s), (0, 1, None), "{bank:?}");
    assert!(near(bank.in_force_s.at_all, 0.6), "{bank:?}");
    // Cut off when it could have been told.
    account
        .add(20.0, Observation::Fault { fault: 0, begins: true })
        .add(25.0, Observation::Fault { fault: 0, begins: false });
    let bank = account.stands(26.0, 26.1, 2, 5, true).judged();
    let change = &bank.in_force_s.changes[0];
    assert_eq!((change.excused, change.missing), (1, 0), "{bank:?}");
    assert!(near(bank.in_force_s.at_99, 0.6), "{bank:?}");
    let then = bank.over_time.iter().find(|m| near(m.at_s, 20.5)).expect("a moment");
    assert!(near(then.newest, 1.0 / 3.0) && near(then.leased, 1.0 / 3.0), "{then:?}");
}
