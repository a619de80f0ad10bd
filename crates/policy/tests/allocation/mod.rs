//! An allocator that counts the bytes in use. A program uses it as its `#[global_allocator]`.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of bytes in use.
static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with a count of the bytes in use.
pub struct Counting;

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the same method of `System`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the same method of `System`.
        unsafe { System.dealloc(memory, layout) }
    }

    unsafe fn realloc(&self, memory: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        IN_USE.fetch_add(size, Ordering::Relaxed);
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the same method of `System`.
        unsafe { System.realloc(memory, layout, size) }
    }
}

/// Returns the number of bytes in use.
pub fn bytes_in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}
