//! Tests of single stand-ins on the simulated network.

use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_rehearsal::list::NodeList;
use hollowpaddle_rehearsal::node::Node;
use hollowpaddle_rehearsal::plan::Plan;
use hollowpaddle_rehearsal::record::{At, AttemptOutcome, Observation, Phase};
use hollowpaddle_rehearsal::run_context::{Host, RunContext, Testbed};
use hollowpaddle_rehearsal::scenario::Scenario;
use hollowpaddle_rehearsal::wire::{ConnectionEnd, Direction, Exchange, Message};
use serde_json::Value;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const SCENARIO: &str = r#"
name = "by hand"
length_s = 30

[fleet]
zones = ["a"]
nodes = 4
cell_size = 2

[[fleet.kinds]]
name = "std"
speed_cv = 0.0
slots = 1
queue = 1
cold_s = 10
connections = 3
handshake_ms = 0

[balancers]
count = 2

[[classes]]
name = "safe"
work_ms = 100
work_cv = 0.0
aim_ms = 1000
deadline_ms = 2000
effect = "safe"

[[classes]]
name = "keyed"
work_ms = 100
work_cv = 0.0
aim_ms = 1000
deadline_ms = 2000
effect = "keyed"
window_ms = 1000

[load]
of_capacity = 0.5

[list]
period_ms = 100
call_ms = 50
call_timeout_ms = 100
"#;

const SAFE: usize = 0;
const KEYED: usize = 1;
const SECOND: Duration = Duration::from_secs(1);

/// Runs a test in a context of its own, with four running nodes.
fn with_running_nodes<F: Future<Output = ()>>(
    test: impl FnOnce(Rc<RunContext>, Vec<Rc<Node>>) -> F,
) {
    let scenario = Scenario::read("by-hand.toml", SCENARIO).expect("sound");
    let plan = Plan::generate(&scenario, 1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let testbed = Testbed::simulated(&scenario, &plan);
        let context = RunContext::new(scenario, plan, testbed);
        let nodes: Vec<_> = (0..4).map(|n| Node::new(&context, n)).collect();
        nodes.iter().for_each(|n| n.start(false, None).expect("it listens"));
        test(context, nodes).await;
    });
}

/// Returns the nth request of a class.
fn request(context: &RunContext, class: usize, nth: usize) -> u32 {
    let mut all = context.plan.arrivals.iter().enumerate().filter(|(_, a)| a.class == class);
    all.nth(nth).expect("so many").0 as u32
}

async fn connect(context: &RunContext, node: &Node, balancer: usize) -> Exchange {
    let network = context.testbed.network(Host::Balancer(balancer));
    Exchange::new(network.connect(node.address(balancer)).await.expect("it listens"))
}

async fn ask(
    context: &RunContext,
    exchange: &mut Exchange,
    request: u32,
) -> Result<Message, ConnectionEnd> {
    let text = context.request_text(request, SECOND);
    exchange.write(text.as_bytes()).await.expect("open");
    exchange.message(Direction::Responses).await
}

fn outcomes(context: &RunContext) -> Vec<AttemptOutcome> {
    let outcome = |l: hollowpaddle_rehearsal::record::Line| match l.seen {
        Observation::Ended { outcome, .. } => Some(outcome),
        _ => None,
    };
    context.record.take().into_iter().filter_map(outcome).collect()
}

#[test]
fn a_node_takes_its_work_time_and_rejects_requests_beyond_its_queue() {
    with_running_nodes(|context, nodes| async move {
        let from = Instant::now();
        let ask_one = |nth| {
            let (context, node) = (context.clone(), nodes[0].clone());
            spawn_local(async move {
                let mut exchange = connect(&context, &node, 0).await;
                let answer = ask(&context, &mut exchange, request(&context, SAFE, nth)).await;
                let answer = answer.expect("an answer");
                (answer.status(), from.elapsed().as_millis())
            })
        };
        let all = [ask_one(0), ask_one(1), ask_one(2)];
        let mut got = Vec::new();
        for one in all {
            got.push(one.await.expect("it ends"));
        }
        // One request runs, one waits (contention makes both slower than alone), and one is
        // rejected at once.
        assert_eq!(got.iter().filter(|g| g.0 == 503).count(), 1, "{got:?}");
        let mut served: Vec<u128> = got.iter().filter(|g| g.0 == 200).map(|g| g.1).collect();
        served.sort_unstable();
        assert!((100..200).contains(&served[0]) && (200..400).contains(&served[1]), "{got:?}");
        let mut outcomes = outcomes(&context);
        outcomes.sort_by_key(|f| format!("{f:?}"));
        assert_eq!(
            outcomes,
            [AttemptOutcome::Rejected, AttemptOutcome::Served, AttemptOutcome::Served]
        );
    });
}

