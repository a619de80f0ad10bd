//! What of the bank outlives a process, in a directory of the balancer's own: the council's records, and the charter that
//! was confirmed. Neither is dated: nothing here goes by a wall clock.

use std::path::Path;
use std::time::Duration;

use hollowpaddle_consensus::{self as consensus, DurableState, Record, StoreError};
use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::message::Generation;
use serde::{Deserialize, Serialize};

use crate::cluster::RecoveredState;
use crate::cluster::runtime::DurableLog;

/// A charter is as old as it is: its generation says whether it counts.
const NO_DATE: Duration = Duration::ZERO;

#[derive(Serialize, Deserialize)]
struct FallbackPolicyFile {
    #[serde(rename = "generation")]
    fallback_generation: Generation,
    #[serde(rename = "charter")]
    fallback_policy: FallbackPolicy,
}

/// The files.
struct Files {
    records: consensus::Store,
    fallback_policy: hollowpaddle_snapshot::Store,
    points: Points,
}

/// Opens a directory, and says what lies there. `cluster` names the bank and `name` the balancer: what is another's is not
/// believed, and set aside.
///
/// # Errors
/// It can't be made, in words. Then this balancer is one that forgets.
pub fn open(
    path: &Path,
    cluster: u64,
    node_id: NodeId,
    name: &str,
    points: &Points,
) -> Result<RecoveredState, String> {
    let on_replica_action = consensus::Directory::open(path).map_err(|e| e.to_string())?;
    let (records, found) = match consensus::Store::open(
        on_replica_action.clone(),
        points.clone(),
        cluster,
        node_id,
    ) {
        Ok((records, found)) => {
            if let Some(doubt) = &found.doubt {
                tracing::error!(%doubt, "the council's records are set aside: this member has forgotten");
            }
            if found.torn > 0 {
                tracing::warn!(
                    bytes = found.torn,
                    "a torn end of the council's records was cut off"
                );
            }
            (records, found.durable)
        }
        Err(cause) => {
            tracing::error!(%cause, "the council's records can't be read: this member has forgotten");
            let closed =
                consensus::Store::closed(on_replica_action, points.clone(), cluster, node_id);
            (closed, DurableState::default())
        }
    };
    let directory = hollowpaddle_snapshot::Directory::open(path).map_err(|e| e.to_string())?;
    let mut fallback_policy = hollowpaddle_snapshot::Store::new(directory, name);
    let kept = fallback_policy.load(NO_DATE, NO_DATE);
    for aside in &kept.aside {
        tracing::error!(file = aside.file, doubt = %aside.doubt, "the charter that was kept is not believed");
    }
    let kept =
        kept.snapshot.and_then(|s| serde_json::from_slice::<FallbackPolicyFile>(&s.payload).ok());
    let files = Files { records, fallback_policy, points: points.clone() };
    Ok(RecoveredState {
        durable_log: Box::new(files),
        found: Some(found),
        fallback_policy: kept.map(|k| (k.fallback_generation, k.fallback_policy)),
    })
}

impl Files {
    /// Of a step of the records: stands still or ends where a plan of faults says so.
    fn done<T>(&mut self, done: Result<T, StoreError>) -> Result<T, String> {
        if self.records.take_pause() {
            self.points.carry_out(Fault::Pause);
        }
        if let Err(StoreError::Ended(_)) = &done {
            self.points.carry_out(Fault::Crash);
        }
        done.map_err(|e| e.to_string())
    }
}

impl DurableLog for Files {
    fn append(&mut self, number: u64, record: &Record) -> Result<(), String> {
        let done = self.records.append(number, record);
        self.done(done)
    }

    fn sync(&mut self) -> Result<u64, String> {
        let done = self.records.sync();
        self.done(done)
    }

    fn save_fallback_policy(
        &mut self,
        fallback_generation: Generation,
        fallback_policy: &FallbackPolicy,
    ) -> Result<(), String> {
        if let Some(fault) = self.points.meet("bank.charter", Kind::Write) {
            return Err(fault.error().map_or_else(|| format!("{fault:?}"), |e| e.to_string()));
        }
        let kept =
            FallbackPolicyFile { fallback_generation, fallback_policy: fallback_policy.clone() };
        let bytes = serde_json::to_vec(&kept).map_err(|e| e.to_string())?;
        self.fallback_policy.save(NO_DATE, &bytes).map(|_| ()).map_err(|e| e.to_string())
    }

    fn reset(&mut self) -> Result<(), String> {
        let done = self.records.reset();
        self.done(done)
    }
}
