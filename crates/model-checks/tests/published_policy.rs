//! Publication of the policy that requests read: one value that is replaced as a whole. `loom` explores the
//! interleavings of a writer and two readers over a stand-in for `arc-swap`, and a stress test runs threads on the real
//! implementation.
//!
//! `arc-swap` itself can't run under `loom`. The stand-in assumes its guarantee that a load returns one whole value and
//! keeps it alive. The test checks the protocol built on it: a lease comes with its own rules, generations never go
//! back for one reader, a value lives while it is in use, and a change notification is never ahead of the value. The
//! same checks detect a protocol that publishes rules and lease one after the other.

use loom::sync::atomic::{AtomicUsize, Ordering};
use loom::sync::{Arc, Mutex};

const GENERATIONS: usize = 3;

/// All fields of a value derive from the number of its generation.
struct Value {
    rules: usize,
    until: usize,
    freed: Arc<[AtomicUsize; GENERATIONS]>,
}

impl Drop for Value {
    fn drop(&mut self) {
        self.freed[self.rules].store(1, Ordering::SeqCst);
    }
}

/// A place that holds the published value.
trait ValueSlot: Send + Sync + 'static {
    fn new(value: Value) -> Self;
    fn store(&self, value: Value);
    /// Returns the rules and the lease published with them, and checks that the value is alive while it is read.
    fn read(&self) -> (usize, usize);
}

/// The protocol in use: one pointer to one value.
struct SinglePointerSlot(Mutex<Arc<Value>>);

impl ValueSlot for SinglePointerSlot {
    fn new(value: Value) -> Self {
        Self(Mutex::new(Arc::new(value)))
    }
    fn store(&self, value: Value) {
        // The last reader drops the previous value, outside of the lock.
        let previous = std::mem::replace(&mut *self.0.lock().unwrap(), Arc::new(value));
        drop(previous);
    }
    fn read(&self) -> (usize, usize) {
        let current = self.0.lock().unwrap().clone();
        loom::thread::yield_now();
        let (rules, until) = (current.rules, current.until);
        assert_eq!(current.freed[rules].load(Ordering::SeqCst), 0, "freed under a reader");
        (rules, until)
    }
}

/// A faulty protocol: the lease is published separately from the pointer.
struct SeparateLeaseSlot {
    rules: Mutex<Arc<Value>>,
    until: AtomicUsize,
}

impl ValueSlot for SeparateLeaseSlot {
    fn new(value: Value) -> Self {
        let until = AtomicUsize::new(value.until);
        Self { rules: Mutex::new(Arc::new(value)), until }
    }
    fn store(&self, value: Value) {
        self.until.store(value.until, Ordering::SeqCst);
        *self.rules.lock().unwrap() = Arc::new(value);
    }
    fn read(&self) -> (usize, usize) {
        let current = self.rules.lock().unwrap().clone();
        (current.rules, self.until.load(Ordering::SeqCst))
    }
}

fn check_all_interleavings<P: ValueSlot>() {
    let mut builder = loom::model::Builder::new();
    // All interleavings with up to two preemptions. A search without a bound takes hours.
    builder.preemption_bound = Some(2);
    builder.check(|| {
        let freed = Arc::new(std::array::from_fn(|_| AtomicUsize::new(0)));
        let value = |generation: usize| Value {
            rules: generation,
            until: 100 + generation,
            freed: freed.clone(),
        };
        let slot = Arc::new(P::new(value(0)));
        let notified_generation = Arc::new(AtomicUsize::new(0));
        let readers: Vec<_> = (0..2)
            .map(|number| {
                let (slot, notified_generation) = (slot.clone(), notified_generation.clone());
                loom::thread::spawn(move || {
                    let mut last = 0;
                    for _ in 0..2 - number {
                        let notified = notified_generation.load(Ordering::SeqCst);
                        let (rules, until) = slot.read();
                        assert_eq!(until, 100 + rules, "the lease of another value");
                        assert!(rules >= last, "went back from {last} to {rules}");
                        assert!(
                            rules >= notified,
                            "notified of {notified}, which is not published"
                        );
                        last = rules;
                    }
                })
            })
            .collect();
        for generation in 1..GENERATIONS {
            slot.store(value(generation));
            notified_generation.store(generation, Ordering::SeqCst);
        }
        for reader in readers {
            reader.join().unwrap();
        }
    });
}

#[test]
fn no_reader_sees_the_rules_of_one_value_with_the_lease_of_another() {
    check_all_interleavings::<SinglePointerSlot>();
}

#[test]
#[should_panic(expected = "the lease of another value")]
fn detects_a_lease_that_is_published_separately_from_its_rules() {
    check_all_interleavings::<SeparateLeaseSlot>();
}

/// A stress test of the real implementation. It covers only the interleavings that occur, but runs the code in use.
#[test]
fn published_policy_returns_whole_values_that_never_go_back() {
    use hollowpaddle_gateway::cluster::PublishedPolicy;
    use hollowpaddle_revision::document::Document;
    use hollowpaddle_revision::fallback_policy::FallbackPolicy;
    use hollowpaddle_revision::in_force::InForce;
    use hollowpaddle_revision::message::Generation;
    use hollowpaddle_revision::rules::Rules;
    use std::sync::Arc;
    use std::sync::atomic::{AtomicBool, Ordering};
    use std::time::Duration;

    let fallback_policy = Arc::new(Rules::from_fallback_policy(&FallbackPolicy::default()));
    let value = |index: u64| InForce {
        rules: Arc::new(Rules::of(
            Document { oldest_list: index, ..Document::default() },
            fallback_policy.floor().clone(),
        )),
        generation: Generation { epoch: 1, index },
        until: Duration::from_millis(index),
        fallback_policy: fallback_policy.clone(),
    };
    let published = PublishedPolicy::new(value(0));
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                let mut last = 0;
                while !stop.load(Ordering::Relaxed) {
                    let in_force = published.in_force();
                    let index = in_force.generation.index;
                    assert_eq!(in_force.until, Duration::from_millis(index));
                    assert_eq!(in_force.rules.oldest_list(), index);
                    assert!(index >= last);
                    last = index;
                }
            });
        }
        for index in 1..20_000 {
            published.write(value(index), Duration::ZERO);
        }
        stop.store(true, Ordering::Relaxed);
    });
}