#[test]
fn a_keyed_repeat_is_dropped_only_by_its_cell_during_its_window() {
    with_running_nodes(|context, nodes| async move {
        let one = request(&context, KEYED, 0);
        let cells: Vec<u32> = (0..4).map(|n| context.plan.machines[n].cell).collect();
        assert_eq!(cells, [0, 0, 1, 1]);
        for node in [0, 1, 2] {
            let mut exchange = connect(&context, &nodes[node], 0).await;
            assert_eq!(ask(&context, &mut exchange, one).await.expect("an answer").status(), 200);
        }
        sleep(SECOND).await;
        let mut exchange = connect(&context, &nodes[1], 0).await;
        assert_eq!(ask(&context, &mut exchange, one).await.expect("an answer").status(), 200);
        use AttemptOutcome::{Dropped, Served};
        assert_eq!(
            outcomes(&context),
            [Served, Dropped, Served, Served],
            "the key expires after the window"
        );
    });
}

#[test]
fn a_draining_node_or_one_with_too_many_connections_rejects() {
    with_running_nodes(|context, nodes| async move {
        let mut held = Vec::new();
        for _ in 0..3 {
            held.push(connect(&context, &nodes[0], 0).await);
            sleep(Duration::from_millis(1)).await;
        }
        let mut over = connect(&context, &nodes[0], 1).await;
        let answer = ask(&context, &mut over, request(&context, SAFE, 0)).await.expect("an answer");
        assert_eq!((answer.status(), answer.header("x-not-run")), (503, Some("1")));
        let answer =
            ask(&context, &mut held[0], request(&context, SAFE, 1)).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        nodes[0].drain(true);
        let answer =
            ask(&context, &mut held[0], request(&context, SAFE, 2)).await.expect("an answer");
        assert_eq!((answer.status(), answer.header("x-not-run")), (503, Some("1")));
    });
}

#[test]
fn a_dead_process_resets_connections_and_restarts_cold_at_its_address() {
    with_running_nodes(|context, nodes| async move {
        let (node, address) = (nodes[0].clone(), nodes[0].address(0));
        let mut exchange = connect(&context, &node, 0).await;
        let killer = node.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(50)).await;
            killer.die(true);
        });
        let end =
            ask(&context, &mut exchange, request(&context, SAFE, 0)).await.expect_err("it died");
        assert!(matches!(end, ConnectionEnd::Reset { .. }), "{end:?}");
        assert_eq!(outcomes(&context), [AttemptOutcome::Died]);
        let network = context.testbed.network(Host::Balancer(0));
        assert!(network.connect(address).await.is_err() && !node.serves());
        node.die(false);
        node.start(true, None).expect("it listens");
        assert_eq!(node.address(0), address);
        assert!(node.since() > At(0));
        let from = Instant::now();
        let mut exchange = connect(&context, &node, 0).await;
        ask(&context, &mut exchange, request(&context, SAFE, 1)).await.expect("an answer");
        assert!(from.elapsed() > Duration::from_millis(300), "cold: {:?}", from.elapsed());
    });
}

#[test]
fn a_vanished_machine_is_silent_and_resets_when_it_returns() {
    with_running_nodes(|context, nodes| async move {
        let node = nodes[0].clone();
        let mut exchange = connect(&context, &node, 0).await;
        sleep(Duration::from_millis(1)).await;
        node.vanish(true);
        let text = context.request_text(request(&context, SAFE, 0), SECOND);
        exchange.write(text.as_bytes()).await.expect("taken by the kernel");
        let silent = timeout(10 * SECOND, exchange.message(Direction::Responses)).await;
        assert!(silent.is_err(), "{silent:?}");
        let network = context.testbed.network(Host::Balancer(0));
        let never = timeout(10 * SECOND, network.connect(node.address(0))).await;
        assert!(never.is_err(), "the connection was established or refused");
        let lines = context.record.take();
        let dark = |l: &hollowpaddle_rehearsal::record::Line| {
            matches!(l.seen, Observation::Attempt { dark: true, .. })
        };
        assert!(lines.iter().any(dark), "the attempt must be recorded: {lines:?}");
        node.vanish(false);
        node.start(true, None).expect("it listens");
        let end = exchange
            .message(Direction::Responses)
            .await
            .expect_err("the connection belongs to the previous process");
        assert!(matches!(end, ConnectionEnd::Reset { .. }), "{end:?}");
        connect(&context, &node, 0).await;
    });
}

