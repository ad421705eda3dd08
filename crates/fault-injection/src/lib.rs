//! Fault injection for tests: preloaded (`LD_PRELOAD`) into the built program, it sets that process's wall clock and leaves the
//! monotonic clock as it is.
//!
//! `DRIFTFRONT_WALL_CLOCK` names a file of eight bytes: microseconds, little endian and signed, that are added to each reading
//! of the wall clock. The file is mapped once and read with each call, so that whoever writes it steps the clock at once.
//! Without the variable nothing is changed.
#![warn(missing_docs)]

use libc::{c_int, clockid_t, time_t, timespec, timeval};
use std::ffi::c_void;
use std::ptr::null_mut;
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

const MICROS_PER_SECOND: i64 = 1_000_000;

/// What is added where no file is named.
static NO_STEP: AtomicI64 = AtomicI64::new(0);
/// The mapped file, once it was looked for.
static OFFSET: AtomicPtr<AtomicI64> = AtomicPtr::new(null_mut());

/// Microseconds that the wall clock is off.
fn offset() -> i64 {
    let known = OFFSET.load(Ordering::Acquire);
    let offset = if known.is_null() {
        find_offset()
    } else {
        known
    };
    // SAFETY: either a static, or a mapping of eight bytes that is never undone.
    unsafe { (*offset).load(Ordering::Relaxed) }
}

fn find_offset() -> *mut AtomicI64 {
    let found = map_offset().unwrap_or((&raw const NO_STEP).cast_mut());
    OFFSET.store(found, Ordering::Release);
    found
}

/// Maps the file that the environment names. Nothing here may ask for the time.
fn map_offset() -> Option<*mut AtomicI64> {
    // SAFETY: plain calls of the C library on strings and descriptors that live long enough; the mapping is read only, and
    // page-aligned, so that eight bytes at its beginning are a valid atomic.
    unsafe {
        let path = libc::getenv(c"DRIFTFRONT_WALL_CLOCK".as_ptr());
        if path.is_null() {
            return None;
        }
        let file = libc::open(path, libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let size = size_of::<AtomicI64>();
        let at: *mut c_void =
            libc::mmap(null_mut(), size, libc::PROT_READ, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (at != libc::MAP_FAILED).then_some(at.cast())
    }
}

fn is_wall_clock(clock: clockid_t) -> bool {
    matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE)
}

/// A system call's result as the C library's function returns it: 0, or -1.
#[allow(
    clippy::cast_possible_truncation,
    reason = "both results fit any integer"
)]
fn result_of(syscall: libc::c_long) -> c_int {
    syscall as c_int
}

/// Moves a time by the offset, of which it has `per_second` parts.
fn moved(seconds: time_t, part: i64, per_second: i64) -> (time_t, i64) {
    let parts_per_micro = per_second / MICROS_PER_SECOND;
    let part = part + offset() % MICROS_PER_SECOND * parts_per_micro;
    (
        seconds + offset() / MICROS_PER_SECOND + part.div_euclid(per_second),
        part.rem_euclid(per_second),
    )
}

/// The C library's `clock_gettime`, with the wall clock moved.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let done = result_of(libc::syscall(libc::SYS_clock_gettime, clock, time));
    if done == 0 && is_wall_clock(clock) {
        ((*time).tv_sec, (*time).tv_nsec) = moved((*time).tv_sec, (*time).tv_nsec, 1_000_000_000);
    }
    done
}

/// The C library's `gettimeofday`, with the wall clock moved.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int {
    let done = result_of(libc::syscall(libc::SYS_gettimeofday, time, zone));
    if done == 0 && !time.is_null() {
        ((*time).tv_sec, (*time).tv_usec) =
            moved((*time).tv_sec, (*time).tv_usec, MICROS_PER_SECOND);
    }
    done
}

/// The C library's `time`, with the wall clock moved.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn time(into: *mut time_t) -> time_t {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if !into.is_null() {
        *into = now.tv_sec;
    }
    now.tv_sec
}
