//! The state directory of one balancer's cluster part: the consensus log and the confirmed fallback policy.
//!
//! Neither file is judged by its age, so nothing here reads a wall clock. What the stored state means is left to the
//! packages that own it.

use std::io;
use std::path::Path;
use std::time::Duration;

use hollowpaddle_consensus::{self as consensus, DurableState, Record};
use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::message::Generation;
use serde::{Deserialize, Serialize};

/// The age and the age limit given for a fallback policy: its generation alone says whether it counts.
const NO_DATE: Duration = Duration::ZERO;

/// Why the durable log could not be opened, written or synced.
///
/// The texts are those of the causes, so that a log line reads the same wherever the error came from.
#[derive(Debug, thiserror::Error)]
pub enum DurableLogError {
    /// The directory can't be made or opened.
    #[error("{0}")]
    Directory(#[source] io::Error),
    /// The consensus log refused a step.
    #[error(transparent)]
    Log(#[from] consensus::StoreError),
    /// The file of the fallback policy refused a step.
    #[error(transparent)]
    FallbackPolicy(#[from] hollowpaddle_snapshot::StoreError),
    /// The fallback policy has no JSON form.
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
    /// A failpoint made the step fail. Never in a released daemon.
    #[error("{}", injected_text(.0))]
    Injected(Fault),
    /// The disk did not answer in the time that the caller allows.
    #[error("it did not answer in time")]
    TimedOut,
}

fn injected_text(fault: &Fault) -> String {
    match fault.error() {
        Some(cause) => cause.to_string(),
        None => format!("{fault:?}"),
    }
}

/// Storage that outlives the process. Each call returns once its effect is on disk, or says why it is not.
pub trait DurableLog {
    /// Appends the record with this number to the consensus log.
    ///
    /// # Errors
    /// The record is not stored, or only a part of it is.
    fn append(&mut self, number: u64, record: &Record) -> Result<(), DurableLogError>;

    /// Syncs all appended records to the disk, and returns the number of the last one.
    ///
    /// # Errors
    /// Records that were appended since the last sync may be lost with the machine.
    fn sync(&mut self) -> Result<u64, DurableLogError>;

    /// Writes and syncs the fallback policy of this generation.
    ///
    /// # Errors
    /// The fallback policy that was stored before stays.
    fn save_fallback_policy(
        &mut self,
        fallback_generation: Generation,
        fallback_policy: &FallbackPolicy,
    ) -> Result<(), DurableLogError>;

    /// After a failure: prepares the log for a complete new record.
    ///
    /// # Errors
    /// The disk still takes no records.
    fn reset(&mut self) -> Result<(), DurableLogError>;
}

/// What a start found in the state directory, and the log in which the process goes on.
pub struct RecoveredState {
    /// Takes what is to outlive this process.
    pub durable_log: Box<dyn DurableLog + Send>,
    /// State of this balancer's replica; `None` only where nothing was looked for.
    pub found: Option<DurableState>,
    /// The fallback policy that was confirmed last, and its generation.
    pub fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// Opens the directory at `path` and reads the state in it.
///
/// `cluster` identifies the cluster and `name` the balancer. Files of another cluster or balancer, and damaged ones, are
/// set aside and logged; the replica then counts as one that lost its state.
///
/// # Errors
/// The directory can't be made. The balancer then runs without durable state.
pub fn open(
    path: &Path,
    cluster: u64,
    node_id: NodeId,
    name: &str,
    points: &Points,
) -> Result<RecoveredState, DurableLogError> {
    let (records, found) = open_records(path, cluster, node_id, points)?;
    let (fallback_file, fallback_policy) = open_fallback_policy(path, name)?;
    let files = StateFiles { records, fallback_policy: fallback_file, points: points.clone() };
    Ok(RecoveredState { durable_log: Box::new(files), found: Some(found), fallback_policy })
}

/// Opens the consensus log. One that can't be read stays closed, and the replica starts without state.
fn open_records(
    path: &Path,
    cluster: u64,
    node_id: NodeId,
    points: &Points,
) -> Result<(consensus::Store, DurableState), DurableLogError> {
    let directory = consensus::Directory::open(path).map_err(DurableLogError::Directory)?;
    let opened = consensus::Store::open(directory.clone(), points.clone(), cluster, node_id);
    match opened {
        Ok((records, found)) => {
            if let Some(suspect) = &found.doubt {
                tracing::error!(%suspect, "consensus log set aside, replica state lost");
            }
            if found.torn > 0 {
                tracing::warn!(bytes = found.torn, "incomplete end of the consensus log cut off");
            }
            Ok((records, found.durable))
        }
        Err(cause) => {
            tracing::error!(%cause, "consensus log unreadable, replica state lost");
            let closed = consensus::Store::closed(directory, points.clone(), cluster, node_id);
            Ok((closed, DurableState::default()))
        }
    }
}

/// Opens the file of the fallback policy, and reads the policy that was confirmed last.
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

/// Payload of the file of the fallback policy.
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
    points: Points,
}

impl StateFiles {
    /// Carries out the pause or the crash that a failpoint planned for the step that gave `result`.
    fn after_step<T>(
        &mut self,
        result: Result<T, consensus::StoreError>,
    ) -> Result<T, DurableLogError> {
        if self.records.take_pause() {
            self.points.carry_out(Fault::Pause);
        }
        if let Err(consensus::StoreError::Ended(_)) = &result {
            self.points.carry_out(Fault::Crash);
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
        if let Some(fault) = self.points.meet("bank.charter", Kind::Write) {
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