#[test]
fn a_cut_affects_only_one_balancer() {
    with_running_nodes(|context, nodes| async move {
        let node = nodes[0].clone();
        let mut cut = connect(&context, &node, 1).await;
        sleep(Duration::from_millis(1)).await;
        node.cut(1, true);
        let text = context.request_text(request(&context, SAFE, 0), SECOND);
        cut.write(text.as_bytes()).await.expect("taken by the kernel");
        let mut other = connect(&context, &node, 0).await;
        ask(&context, &mut other, request(&context, SAFE, 1)).await.expect("an answer");
        assert!(timeout(2 * SECOND, cut.message(Direction::Responses)).await.is_err());
        node.cut(1, false);
        assert!(matches!(
            cut.message(Direction::Responses).await,
            Err(ConnectionEnd::Reset { .. })
        ));
        ask(&context, &mut other, request(&context, SAFE, 2)).await.expect("still there");
    });
}

#[test]
fn an_overloaded_cold_node_stays_down() {
    with_running_nodes(|context, nodes| async move {
        let node = nodes[0].clone();
        node.stop();
        node.start(true, None).expect("it listens");
        let watching = node.clone();
        let overloaded = spawn_local(async move {
            watching.changed().await;
            watching.stop();
        });
        // Four times 0.25 of a core for 2 s, and three requests: 23 of 100 ms.
        let mut exchange = connect(&context, &node, 0).await;
        let mut sent = 0;
        while !overloaded.is_finished() {
            let text = context.request_text(request(&context, SAFE, sent), SECOND);
            if exchange.write(text.as_bytes()).await.is_err() {
                break;
            }
            let _ = timeout(Duration::from_millis(1), exchange.message(Direction::Responses)).await;
            if sent % 2 == 1 {
                let network = context.testbed.network(Host::Balancer(0));
                let Ok(stream) = network.connect(node.address(0)).await else { break };
                exchange = Exchange::new(stream);
            }
            sent += 1;
            assert!(sent < 60, "the node is never overloaded");
        }
        assert!(sent >= 20, "after {sent}");
        assert!(!node.may_run() && !node.serves());
    });
}

async fn watch(context: &RunContext, list: &NodeList, index: u64) -> Lines {
    let network = context.testbed.network(Host::Balancer(0));
    let mut exchange = Exchange::new(network.connect(list.address(0)).await.expect("it listens"));
    let call = format!("GET /api/targets?stream=1&index={index} HTTP/1.1\r\nHost: a\r\n\r\n");
    exchange.write(call.as_bytes()).await.expect("open");
    Lines { exchange, text: String::new() }
}

/// The lines of a watch, in order.
struct Lines {
    exchange: Exchange,
    text: String,
}

impl Lines {
    /// Returns the next line that is not a heartbeat; `None` if none comes in ten seconds.
    async fn next(&mut self) -> Option<Value> {
        let end = Instant::now() + 10 * SECOND;
        loop {
            while let Some((line, rest)) = self.text.split_once('\n') {
                let list = serde_json::from_str::<Value>(line.trim()).ok();
                self.text = rest.to_string();
                if let Some(list) = list.filter(Value::is_object) {
                    return Some(list);
                }
            }
            let received = tokio::time::timeout_at(end, self.exchange.some()).await.ok()?.ok()?;
            self.text.push_str(&String::from_utf8_lossy(&received));
        }
    }
}

fn phases(list: &Value) -> Vec<&str> {
    let members = list["members"].as_array().expect("members");
    members.iter().map(|m| m["phase"].as_str().expect("a phase")).collect()
}

#[test]
fn a_watch_sends_the_whole_list_then_changes_and_each_is_recorded() {
    with_running_nodes(|context, nodes| async move {
        let list = NodeList::start(&context, &nodes).expect("it listens");
        let mut lines = watch(&context, &list, 0).await;
        let first = lines.next().await.expect("a list");
        assert_eq!((&first["complete"], phases(&first).len()), (&true.into(), 4));
        list.schedule_change(2, Phase::Draining, At(0), 3 * SECOND);
        let from = Instant::now();
        let second = lines.next().await.expect("a change");
        assert!(from.elapsed() >= 3 * SECOND && from.elapsed() < 4 * SECOND);
        assert_eq!((&second["complete"], phases(&second)), (&false.into(), vec!["DRAINING"]));
        let is_update = |l: &hollowpaddle_rehearsal::record::Line| {
            let at = Observation::ListUpdate {
                balancer: 0,
                node: 2,
                phase: Phase::Draining,
                since: At(0),
                revision: 2,
            };
            l.seen == at
        };
        assert_eq!(context.record.take().iter().filter(|l| is_update(l)).count(), 1);
        let mut later = watch(&context, &list, 1).await;
        assert_eq!(phases(&later.next().await.expect("the changes since")), ["DRAINING"]);
    });
}

