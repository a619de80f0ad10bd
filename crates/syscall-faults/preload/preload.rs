//! Loaded into a process by `LD_PRELOAD`: some of its system calls fail, fall short or are held up, as the file says that
//! `HOLLOWPADDLE_SHIM` names. That file is mapped, so that a test can change it while the process runs; its layout is that
//! of `Slot` in `src/lib.rs`. Without the variable every call passes.

use std::ffi::{c_char, c_int, c_long, c_void};
use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicU64, AtomicUsize, Ordering};

const SLOTS: usize = 32;
/// `Slot::Accept`, `Connect`, `Receive` and `Send` of the other side: an errno, and behind it every how many calls.
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
        at: *mut c_void,
        length: usize,
        protection: c_int,
        flags: c_int,
        of: c_int,
        from: c_long,
    ) -> *mut c_void;
    fn nanosleep(wanted: *const Timespec, left: *mut Timespec) -> c_int;
    fn __errno_location() -> *mut c_int;
}

/// The mapped file; null without one, and before the first look.
static SLOTS_AT: AtomicPtr<AtomicU64> = AtomicPtr::new(null_mut());
static IS_MAPPED: AtomicUsize = AtomicUsize::new(0);
/// Calls so far, by the slot that may make them fail.
static CALLS: [AtomicU64; SLOTS] = [const { AtomicU64::new(0) }; SLOTS];

fn slot(at: usize) -> u64 {
    if IS_MAPPED.load(Ordering::Acquire) == 0 {
        // SAFETY: both names are C strings; a mapping that succeeded has room for all slots, since `Shim` writes so many.
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
    // SAFETY: the mapping is never taken back, and is aligned to a page.
    unsafe { (*slots.add(at)).load(Ordering::Relaxed) }
}

/// Whether this call is the n-th again, by the period that stands in the slot behind.
fn is_due(at: usize) -> bool {
    let every = slot(at + 1);
    every > 0 && CALLS[at].fetch_add(1, Ordering::Relaxed) % every == every - 1
}

/// Sets errno and fails, if this call is to.
fn fails(at: usize) -> bool {
    let errno = slot(at) as c_int;
    let fails = errno != 0 && is_due(at);
    if fails {
        // SAFETY: it is this thread's own.
        unsafe { *__errno_location() = errno };
    }
    fails
}

/// The C library's own function of this name.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: AtomicPtr<c_void> = AtomicPtr::new(null_mut());
        let mut real = REAL.load(Ordering::Relaxed);
        if real.is_null() {
            // SAFETY: a C string; the C library has this function.
            real = unsafe { dlsym(RTLD_NEXT, $name.as_ptr()) };
            REAL.store(real, Ordering::Relaxed);
        }
        // SAFETY: it has this type by its manual page.
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
    of: c_int,
    address: *mut c_void,
    length: *mut u32,
    flags: c_int,
) -> c_int {
    if fails(ACCEPT) {
        return -1;
    }
    let real = real!(c"accept4", Accept4);
    unsafe { real(of, address, length, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(of: c_int, address: *const c_void, length: u32) -> c_int {
    if fails(CONNECT) {
        return -1;
    }
    let real = real!(c"connect", Connect);
    unsafe { real(of, address, length) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(of: c_int, into: *mut c_void, length: usize, flags: c_int) -> isize {
    if fails(RECEIVE) {
        return -1;
    }
    let most = slot(SHORT_RECEIVE) as usize;
    let length = if most > 0 && flags & MSG_PEEK == 0 { length.min(most) } else { length };
    let real = real!(c"recv", Receive);
    unsafe { real(of, into, length, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    of: c_int,
    from: *const c_void,
    length: usize,
    flags: c_int,
) -> isize {
    hold_up();
    if fails(SEND) {
        return -1;
    }
    let most = slot(SHORT_SEND) as usize;
    let length = if most > 0 { length.min(most) } else { length };
    let real = real!(c"send", SendTo);
    unsafe { real(of, from, length, flags) }
}

/// Of sockets, since nothing else here writes in this way but the log: the first three descriptors pass.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(of: c_int, slices: *const IoSlice, count: c_int) -> isize {
    let real = real!(c"writev", WriteVectored);
    if of < 3 {
        return unsafe { real(of, slices, count) };
    }
    hold_up();
    if fails(SEND) {
        return -1;
    }
    let most = slot(SHORT_SEND) as usize;
    if most == 0 || count <= 0 {
        return unsafe { real(of, slices, count) };
    }
    // SAFETY: there is a first one, as `count` says.
    let first = unsafe { &*slices };
    let short = IoSlice { base: first.base, length: first.length.min(most) };
    unsafe { real(of, &short, 1) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let real = real!(c"clock_gettime", ClockGetTime);
    let done = unsafe { real(clock, time) };
    if done == 0 && clock == CLOCK_REALTIME {
        // SAFETY: the call has filled it.
        unsafe { (*time).seconds += slot(WALL_CLOCK_SECONDS) as i64 };
    }
    done
}

/// Stands still before something is sent, as on a machine that has no time for the process.
fn hold_up() {
    let microseconds = slot(HOLD_UP_MICROSECONDS) as i64;
    if microseconds > 0 && is_due(HOLD_UP_MICROSECONDS) {
        let wanted = Timespec {
            seconds: microseconds / 1_000_000,
            nanoseconds: microseconds % 1_000_000 * 1000,
        };
        // SAFETY: it reads the one and writes nothing.
        unsafe { nanosleep(&wanted, null_mut()) };
    }
}
