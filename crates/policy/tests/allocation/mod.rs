//! An allocator that counts the bytes in use. A program that counts names it as its `#[global_allocator]`.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that are allocated now.
static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, counted.
pub struct Counting;

// SAFETY: every call is passed on to the system's allocator as it came.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: as the caller promises.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as the caller promises.
        unsafe { System.dealloc(memory, layout) }
    }

    unsafe fn realloc(&self, memory: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        IN_USE.fetch_add(size, Ordering::Relaxed);
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as the caller promises.
        unsafe { System.realloc(memory, layout, size) }
    }
}

/// Bytes that are allocated now.
pub fn bytes_in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}
