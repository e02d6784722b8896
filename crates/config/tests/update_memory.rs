//! Memory that the decoding of an update takes.

#![expect(unsafe_code, reason = "an allocator can't be written without")]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use kingcuplift_config::{FrameError, decode_update, encode_update};
use kingcuplift_schema::control::{Encoding, ResourceChange, Update, UpdateFrame};

/// Largest allocation so far, in bytes.
static LARGEST: AtomicUsize = AtomicUsize::new(0);

/// Notes the largest allocation.
struct Recorder;

// SAFETY: all calls are passed on to the system allocator.
unsafe impl GlobalAlloc for Recorder {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LARGEST.fetch_max(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of the system allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of the system allocator.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static RECORDER: Recorder = Recorder;

/// Each update took a buffer of 64 MiB, however short it was: processes with a limit on their address space ended.
#[test]
fn short_update_takes_little() {
    let change = |number: u32| ResourceChange { key: format!("routes/r-{number}"), json: None };
    let update = Update { changes: (0..300).map(change).collect(), ..Update::default() };
    let frame = encode_update(&update);
    assert_eq!(frame.encoding(), Encoding::Zstd);
    LARGEST.store(0, Ordering::Relaxed);
    assert_eq!(decode_update(&frame).expect("the update is intact"), update);
    let largest = LARGEST.load(Ordering::Relaxed);
    assert!(largest < 1 << 20, "one allocation has {largest} bytes");

    let body = vec![0; 65 << 20];
    let body = zstd::bulk::compress(&body, 3).expect("the data can be compressed");
    let frame = UpdateFrame { encoding: Encoding::Zstd.into(), body: body.into() };
    LARGEST.store(0, Ordering::Relaxed);
    assert!(matches!(decode_update(&frame), Err(FrameError::Size)), "the size is refused");
    let largest = LARGEST.load(Ordering::Relaxed);
    assert!(largest < 1 << 20, "one allocation has {largest} bytes");
}