#[test]
fn a_later_change_of_a_node_is_not_undone_by_a_slower_earlier_one() {
    with_running_nodes(|context, nodes| async move {
        let list = NodeList::start(&context, &nodes).expect("it listens");
        let mut lines = watch(&context, &list, 0).await;
        lines.next().await.expect("a list");
        list.schedule_change(1, Phase::Deleted, At(0), 5 * SECOND);
        list.schedule_change(1, Phase::Serving, At(7), SECOND);
        assert_eq!(phases(&lines.next().await.expect("a change")), ["SERVING"]);
        assert_eq!(lines.next().await, None, "the node is back by then");
    });
}

#[test]
fn list_faults_make_it_silent_stale_or_out_of_order() {
    with_running_nodes(|context, nodes| async move {
        let list = NodeList::start(&context, &nodes).expect("it listens");
        let mut lines = watch(&context, &list, 0).await;
        lines.next().await.expect("a list");
        list.stale(true);
        list.schedule_change(0, Phase::Draining, At(0), Duration::ZERO);
        assert_eq!(lines.next().await, None);
        list.stale(false);
        list.disorder(true);
        let received = [lines.next().await, lines.next().await, lines.next().await];
        let revision = |l: &Option<Value>| l.as_ref().and_then(|l| l["revision"].as_u64());
        let revisions: Vec<_> = received.iter().map(revision).collect();
        assert_eq!(revisions, [Some(2), Some(2), Some(1)], "repeated, then an older one");
        list.down(true);
        assert_eq!(lines.next().await, None);
        let network = context.testbed.network(Host::Balancer(0));
        let never = timeout(10 * SECOND, network.connect(list.address(0))).await;
        assert!(never.is_err(), "the list is unreachable");
        list.down(false);
        list.disorder(false);
        sleep(SECOND).await;
        assert!(watch(&context, &list, 0).await.next().await.is_some());
    });
}

#[test]
fn a_moved_list_closes_its_old_address_after_a_delay() {
    with_running_nodes(|context, nodes| async move {
        let list = NodeList::start(&context, &nodes).expect("it listens");
        let old = list.address(0);
        let mut lines = watch(&context, &list, 0).await;
        lines.next().await.expect("a list");
        list.relocate().expect("it listens");
        let mut anew = watch(&context, &list, 0).await;
        anew.next().await.expect("a list");
        let network = context.testbed.network(Host::Balancer(0));
        assert!(network.connect(old).await.is_err() && list.address(0) != old);
        list.schedule_change(0, Phase::Draining, At(0), Duration::ZERO);
        assert!(lines.next().await.is_some(), "open for a moment more");
        sleep(2 * SECOND).await;
        list.schedule_change(1, Phase::Draining, At(0), Duration::ZERO);
        assert!(anew.next().await.is_some() && anew.next().await.is_some());
        assert_eq!(lines.next().await, None, "closed");
    });
}

#[test]
fn calls_queue_and_one_that_would_wait_too_long_fails() {
    with_running_nodes(|context, nodes| async move {
        let list = NodeList::start(&context, &nodes).expect("it listens");
        let call = || {
            let (context, list) = (context.clone(), list.clone());
            spawn_local(async move {
                let network = context.testbed.network(Host::Balancer(1));
                let stream = network.connect(list.address(1)).await.expect("it listens");
                let mut exchange = Exchange::new(stream);
                let text = b"GET /api/targets HTTP/1.1\r\nHost: a\r\n\r\n";
                exchange.write(text).await.expect("open");
                exchange.message(Direction::Responses).await.expect("an answer").status()
            })
        };
        let mut answers = Vec::new();
        for one in (0..5).map(|_| call()).collect::<Vec<_>>() {
            answers.push(one.await.expect("it ends"));
        }
        // Each call takes 50 ms, and waits at most 100 ms for its turn.
        assert_eq!(answers, [200, 200, 200, 503, 503]);
        let failed = |l: &hollowpaddle_rehearsal::record::Line| {
            matches!(l.seen, Observation::ListCallFailed { balancer: 1, watch: None })
        };
        assert_eq!(context.record.take().iter().filter(|l| failed(l)).count(), 2);
    });
}
