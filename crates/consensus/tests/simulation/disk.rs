//! A simulated disk that may lose data that was not synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use hollowpaddle_consensus::Disk;

/// A disk in memory. Data that was written and not synced may be lost, in whole or in part, at a crash.
#[derive(Clone, Default)]
pub struct SimulatedDisk(pub Arc<Mutex<Files>>);

/// The current and the synced content of a file.
type Content = Arc<Mutex<(Vec<u8>, Vec<u8>)>>;
type Bytes = BTreeMap<String, Content>;

/// The files by name, as they are now and as they were last synced.
#[derive(Default)]
pub struct Files {
    now: Bytes,
    synced: Bytes,
}

impl SimulatedDisk {
    /// Crashes the machine. The random number `randomness` decides how much of the unsynced data remains.
    pub fn crash(&self, randomness: u64) {
        let mut files = self.0.lock().unwrap();
        if randomness & 1 == 0 {
            files.now = files.synced.clone();
        }
        files.synced = files.now.clone();
        for file in files.now.values() {
            let mut file = file.lock().unwrap();
            let (now, synced) = (file.0.clone(), file.1.clone());
            let common = now.iter().zip(&synced).take_while(|(a, b)| a == b).count();
            let rest = now.len().saturating_sub(common);
            // A part of the data that was appended and not synced remains, and its end may be zeros.
            file.0 = if common == synced.len() {
                let remaining = if rest == 0 { 0 } else { (randomness >> 8) as usize % (rest + 1) };
                let mut torn = now[..common + remaining].to_vec();
                if randomness & 2 == 0 && remaining > 4 {
                    let end = torn.len();
                    torn[end - 4..].fill(0);
                }
                torn
            } else {
                synced
            };
            file.1 = file.0.clone();
        }
    }
    /// Whether the log file is too short for a complete record.
    pub fn has_no_complete_record(&self) -> bool {
        let files = self.0.lock().unwrap();
        files.now.get("council.log").is_none_or(|f| f.lock().unwrap().0.len() <= 120)
    }
    pub fn contents(&self) -> Vec<u8> {
        let files = self.0.lock().unwrap();
        files.now.get("council.log").map_or_else(Vec::new, |f| f.lock().unwrap().0.clone())
    }
    pub fn replace_contents(&self, bytes: Vec<u8>) {
        let file = Arc::new(Mutex::new((bytes.clone(), bytes)));
        let mut files = self.0.lock().unwrap();
        files.now.insert("council.log".into(), file.clone());
        files.synced.insert("council.log".into(), file);
    }
    fn file(&self, name: &str) -> io::Result<Content> {
        let files = self.0.lock().unwrap();
        files.now.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for SimulatedDisk {
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let file = self.file(name)?;
        let bytes = &file.lock().unwrap().0;
        Ok(bytes[..bytes.len().min(max_bytes as usize)].to_vec())
    }
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = Arc::new(Mutex::new((bytes.to_vec(), Vec::new())));
        self.0.lock().unwrap().now.insert(name.into(), file);
        Ok(())
    }
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.lock().unwrap().0.extend_from_slice(bytes);
        Ok(())
    }
    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.lock().unwrap().0.truncate(length as usize);
        Ok(())
    }
    fn sync(&self, name: &str) -> io::Result<()> {
        let file = self.file(name)?;
        let mut file = file.lock().unwrap();
        file.1 = file.0.clone();
        Ok(())
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let file = self.file(from)?;
        let mut files = self.0.lock().unwrap();
        files.now.remove(from);
        files.now.insert(to.into(), file);
        Ok(())
    }
    fn sync_names(&self) -> io::Result<()> {
        let mut files = self.0.lock().unwrap();
        files.synced = files.now.clone();
        Ok(())
    }
    fn path(&self, name: &str) -> String {
        name.into()
    }
}
