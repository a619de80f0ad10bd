//! Library that is loaded into a process by `LD_PRELOAD` and makes some of its system calls fail, transfer fewer bytes or
//! start late. `HOLLOWPADDLE_SHIM` names the file that holds the faults. The file is mapped, so that a test can change the
//! faults while the process runs. Its layout is that of `Slot` in `src/lib.rs`. Without the variable no fault is injected.

use std::ffi::{c_char, c_int, c_long, c_void};
use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicU64, AtomicUsize, Ordering};

const SLOTS: usize = 32;
// Slots of `Slot` in `src/lib.rs`. The slots of `ACCEPT` to `SEND` hold an errno, and the slot after each one holds the
// period of the failing calls.
const ACCEPT: usize = 0;
const CONNECT: usize = 2;
const RECEIVE: usize = 4;
const SEND: usize = 6;
const SHORT_RECEIVE: usize = 8;
const SHORT_SEND: usize = 9;
const WALL_CLOCK_SECONDS: usize = 10;
const HOLD_UP_MICROSECONDS: usize = 11;

const RTLD_NEXT: *mut c_void = -1isize as *mut c_void;
const PROT_READ: c_int = 1;
const MAP_SHARED: c_int = 1;
const CLOCK_REALTIME: c_int = 0;
const MSG_PEEK: c_int = 2;

#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanoseconds: i64,
}

#[repr(C)]
pub struct IoSlice {
    base: *mut c_void,
    length: usize,
}

unsafe extern "C" {
    fn dlsym(handle: *mut c_void, name: *const c_char) -> *mut c_void;
    fn getenv(name: *const c_char) -> *const c_char;
    fn open(path: *const c_char, flags: c_int, ...) -> c_int;
    fn close(descriptor: c_int) -> c_int;
    fn mmap(
        address: *mut c_void,
        length: usize,
        protection: c_int,
        flags: c_int,
        descriptor: c_int,
        offset: c_long,
    ) -> *mut c_void;
    fn nanosleep(requested: *const Timespec, remaining: *mut Timespec) -> c_int;
    fn __errno_location() -> *mut c_int;
}

/// Start of the mapped file. Null before the first call of `slot`, and if no file is mapped.
static SLOTS_AT: AtomicPtr<AtomicU64> = AtomicPtr::new(null_mut());
static IS_MAPPED: AtomicUsize = AtomicUsize::new(0);
/// Number of calls so far, by the slot of the fault that applies to them.
static CALLS: [AtomicU64; SLOTS] = [const { AtomicU64::new(0) }; SLOTS];

/// Returns the value of a slot, or 0 if no file is mapped. Maps the file on the first call.
fn slot(index: usize) -> u64 {
    if IS_MAPPED.load(Ordering::Acquire) == 0 {
        // SAFETY: the variable's name and its value are C strings. A successful mapping holds all slots, since `Shim` sets
        // the file's length to that of `SLOTS` slots.
        unsafe {
            let path = getenv(c"HOLLOWPADDLE_SHIM".as_ptr());
            if !path.is_null() {
                let file = open(path, 0);
                let slots = mmap(null_mut(), SLOTS * 8, PROT_READ, MAP_SHARED, file, 0);
                close(file);
                if slots as isize != -1 {
                    SLOTS_AT.store(slots.cast(), Ordering::Release);
                }
            }
        }
        IS_MAPPED.store(1, Ordering::Release);
    }
    let slots = SLOTS_AT.load(Ordering::Acquire);
    if slots.is_null() {
        return 0;
    }
    // SAFETY: the mapping is never unmapped, and it is aligned to a page.
    unsafe { (*slots.add(index)).load(Ordering::Relaxed) }
}

/// Counts a call, and returns whether the fault applies to it by the period in the slot after `index`.
fn is_due(index: usize) -> bool {
    let every = slot(index + 1);
    every > 0 && CALLS[index].fetch_add(1, Ordering::Relaxed) % every == every - 1
}

