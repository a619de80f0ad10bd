//! The caller never waits for the thread that saves, however slow or full the disk is.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowpaddle_snapshot::{Disk, Saver, Store};

const NOW: Duration = Duration::from_secs(1_786_000_000);
const TIMEOUT: Duration = Duration::from_secs(20);

/// A disk on which each write waits until the test gives its result.
struct SlowDisk {
    begun: Sender<Vec<u8>>,
    results: Mutex<Receiver<io::Result<()>>>,
}

impl Disk for SlowDisk {
    fn read(&self, _: &str, _: u64) -> io::Result<Vec<u8>> {
        Err(io::ErrorKind::NotFound.into())
    }
    fn write(&self, _: &str, bytes: &[u8]) -> io::Result<()> {
        let payload = bytes.split(|b| *b == b'\n').nth(1).expect("a payload after the first line");
        let _ = self.begun.send(payload.to_vec());
        self.results.lock().expect("sound").recv_timeout(TIMEOUT).expect("a result")
    }
    fn sync(&self, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn rename(&self, _: &str, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }
    fn display_path(&self, name: &str) -> String {
        name.to_string()
    }
}

#[test]
fn newest_snapshot_takes_the_slot_and_a_full_disk_is_reported_until_a_save_succeeds() {
    let (begun, begins) = channel();
    let (result, results) = channel();
    let (reporter, reports) = channel();
    let store = Store::new(SlowDisk { begun, results: Mutex::new(results) }, "n0");
    let reporter = Arc::new(Mutex::new(reporter));
    let saver = Saver::start(store, move |s| drop(reporter.lock().expect("sound").send(s.clone())));
    let saver = saver.expect("a thread");
    let next = || begins.recv_timeout(TIMEOUT).expect("a write begins");
    saver.save(NOW, || b"1".to_vec());
    assert_eq!(next(), b"1");
    // While the first snapshot is being written, newer snapshots replace each other.
    for n in 2..=50 {
        saver.save(NOW + Duration::from_secs(n), move || n.to_string().into_bytes());
    }
    let status = saver.status();
    assert!(status.is_writing && status.saved.is_none() && status.superseded == 48, "{status:?}");
    result.send(Ok(())).expect("it waits");
    assert_eq!(reports.recv_timeout(TIMEOUT).expect("a report").saved, Some((1, NOW)));
    assert_eq!(next(), b"50");
    result.send(Err(io::ErrorKind::StorageFull.into())).expect("it waits");
    let status = reports.recv_timeout(TIMEOUT).expect("a report");
    assert!(
        status.failure.is_some_and(|f| f.contains("no storage space")),
        "the failure has its cause"
    );
    assert_eq!(status.saved, Some((1, NOW)), "the earlier save is still reported");
    assert!(saver.is_idle());
    saver.save(NOW, || b"51".to_vec());
    assert!(!saver.is_idle());
    assert_eq!(next(), b"51");
    result.send(Ok(())).expect("it waits");
    let status = reports.recv_timeout(TIMEOUT).expect("a report");
    assert_eq!((status.saved, status.failure), (Some((2, NOW)), None));
}
