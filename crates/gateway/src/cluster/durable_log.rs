//! The cluster's directory in a balancer's state directory: the consensus log and the confirmed fallback policy.
//!
//! The age of the two files doesn't matter, so this module reads no wall clock. The packages that own the stored state
//! interpret it.

use std::io;
use std::path::Path;
use std::time::Duration;

use hollowpaddle_consensus::{self as consensus, DurableState, Record};
use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::message::Generation;
use serde::{Deserialize, Serialize};

/// Time and age limit passed to the snapshot store for a fallback policy, whose generation alone decides whether it
/// applies.
const NO_DATE: Duration = Duration::ZERO;

/// An error in opening, writing or syncing the durable log.
///
/// The messages are those of the causes, so that log lines don't depend on where the error occurred.
#[derive(Debug, thiserror::Error)]
pub enum DurableLogError {
    /// The directory can't be created or opened.
    #[error("{0}")]
    Directory(#[source] io::Error),
    /// An operation on the consensus log failed.
    #[error(transparent)]
    Log(#[from] consensus::StoreError),
    /// An operation on the fallback policy's file failed.
    #[error(transparent)]
    FallbackPolicy(#[from] hollowpaddle_snapshot::StoreError),
    /// The fallback policy can't be encoded as JSON.
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
    /// A failpoint made the operation fail. This never occurs in a released daemon.
    #[error("{}", injected_text(.0))]
    Injected(Fault),
    /// The disk did not respond within the caller's time limit.
    #[error("disk did not respond in time")]
    TimedOut,
}

fn injected_text(fault: &Fault) -> String {
    match fault.error() {
        Some(cause) => cause.to_string(),
        None => format!("{fault:?}"),
    }
}

/// Storage that survives a restart of the process.
pub trait DurableLog {
    /// Appends the record with this number to the consensus log.
    ///
    /// # Errors
    /// Returns an error if the record is not stored, or only in part.
    fn append(&mut self, number: u64, record: &Record) -> Result<(), DurableLogError>;

    /// Syncs all appended records to the disk, and returns the number of the last record.
    ///
    /// # Errors
    /// Returns an error if records appended since the last sync may be lost when the machine fails.
    fn sync(&mut self) -> Result<u64, DurableLogError>;

    /// Writes and syncs the fallback policy of this generation.
    ///
    /// # Errors
    /// Returns an error if the fallback policy is not stored; the file then keeps the previous one.
    fn save_fallback_policy(
        &mut self,
        fallback_generation: Generation,
        fallback_policy: &FallbackPolicy,
    ) -> Result<(), DurableLogError>;

    /// Prepares the log for a complete new record after a failure.
    ///
    /// # Errors
    /// Returns an error if the disk still accepts no records.
    fn reset(&mut self) -> Result<(), DurableLogError>;
}

/// The state found in the state directory at the start, and the durable log that this process continues.
pub struct RecoveredState {
    /// The log for the state that must survive this process.
    pub durable_log: Box<dyn DurableLog + Send>,
    /// State of this balancer's replica; `None` only if the log was not read.
    pub replica_state: Option<DurableState>,
    /// The last confirmed fallback policy and its generation.
    pub fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// Opens the directory at `path` and reads the state in it.
///
/// `cluster` identifies the cluster and `name` the balancer. Files of another cluster or balancer and damaged files are set
/// aside and logged; the replica then counts as having lost its state.
///
/// # Errors
/// Returns an error if the directory can't be created. The balancer then runs without durable state.
pub fn open(
    path: &Path,
    cluster: u64,
    node_id: NodeId,
    name: &str,
    failpoints: &Points,
) -> Result<RecoveredState, DurableLogError> {
    let (records, replica_state) = open_records(path, cluster, node_id, failpoints)?;
    let (fallback_file, fallback_policy) = open_fallback_policy(path, name)?;
    let files =
        StateFiles { records, fallback_policy: fallback_file, failpoints: failpoints.clone() };
    Ok(RecoveredState {
        durable_log: Box::new(files),
        replica_state: Some(replica_state),
        fallback_policy,
    })
}

/// Opens the consensus log. An unreadable log stays closed, and the replica starts without state.
fn open_records(
    path: &Path,
    cluster: u64,
    node_id: NodeId,
    failpoints: &Points,
) -> Result<(consensus::Store, DurableState), DurableLogError> {
    let directory = consensus::Directory::open(path).map_err(DurableLogError::Directory)?;
    let opened = consensus::Store::open(directory.clone(), failpoints.clone(), cluster, node_id);
    match opened {
        Ok((records, found)) => {
            if let Some(suspect) = &found.corruption {
                tracing::error!(%suspect, "consensus log set aside, replica state lost");
            }
            if found.torn_bytes > 0 {
                tracing::warn!(
                    bytes = found.torn_bytes,
                    "incomplete end of the consensus log cut off"
                );
            }
            Ok((records, found.durable))
        }
        Err(cause) => {
            tracing::error!(%cause, "consensus log unreadable, replica state lost");
            let closed = consensus::Store::closed(directory, failpoints.clone(), cluster, node_id);
            Ok((closed, DurableState::default()))
        }
    }
}

/// Opens the fallback policy's file, and reads the last confirmed policy.
fn open_fallback_policy(
    path: &Path,
    name: &str,
) -> Result<(hollowpaddle_snapshot::Store, Option<(Generation, FallbackPolicy)>), DurableLogError> {
    let directory =
        hollowpaddle_snapshot::Directory::open(path).map_err(DurableLogError::Directory)?;
    let mut store = hollowpaddle_snapshot::Store::new(directory, name);
    let loaded = store.load(NO_DATE, NO_DATE);
    for aside in &loaded.aside {
        tracing::error!(file = aside.file, suspect = %aside.reason, "stored fallback policy set aside");
    }
    let stored = loaded
        .snapshot
        .and_then(|snapshot| serde_json::from_slice::<FallbackPolicyFile>(&snapshot.payload).ok());
    let fallback_policy = stored.map(|file| (file.fallback_generation, file.fallback_policy));
    Ok((store, fallback_policy))
}

/// Payload of the fallback policy's file.
#[derive(Serialize, Deserialize)]
struct FallbackPolicyFile {
    #[serde(rename = "generation")]
    fallback_generation: Generation,
    #[serde(rename = "charter")]
    fallback_policy: FallbackPolicy,
}

/// The open files of a state directory.
struct StateFiles {
    records: consensus::Store,
    fallback_policy: hollowpaddle_snapshot::Store,
    failpoints: Points,
}

impl StateFiles {
    /// Carries out the pause or crash that a failpoint injects into the operation that returned `result`.
    fn after_step<T>(
        &mut self,
        result: Result<T, consensus::StoreError>,
    ) -> Result<T, DurableLogError> {
        if self.records.take_pause() {
            self.failpoints.carry_out(Fault::Pause);
        }
        if let Err(consensus::StoreError::FailpointCrash(_)) = &result {
            self.failpoints.carry_out(Fault::Crash);
        }
        Ok(result?)
    }
}

impl DurableLog for StateFiles {
    fn append(&mut self, number: u64, record: &Record) -> Result<(), DurableLogError> {
        let result = self.records.append(number, record);
        self.after_step(result)
    }

    fn sync(&mut self) -> Result<u64, DurableLogError> {
        let result = self.records.sync();
        self.after_step(result)
    }

    fn save_fallback_policy(
        &mut self,
        fallback_generation: Generation,
        fallback_policy: &FallbackPolicy,
    ) -> Result<(), DurableLogError> {
        if let Some(fault) = self.failpoints.meet("bank.charter", Kind::Write) {
            return Err(DurableLogError::Injected(fault));
        }
        let file =
            FallbackPolicyFile { fallback_generation, fallback_policy: fallback_policy.clone() };
        let payload = serde_json::to_vec(&file)?;
        self.fallback_policy.save(NO_DATE, &payload)?;
        Ok(())
    }

    fn reset(&mut self) -> Result<(), DurableLogError> {
        let result = self.records.reset();
        self.after_step(result)
    }
}
