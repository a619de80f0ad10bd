//! Memory, processor time and descriptors, as the kernel tells them (proc(5)).

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Resident memory of a process, in bytes.
///
/// # Errors
/// The process is gone, or the kernel does not tell.
pub fn resident_memory(process: &Path) -> io::Result<u64> {
    let status = std::fs::read_to_string(process.join("status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let kibibytes = kibibytes.ok_or_else(|| io::Error::other("no VmRSS in status"))?;
    Ok(kibibytes * 1024)
}

/// The directory in which the kernel tells about this process.
pub fn own_process() -> PathBuf {
    PathBuf::from("/proc/self")
}

/// The directory in which the kernel tells about a process.
pub fn process(id: u32) -> PathBuf {
    PathBuf::from(format!("/proc/{id}"))
}

/// The directory in which the kernel tells about the calling thread.
///
/// # Errors
/// The kernel does not tell.
pub fn own_thread() -> io::Result<PathBuf> {
    Ok(Path::new("/proc").join(std::fs::read_link("/proc/thread-self")?))
}

/// Processor time that a thread has used since it began.
///
/// # Errors
/// The thread is gone, or the kernel does not tell.
pub fn thread_processor_time(thread: &Path) -> io::Result<Duration> {
    let text = std::fs::read_to_string(thread.join("schedstat"))?;
    let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse().ok());
    let nanoseconds = nanoseconds.ok_or_else(|| io::Error::other("no time in schedstat"))?;
    Ok(Duration::from_nanos(nanoseconds))
}

/// Processor time that all present threads of a process have used.
///
/// # Errors
/// The process is gone, or the kernel does not tell.
pub fn process_processor_time(process: &Path) -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for thread in std::fs::read_dir(process.join("task"))? {
        total += thread_processor_time(&thread?.path())?;
    }
    Ok(total)
}

/// How many descriptors this process may hold: its soft limit.
///
/// # Errors
/// The kernel does not tell.
pub fn descriptor_limit() -> io::Result<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits")?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let limit = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    limit.ok_or_else(|| io::Error::other("no limit of open files"))
}
