//! The admin API of one balancer: takes operators' calls, stores the commands that apply where the next process finds
//! them, and has the balancer carry them out.
//!
//! What a call means is in `hollowpaddle_operator_commands`, and how a command is carried out is the balancer's. The HTTP
//! server and its routes are in `server`, single calls in `handlers`, and the processes of this balancer beside this one in
//! `processes`.

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

/// How long a change is retried while another process is in its way. Callers wait 1 s.
const BUSY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two attempts of anything that waits for another process or balancer.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What the program provides for its operators.
#[derive(Default)]
pub struct OperatorAccess {
    /// Where operators call; `None`: nowhere.
    pub listener: Option<Box<dyn Listener>>,
    /// Where their commands are stored; without it, they end with the process.
    pub store: Option<Store>,
}

/// The balancer, as far as operators have to do with it.
pub trait ManagedBalancer {
    /// Whether there is an upstream to send to.
    fn is_ready(&self) -> bool;
    /// Whether discovery has delivered a list since the start.
    fn has_list(&self) -> bool;
    /// Whether a list has named this upstream.
    fn has_named(&self, name: String) -> impl Future<Output = bool>;
    /// Cordons these upstreams, and no others. The command goes out at once; the future waits until it is carried out, and
    /// gives whether it is.
    fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool>;
    /// Turns clients away, or accepts them again.
    fn quiesce(&self, quiesced: bool);
    /// What was learned of the upstreams so far; `None` once the engine has ended.
    fn learned(&self) -> impl Future<Output = Option<Learned>>;
    /// Goes on from what another process of this balancer has learned.
    fn recall(&self, learned: Learned);
    /// How the start went and how saving for the next start goes, as JSON.
    fn start_status(&self) -> serde_json::Value;
    /// The copy of operators' commands that was found elsewhere than in the store.
    fn recovered_copy(&self) -> RecoveredCopy;
    /// Saves a copy of operators' commands, for the case that the store is lost.
    fn save_copy(&self, copy: OperatorStateCopy);
    /// Whether this balancer is one of a cluster that agrees on a policy.
    fn is_clustered(&self) -> bool;
    /// The cluster's answer to a request, given by `deadline`; `None` where there is no cluster.
    fn ask_cluster(
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
    /// Other processes can see that this one serves.
    is_serving: Cell<bool>,
    /// The newest process for which this one has left what it learned.
    handed_off_to: Cell<u64>,
}

/// The store with this process in it, and the state at the start.
struct Joined {
    store: Option<Store>,
    registration: Option<ProcessRegistration>,
    state: OperatorState,
}

impl Joined {
    /// Joins the processes of this balancer. A file that can't be read is set aside, and a lost one recovered as far as
    /// there is a copy.
    async fn through_store(mut store: Store, copy: &RecoveredCopy) -> Result<Self, StoreError> {
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

    /// Starts without a store. `damage` says why it can't be used, if there should be one.
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
    /// Joins the processes of this balancer, and applies the commands found. A store that can't be used is no reason not to
    /// serve: without it, commands end with the process.
    pub async fn join(balancer: B, store: Option<Store>) -> Rc<Self> {
        let copy = balancer.recovered_copy();
        let joined = match store {
            None => Joined::without_store(None, &copy),
            Some(store) => match Joined::through_store(store, &copy).await {
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
        // Whatever the copy contained, this state is newer.
        admin.balancer.save_copy(joined.state.copy());
        admin.apply(joined.state).await;
        Rc::new(admin)
    }

    /// Changes the state, stores it and applies it; whether the engine has carried it out.
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

    /// Applies the state. Nothing is awaited before the engine has its commands, so that it gets them in the order in which
    /// the store changed.
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

/// Repeats `step` until no other process is in its way, or [`BUSY_TIMEOUT`] is over.
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
