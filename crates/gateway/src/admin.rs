//! The admin API of one balancer: receives operators' calls, stores the commands in force for the next process, and passes
//! them to the balancer.
//!
//! The package `hollowpaddle_operator_commands` defines the calls, and the balancer carries out the commands. The module
//! `server` contains the HTTP server and its routes, `handlers` the individual calls, and `processes` the coordination with
//! other processes of this balancer.

mod handlers;
mod processes;
mod server;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::Listener;
use hollowpaddle_operator_commands::{
    OperatorState, OperatorStateCopy, ProcessRegistration, RecoveredCopy, Store, StoreError,
};
use hollowpaddle_policy::learned::Learned;
use tokio::time::{Instant, sleep};

use crate::cluster::admin_api::{AdminRequest, AdminResponse};

/// Maximum time of retrying a change while another process blocks the store. Callers wait 1 s.
const BUSY_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between retries of an operation that waits for another process or balancer.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The resources that the program provides for the admin API.
#[derive(Default)]
pub struct OperatorAccess {
    /// Listener of the admin API; `None` if the admin API is disabled.
    pub listener: Option<Box<dyn Listener>>,
    /// Store of operator commands. Without a store, commands are lost when the process ends.
    pub store: Option<Store>,
}

/// The interface of the balancer for operator commands.
pub trait ManagedBalancer {
    /// Returns whether requests may be sent to any upstream.
    fn is_ready(&self) -> bool;
    /// Returns whether discovery has delivered a list since the start.
    fn has_list(&self) -> bool;
    /// Returns whether a list has named this upstream.
    fn has_named(&self, name: String) -> impl Future<Output = bool>;
    /// Cordons exactly these upstreams. The command is sent immediately. The returned future waits until the command is
    /// carried out, and resolves to whether it was.
    fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool>;
    /// Starts or stops rejecting clients.
    fn quiesce(&self, quiesced: bool);
    /// Returns the estimates learned so far; `None` once the engine has ended.
    fn learned(&self) -> impl Future<Output = Option<Learned>>;
    /// Restores the estimates that another process of this balancer has learned.
    fn restore_learned(&self, learned: Learned);
    /// Returns the report of the start and the status of saving for the next start, as JSON.
    fn start_status(&self) -> serde_json::Value;
    /// Returns the copy of operator commands that was found outside of the store.
    fn recovered_copy(&self) -> RecoveredCopy;
    /// Saves a copy of operator commands, in case the store is lost.
    fn save_copy(&self, copy: OperatorStateCopy);
    /// Returns whether this balancer belongs to a cluster that agrees on a policy.
    fn is_clustered(&self) -> bool;
    /// Returns the cluster's response to a request, by `deadline`; `None` if there is no cluster.
    fn request_from_cluster(
        &self,
        request: AdminRequest,
        deadline: Instant,
    ) -> impl Future<Output = Option<AdminResponse>>;
}

/// The admin API, and the balancer that it manages.
pub struct Admin<B> {
    balancer: B,
    store: RefCell<Option<Store>>,
    registration: Option<ProcessRegistration>,
    /// The state that was applied last.
    state: RefCell<OperatorState>,
    started_at: Instant,
    /// Whether other processes can see that this process serves.
    is_serving: Cell<bool>,
    /// Number of the newest process to which this process has handed off its learned estimates.
    handed_off_to: Cell<u64>,
}

/// The store after this process has joined, and the state at the start.
struct Joined {
    store: Option<Store>,
    registration: Option<ProcessRegistration>,
    state: OperatorState,
}

impl Joined {
    /// Joins the processes of this balancer. An unreadable file is set aside, and a lost file is recovered from the copy if
    /// there is one.
    async fn with_store(mut store: Store, copy: &RecoveredCopy) -> Result<Self, StoreError> {
        let mut damage = None;
        if let Err(cause @ StoreError::Malformed { .. }) = store.read() {
            let aside = store.set_aside()?;
            tracing::error!(%cause, file = %aside.display(), "operator commands set aside");
            damage = Some(cause.to_string());
        }
        if damage.is_some() || *copy != RecoveredCopy::Absent && store.is_empty() {
            let recover = |state: &mut OperatorState| state.recover(damage.as_deref(), copy);
            let state = retry_while_busy(|| store.change(recover)).await?;
            warn_if_suspect(&state);
        }
        let (registration, state) = retry_while_busy(|| store.join()).await?;
        Ok(Self { store: Some(store), registration: Some(registration), state })
    }

    /// Starts without a store. `damage` is the reason if the store can't be used.
    fn without_store(damage: Option<&str>, copy: &RecoveredCopy) -> Self {
        let mut state = OperatorState::default();
        state.recover(damage, copy);
        warn_if_suspect(&state);
        Self { store: None, registration: None, state }
    }
}

fn warn_if_suspect(state: &OperatorState) {
    if let Some(suspect) = &state.suspect {
        let cordoned = state.cordoned.len();
        tracing::error!(
            suspect,
            cordoned,
            "operator commands suspect: compare the cordons, then POST /admin/confirm"
        );
    }
}

impl<B: ManagedBalancer + 'static> Admin<B> {
    /// Joins the processes of this balancer, and applies the stored commands. If the store can't be used, the balancer still
    /// serves, but commands are lost when the process ends.
    pub async fn join(balancer: B, store: Option<Store>) -> Rc<Self> {
        let copy = balancer.recovered_copy();
        let joined = match store {
            None => Joined::without_store(None, &copy),
            Some(store) => match Joined::with_store(store, &copy).await {
                Ok(joined) => joined,
                Err(cause) => {
                    tracing::error!(%cause, "operator commands not stored: repeat them after each start");
                    Joined::without_store(Some(&cause.to_string()), &copy)
                }
            },
        };
        let admin = Self {
            balancer,
            store: RefCell::new(joined.store),
            registration: joined.registration,
            state: RefCell::default(),
            started_at: Instant::now(),
            is_serving: Cell::new(false),
            handed_off_to: Cell::new(0),
        };
        // The joined state is newer than the recovered copy.
        admin.balancer.save_copy(joined.state.copy());
        admin.apply(joined.state).await;
        Rc::new(admin)
    }

    /// Changes the state, stores the result and applies it. Returns whether the engine has carried it out.
    async fn change(&self, change: impl Fn(&mut OperatorState)) -> Result<bool, StoreError> {
        let state = retry_while_busy(|| match &mut *self.store.borrow_mut() {
            Some(store) => store.change(&change),
            None => {
                let mut state = self.state.borrow().clone();
                change(&mut state);
                Ok(state)
            }
        });
        let state = state.await?;
        Ok(self.apply(state).await)
    }

    /// Applies the state. The engine receives its commands before the first await, so that commands arrive in the order of
    /// the changes to the store.
    async fn apply(&self, state: OperatorState) -> bool {
        self.balancer.quiesce(state.quiesced);
        let cordoned = self.balancer.cordon(state.cordoned.clone());
        let copy = state.copy();
        if copy != self.state.borrow().copy() {
            self.balancer.save_copy(copy);
        }
        *self.state.borrow_mut() = state;
        cordoned.await
    }
}

/// Retries `step` while another process blocks the store, for at most [`BUSY_TIMEOUT`].
async fn retry_while_busy<T>(
    mut step: impl FnMut() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let until = Instant::now() + BUSY_TIMEOUT;
    loop {
        match step() {
            Err(cause) if cause.is_busy() && Instant::now() < until => sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
