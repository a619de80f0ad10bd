//! Tests of two concurrent processes of one balancer.

use hollowpaddle_operator_commands::Call;
use hyper::StatusCode;
use tokio::time::timeout;

use super::processes::POLL_INTERVAL;
use super::*;

/// A balancer that carries out no commands.
struct Idle {
    is_ready: bool,
}

impl ManagedBalancer for Idle {
    fn is_ready(&self) -> bool {
        self.is_ready
    }
    fn has_list(&self) -> bool {
        self.is_ready
    }
    async fn has_named(&self, _: String) -> bool {
        true
    }
    async fn cordon(&self, _: BTreeSet<String>) -> bool {
        true
    }
    fn quiesce(&self, _: bool) {}
    async fn learned(&self) -> Option<Learned> {
        Some(Learned::default())
    }
    fn restore_learned(&self, _: Learned) {}
    fn start_status(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
    fn recovered_copy(&self) -> RecoveredCopy {
        RecoveredCopy::Absent
    }
    fn save_copy(&self, _: OperatorStateCopy) {}
    fn is_clustered(&self) -> bool {
        false
    }
    async fn request_from_cluster(&self, _: AdminRequest, _: Instant) -> Option<AdminResponse> {
        None
    }
}

async fn joined(dir: &tempfile::TempDir, is_ready: bool) -> Rc<Admin<Idle>> {
    let store = Store::open(dir.path()).expect("a store");
    Admin::join(Idle { is_ready }, Some(store)).await
}

#[tokio::test(start_paused = true)]
async fn hands_off_learned_estimates_despite_a_command_before_the_next_poll() {
    let dir = tempfile::tempdir().expect("a directory");
    let old = joined(&dir, true).await;
    let mut store = Store::open(dir.path()).expect("a store");
    let (_new, _) = store.join().expect("a newer process joins");
    assert_eq!(
        old.carry_out(Call::Quiesce, Instant::now() + BUSY_TIMEOUT).await.status(),
        StatusCode::OK
    );
    let number = old.registration.as_ref().expect("a store").number;
    let _ = timeout(10 * POLL_INTERVAL, old.follow_store()).await;
    assert!(
        store.read_handoff(number).is_some(),
        "the newer process would start without estimates"
    );
}

#[tokio::test(start_paused = true)]
async fn unready_process_serves_once_the_older_process_is_dead() {
    let dir = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(dir.path()).expect("a store");
    let (older, _) = store.join().expect("an older process joins");
    let new = joined(&dir, false).await;
    let wait = new.wait_to_serve();
    tokio::pin!(wait);
    assert!(timeout(10 * POLL_INTERVAL, &mut wait).await.is_err(), "the older process serves");
    drop(older);
    timeout(10 * POLL_INTERVAL, &mut wait).await.expect("no other process answers clients");
}
