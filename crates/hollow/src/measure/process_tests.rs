//! What is read from the kernel's text.

use std::time::Duration;

use super::{cpu_of, kib_of};

#[test]
fn reads_memory_of_a_status_file() {
    let status = "Name:\thollowpaddle\nVmHWM:\t   45100 kB\nVmRSS:\t   44300 kB\nThreads:\t1\n";
    assert_eq!(kib_of(status, "VmRSS:"), Some(44_300));
    assert_eq!(kib_of(status, "VmHWM:"), Some(45_100));
    assert_eq!(kib_of(status, "VmSwap:"), None);
}

#[test]
fn reads_processor_time_behind_a_name_with_parentheses() {
    let stat = "7 (a) b (c)) S 1 7 7 0 -1 4194304 100 0 0 0 25 17 0 0 20 0 1 0 99 1000 200";
    assert_eq!(cpu_of(stat), Some(Duration::from_millis(420)));
    assert_eq!(cpu_of("7 (short) S 1"), None);
}
