//! A simulated disk that loses what was not synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use hollowpaddle_consensus::Disk;

/// A disk in memory: what was written and not synced may be lost, or a part of it, when the process ends.
#[derive(Clone, Default)]
pub struct SimulatedDisk(pub Arc<Mutex<Files>>);

/// The content of a file, and what of it is synced.
type Content = Arc<Mutex<(Vec<u8>, Vec<u8>)>>;
type Bytes = BTreeMap<String, Content>;

/// The names of files, and what of them is synced.
#[derive(Default)]
pub struct Files {
    now: Bytes,
    synced: Bytes,
}

impl SimulatedDisk {
    /// Ends the machine: the random number `randomness` decides what remains of what was not synced.
    pub fn end(&self, randomness: u64) {
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
            // Appended and not synced: some of it remains, and some of that as zeros.
            file.0 = if common == synced.len() {
                let some = if rest == 0 { 0 } else { (randomness >> 8) as usize % (rest + 1) };
                let mut torn = now[..common + some].to_vec();
                if randomness & 2 == 0 && some > 4 {
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
    /// Whether it holds no complete record.
    pub fn is_small(&self) -> bool {
        let files = self.0.lock().unwrap();
        files.now.get("council.log").is_none_or(|f| f.lock().unwrap().0.len() <= 120)
    }
    pub fn copy(&self) -> Vec<u8> {
        let files = self.0.lock().unwrap();
        files.now.get("council.log").map_or_else(Vec::new, |f| f.lock().unwrap().0.clone())
    }
    pub fn put(&self, bytes: Vec<u8>) {
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
