//! A watched value with a deterministic wake-up order. `tokio::sync::watch` wakes its receivers in
//! random order. This one wakes them in the order in which they began to wait, so that a run can be
//! repeated.

use std::cell::{Cell, Ref, RefCell};
use std::pin::pin;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Shared<T> {
    value: RefCell<T>,
    version: Cell<u64>,
    changed: Notify,
}

/// The sending side of the watched value.
#[derive(Debug, Default)]
pub struct OrderedWatch<T>(Rc<Shared<T>>);

/// The receiving side, which remembers the last version it has seen.
#[derive(Debug)]
pub struct WatchReceiver<T> {
    shared: Rc<Shared<T>>,
    seen: u64,
}

impl<T> OrderedWatch<T> {
    /// Creates a watched value without receivers.
    pub fn new(value: T) -> Self {
        let (value, version) = (RefCell::new(value), Cell::new(0));
        Self(Rc::new(Shared { value, version, changed: Notify::new() }))
    }

    /// Returns the current value.
    pub fn get(&self) -> Ref<'_, T> {
        self.0.value.borrow()
    }

    /// Modifies the value and wakes all waiting receivers.
    pub fn send_modify(&self, f: impl FnOnce(&mut T)) {
        f(&mut self.0.value.borrow_mut());
        self.0.version.set(self.0.version.get() + 1);
        self.0.changed.notify_waiters();
    }

    /// Returns a new receiver, for which the current value counts as seen.
    pub fn subscribe(&self) -> WatchReceiver<T> {
        WatchReceiver { shared: self.0.clone(), seen: self.0.version.get() }
    }
}

impl<T> WatchReceiver<T> {
    /// Returns the current value and marks it as seen.
    pub fn borrow_and_update(&mut self) -> Ref<'_, T> {
        self.seen = self.shared.version.get();
        self.shared.value.borrow()
    }

    /// Waits for a value that was not seen yet, and marks it as seen.
    pub async fn changed(&mut self) {
        while self.seen == self.shared.version.get() {
            let mut notified = pin!(self.shared.changed.notified());
            notified.as_mut().enable();
            if self.seen == self.shared.version.get() {
                notified.await;
            }
        }
        self.seen = self.shared.version.get();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::{LocalSet, spawn_local};

    #[tokio::test]
    async fn waiters_wake_in_order_and_miss_no_change() {
        let (value, order) = (OrderedWatch::new(0), Rc::new(RefCell::new(Vec::new())));
        LocalSet::new()
            .run_until(async {
                let waits = |i: usize| {
                    let (mut watcher, order) = (value.subscribe(), order.clone());
                    spawn_local(async move {
                        for _ in 0..2 {
                            watcher.changed().await;
                            order.borrow_mut().push((i, *watcher.borrow_and_update()));
                        }
                    })
                };
                let tasks: Vec<_> = (0..20).map(waits).collect();
                tokio::task::yield_now().await;
                value.send_modify(|v| *v = 1);
                tokio::task::yield_now().await;
                value.send_modify(|v| *v = 2);
                for task in tasks {
                    task.await.expect("it ends");
                }
            })
            .await;
        let expected: Vec<_> = (1..=2).flat_map(|v| (0..20).map(move |i| (i, v))).collect();
        assert_eq!(*order.borrow(), expected);
        let mut late = value.subscribe();
        value.send_modify(|v| *v = 3);
        late.changed().await;
        assert_eq!(*late.borrow_and_update(), 3);
    }
}
