//! What requests read: one value replaced as a whole. `loom` tries every order of the steps of a writer and two readers over a
//! stand-in; threads beat on the real one.
//!
//! What this shows, and what not: `arc-swap` itself can't run under `loom`. The stand-in takes its promise for granted (a
//! load gives one whole value and keeps it alive), and what is checked is that the protocol built on it holds: the lease
//! beside its own rules, stages that never go back for one reader, a value alive while it is held, and a word of change
//! that is never ahead of the value. The same checks find a protocol that publishes rules and lease one after the other.

use loom::sync::atomic::{AtomicUsize, Ordering};
use loom::sync::{Arc, Mutex};

const STAGES: usize = 3;

/// Of one stage all figures are made from its number.
struct Value {
    rules: usize,
    until: usize,
    freed: Arc<[AtomicUsize; STAGES]>,
}

impl Drop for Value {
    fn drop(&mut self) {
        self.freed[self.rules].store(1, Ordering::SeqCst);
    }
}

/// Where the value lies.
trait Place: Send + Sync + 'static {
    fn begin(value: Value) -> Self;
    fn put(&self, value: Value);
    /// Rules and the lease beside them, checked to be alive while they are read.
    fn read(&self) -> (usize, usize);
}

/// As it is: one pointer to one value.
struct Whole(Mutex<Arc<Value>>);

impl Place for Whole {
    fn begin(value: Value) -> Self {
        Self(Mutex::new(Arc::new(value)))
    }
    fn put(&self, value: Value) {
        // The former value goes when its last reader lets go of it, outside of the lock.
        let former = std::mem::replace(&mut *self.0.lock().unwrap(), Arc::new(value));
        drop(former);
    }
    fn read(&self) -> (usize, usize) {
        let held = self.0.lock().unwrap().clone();
        loom::thread::yield_now();
        let (rules, until) = (held.rules, held.until);
        assert_eq!(held.freed[rules].load(Ordering::SeqCst), 0, "freed under a reader");
        (rules, until)
    }
}

/// As it must not be: the lease beside the pointer.
struct Torn {
    rules: Mutex<Arc<Value>>,
    until: AtomicUsize,
}

impl Place for Torn {
    fn begin(value: Value) -> Self {
        let until = AtomicUsize::new(value.until);
        Self { rules: Mutex::new(Arc::new(value)), until }
    }
    fn put(&self, value: Value) {
        self.until.store(value.until, Ordering::SeqCst);
        *self.rules.lock().unwrap() = Arc::new(value);
    }
    fn read(&self) -> (usize, usize) {
        let held = self.rules.lock().unwrap().clone();
        (held.rules, self.until.load(Ordering::SeqCst))
    }
}

fn tried<P: Place>() {
    let mut builder = loom::model::Builder::new();
    // All orders with up to two switches that no thread asked for; all at all take hours.
    builder.preemption_bound = Some(2);
    builder.check(|| {
        let freed = Arc::new(std::array::from_fn(|_| AtomicUsize::new(0)));
        let value = |generation: usize| Value {
            rules: generation,
            until: 100 + generation,
            freed: freed.clone(),
        };
        let place = Arc::new(P::begin(value(0)));
        let told = Arc::new(AtomicUsize::new(0));
        let readers: Vec<_> = (0..2)
            .map(|number| {
                let (place, told) = (place.clone(), told.clone());
                loom::thread::spawn(move || {
                    let mut last = 0;
                    for _ in 0..2 - number {
                        let changed = told.load(Ordering::SeqCst);
                        let (rules, until) = place.read();
                        assert_eq!(until, 100 + rules, "the lease of another value");
                        assert!(rules >= last, "back from {last} to {rules}");
                        assert!(rules >= changed, "told of {changed}, and it is not there");
                        last = rules;
                    }
                })
            })
            .collect();
        for generation in 1..STAGES {
            place.put(value(generation));
            told.store(generation, Ordering::SeqCst);
        }
        for reader in readers {
            reader.join().unwrap();
        }
    });
}

#[test]
fn no_reader_sees_the_rules_of_one_value_with_the_lease_of_another() {
    tried::<Whole>();
}

#[test]
#[should_panic(expected = "the lease of another value")]
fn a_lease_that_is_published_beside_its_rules_is_caught() {
    tried::<Torn>();
}

/// The real one, with threads as they come: weak, but it is what runs.
#[test]
fn the_real_one_gives_whole_values_that_never_go_back() {
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
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                let mut last = 0;
                while !over.load(Ordering::Relaxed) {
                    let whole = published.in_force();
                    let index = whole.generation.index;
                    assert_eq!(whole.until, Duration::from_millis(index));
                    assert_eq!(whole.rules.oldest_list(), index);
                    assert!(index >= last);
                    last = index;
                }
            });
        }
        for index in 1..20_000 {
            published.write(value(index), Duration::ZERO);
        }
        over.store(true, Ordering::Relaxed);
    });
}
