//! What is read from the kernel's text.

use super::kib_of;

#[test]
fn reads_memory_of_a_status_file() {
    let status = "Name:\thollowpaddle\nVmHWM:\t   45100 kB\nVmRSS:\t   44300 kB\nThreads:\t1\n";
    assert_eq!(kib_of(status, "VmRSS:"), Some(44_300));
    assert_eq!(kib_of(status, "VmHWM:"), Some(45_100));
    assert_eq!(kib_of(status, "VmSwap:"), None);
}