/// Returns whether this call has to fail, and sets `errno` if so.
fn fails(index: usize) -> bool {
    let errno = slot(index) as c_int;
    let fails = errno != 0 && is_due(index);
    if fails {
        // SAFETY: `errno` is local to this thread.
        unsafe { *__errno_location() = errno };
    }
    fails
}

/// Returns the C library's own function of this name.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: AtomicPtr<c_void> = AtomicPtr::new(null_mut());
        let mut real = REAL.load(Ordering::Relaxed);
        if real.is_null() {
            // SAFETY: `$name` is a C string, and the C library exports this function.
            real = unsafe { dlsym(RTLD_NEXT, $name.as_ptr()) };
            REAL.store(real, Ordering::Relaxed);
        }
        // SAFETY: the manual page of the function documents this type.
        unsafe { std::mem::transmute::<*mut c_void, $type>(real) }
    }};
}

type Accept4 = unsafe extern "C" fn(c_int, *mut c_void, *mut u32, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const c_void, u32) -> c_int;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
type SendTo = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
type WriteVectored = unsafe extern "C" fn(c_int, *const IoSlice, c_int) -> isize;
type ClockGetTime = unsafe extern "C" fn(c_int, *mut Timespec) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut c_void,
    length: *mut u32,
    flags: c_int,
) -> c_int {
    if fails(ACCEPT) {
        return -1;
    }
    let real = real!(c"accept4", Accept4);
    unsafe { real(socket, address, length, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const c_void, length: u32) -> c_int {
    if fails(CONNECT) {
        return -1;
    }
    let real = real!(c"connect", Connect);
    unsafe { real(socket, address, length) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> isize {
    if fails(RECEIVE) {
        return -1;
    }
    let max_bytes = slot(SHORT_RECEIVE) as usize;
    let length = if max_bytes > 0 && flags & MSG_PEEK == 0 { length.min(max_bytes) } else { length };
    let real = real!(c"recv", Receive);
    unsafe { real(socket, buffer, length, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
) -> isize {
    delay_write();
    if fails(SEND) {
        return -1;
    }
    let max_bytes = slot(SHORT_SEND) as usize;
    let length = if max_bytes > 0 { length.min(max_bytes) } else { length };
    let real = real!(c"send", SendTo);
    unsafe { real(socket, buffer, length, flags) }
}

/// Applies to sockets. The first three descriptors are exempt, since besides sockets only the log is written by `writev`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(descriptor: c_int, slices: *const IoSlice, count: c_int) -> isize {
    let real = real!(c"writev", WriteVectored);
    if descriptor < 3 {
        return unsafe { real(descriptor, slices, count) };
    }
    delay_write();
    if fails(SEND) {
        return -1;
    }
    let max_bytes = slot(SHORT_SEND) as usize;
    if max_bytes == 0 || count <= 0 {
        return unsafe { real(descriptor, slices, count) };
    }
    // SAFETY: `count` is positive, so there is a first slice.
    let first = unsafe { &*slices };
    let short = IoSlice { base: first.base, length: first.length.min(max_bytes) };
    unsafe { real(descriptor, &short, 1) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let real = real!(c"clock_gettime", ClockGetTime);
    let status = unsafe { real(clock, time) };
    if status == 0 && clock == CLOCK_REALTIME {
        // SAFETY: the call succeeded, so `time` is valid and initialized.
        unsafe { (*time).seconds += slot(WALL_CLOCK_SECONDS) as i64 };
    }
    status
}

/// Delays a write, as on a machine that does not schedule the process.
fn delay_write() {
    let microseconds = slot(HOLD_UP_MICROSECONDS) as i64;
    if microseconds > 0 && is_due(HOLD_UP_MICROSECONDS) {
        let requested = Timespec {
            seconds: microseconds / 1_000_000,
            nanoseconds: microseconds % 1_000_000 * 1000,
        };
        // SAFETY: `nanosleep` reads `requested`, and writes nothing since the other pointer is null.
        unsafe { nanosleep(&requested, null_mut()) };
    }
}
