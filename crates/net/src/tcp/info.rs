//! Information of the kernel about a connection.

use std::time::Duration;

use tokio::net::TcpStream;

/// Returns the time since the last data was received, or since the connection was established (tcp(7), `TCP_INFO`). The resolution is that of the kernel's clock, some
/// milliseconds.
#[cfg(target_os = "linux")]
pub(super) fn since_last_data(stream: &TcpStream) -> Option<Duration> {
    use std::mem::{MaybeUninit, offset_of, size_of};
    use std::os::fd::AsRawFd;

    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and the kernel writes at most `length` bytes into
    // `info`, which has that size.
    #[allow(unsafe_code)]
    let result = unsafe {
        let into = info.as_mut_ptr().cast();
        libc::getsockopt(stream.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_INFO, into, &mut length)
    };
    let length_needed = offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    if result != 0 || (length as usize) < length_needed {
        return None;
    }
    // SAFETY: `info` was zeroed, and any bytes are a valid `tcp_info`, which consists of integers.
    #[allow(unsafe_code)]
    let info = unsafe { info.assume_init() };
    // An emulated socket may leave all fields at zero. No state has this number.
    if info.tcpi_state == 0 {
        return None;
    }
    Some(Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}

/// Returns `None`, since this system does not report the time.
#[cfg(not(target_os = "linux"))]
pub(super) fn since_last_data(_: &TcpStream) -> Option<Duration> {
    None
}
