//! Coordination of several processes of one balancer, as in a restart: decides which process serves, and hands off learned
//! estimates to the next process.

use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_operator_commands::{OperatorState, Store};
use tokio::time::{Instant, sleep};

use super::{Admin, ManagedBalancer, RETRY_INTERVAL};

/// Interval between reads of the store. Commands to another process of this balancer take effect in this process with this
/// delay.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait of a start for the learned estimates of an older process, which reads the store every [`POLL_INTERVAL`].
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait of a start for discovery. After this time the process serves by the last known list, which may name
/// upstreams that are gone.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

impl<B: ManagedBalancer + 'static> Admin<B> {
    /// Applies commands that other processes received, and announces to them when this process can serve. Runs while the
    /// future is polled.
    pub async fn follow_store(self: Rc<Self>) {
        loop {
            let changed = self.store.borrow_mut().as_mut().map(Store::read_if_changed).transpose();
            match changed {
                Ok(Some(Some(state))) => drop(self.apply(state).await),
                Ok(_) => {}
                Err(cause) => tracing::error!(%cause, "operator commands unreadable"),
            }
            // Checked even without a change: a command to this process after a newer process has joined has already read the
            // change that the newer process made.
            self.hand_off_learned().await;
            if !self.is_serving.get() && self.can_serve() {
                self.restore_learned().await;
                self.announce().await;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until clients may be accepted. Returns immediately, unless an older process of this balancer still serves
    /// clients and this process can't serve yet.
    pub async fn wait_to_serve(&self) {
        let has_older =
            || self.is_any_alive(|state, number| state.started_before(number).collect());
        if has_older() {
            tracing::info!("waiting to serve: an older process of this balancer still does");
        }
        // Checked in each iteration: once the older process is dead, only this process can answer clients, even if only with
        // an error.
        while !self.is_serving.get() && has_older() {
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Returns whether a process that was started later serves in place of this process.
    pub fn has_successor(&self) -> bool {
        self.is_any_alive(|state, number| state.serving_after(number).collect())
    }

    /// Returns whether any process that `select` returns for the current state and the number of this process is alive.
    fn is_any_alive(&self, select: impl Fn(&OperatorState, u64) -> Vec<u64>) -> bool {
        let Some(own) = &self.registration else { return false };
        let store = self.store.borrow();
        let Some(store) = store.as_ref() else { return false };
        // `read_if_changed` is not used, because it would mark changes as read that `follow_store` has not applied yet.
        let state = store.read().unwrap_or_else(|_| self.state.borrow().clone());
        select(&state, own.number).into_iter().any(|number| store.is_alive(number))
    }

    /// Hands off the learned estimates to a newer process, if there is one.
    async fn hand_off_learned(&self) {
        let Some(own) = &self.registration else { return };
        let newest = self.state.borrow().processes.keys().max().copied().unwrap_or(0);
        if newest <= own.number.max(self.handed_off_to.get()) {
            return;
        }
        self.handed_off_to.set(newest);
        let Some(learned) = self.balancer.learned().await else { return };
        let Ok(text) = serde_json::to_vec(&learned) else { return };
        let written = self.store.borrow().as_ref().map(|s| s.write_handoff(own.number, &text));
        if let Some(Err(cause)) = written {
            tracing::warn!(%cause, "learned estimates not handed off to the next process");
        }
    }

    /// Restores the learned estimates of an older process, if that process hands them off in time.
    async fn restore_learned(&self) {
        let until = Instant::now() + HANDOFF_TIMEOUT;
        let newest_older = |state: &OperatorState, number| {
            state.started_before(number).next().into_iter().collect()
        };
        while self.is_any_alive(newest_older) {
            if let Some(learned) = self.read_handoff() {
                self.balancer.restore_learned(learned);
                return;
            }
            if Instant::now() >= until {
                tracing::warn!("no learned estimates handed off by the older process");
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Reads the learned estimates that the newest older process has handed off.
    fn read_handoff(&self) -> Option<hollowpaddle_policy::learned::Learned> {
        let own = self.registration.as_ref()?;
        let older = self.state.borrow().started_before(own.number).next()?;
        let text = self.store.borrow().as_ref()?.read_handoff(older)?;
        serde_json::from_slice(&text).ok()
    }

    fn can_serve(&self) -> bool {
        let has_waited = || self.started_at.elapsed() >= FIRST_LIST_TIMEOUT;
        self.balancer.is_ready() && (self.balancer.has_list() || has_waited())
    }

    /// Announces to other processes that this process serves.
    async fn announce(&self) {
        if let Some(own) = &self.registration {
            let number = own.number;
            if let Err(cause) = self.change(move |state| state.mark_serving(number)).await {
                tracing::error!(%cause, "serving not announced to the older process");
            }
        }
        self.is_serving.set(true);
    }
}
