//! Fault injection for tests: a library that is preloaded (`LD_PRELOAD`) into the built program to shift its wall clock. The
//! monotonic clock is unchanged.
//!
//! `DRIFTFRONT_WALL_CLOCK` names a file of eight bytes, a signed little-endian number of microseconds that is added to each
//! reading of the wall clock. The file is mapped once and read on each call, so a write to it steps the clock immediately.
//! Without the variable, the clock is unchanged.
#![warn(missing_docs)]

use libc::{c_int, clockid_t, time_t, timespec, timeval};
use std::ffi::c_void;
use std::ptr::null_mut;
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

const MICROS_PER_SECOND: i64 = 1_000_000;

/// The offset if there is no file.
static NO_OFFSET: AtomicI64 = AtomicI64::new(0);
/// The mapped file or [`NO_OFFSET`]; null until the first call.
static OFFSET: AtomicPtr<AtomicI64> = AtomicPtr::new(null_mut());

/// Returns the offset of the wall clock in microseconds.
fn offset() -> i64 {
    let cached = OFFSET.load(Ordering::Acquire);
    let offset = if cached.is_null() {
        init_offset()
    } else {
        cached
    };
    // SAFETY: the pointer is to a static, or to a mapping of eight bytes that is never unmapped.
    unsafe { (*offset).load(Ordering::Relaxed) }
}

fn init_offset() -> *mut AtomicI64 {
    let offset = map_offset().unwrap_or((&raw const NO_OFFSET).cast_mut());
    OFFSET.store(offset, Ordering::Release);
    offset
}

/// Maps the file named by the environment variable. Must not read the clock, which would recurse.
fn map_offset() -> Option<*mut AtomicI64> {
    // SAFETY: the C library's functions are called with valid strings and descriptors. The mapping is read-only and
    // page-aligned, so its first eight bytes are a valid atomic for loads.
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
        let mapping: *mut c_void =
            libc::mmap(null_mut(), size, libc::PROT_READ, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (mapping != libc::MAP_FAILED).then_some(mapping.cast())
    }
}

fn is_wall_clock(clock: clockid_t) -> bool {
    matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE)
}

/// Converts a system call's result, 0 or -1, to the type that the C library's functions return.
#[allow(
    clippy::cast_possible_truncation,
    reason = "0 and -1 fit any integer type"
)]
fn to_c_int(result: libc::c_long) -> c_int {
    result as c_int
}

/// Adds the offset to a time of seconds and a fraction in units of `1 / units_per_second` seconds.
fn shift(seconds: time_t, fraction: i64, units_per_second: i64) -> (time_t, i64) {
    let units_per_micro = units_per_second / MICROS_PER_SECOND;
    let fraction = fraction + offset() % MICROS_PER_SECOND * units_per_micro;
    (
        seconds + offset() / MICROS_PER_SECOND + fraction.div_euclid(units_per_second),
        fraction.rem_euclid(units_per_second),
    )
}

/// Replaces the C library's `clock_gettime`, with the offset added to wall clocks.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = to_c_int(libc::syscall(libc::SYS_clock_gettime, clock, time));
    if result == 0 && is_wall_clock(clock) {
        ((*time).tv_sec, (*time).tv_nsec) = shift((*time).tv_sec, (*time).tv_nsec, 1_000_000_000);
    }
    result
}

/// Replaces the C library's `gettimeofday`, with the offset added.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int {
    let result = to_c_int(libc::syscall(libc::SYS_gettimeofday, time, zone));
    if result == 0 && !time.is_null() {
        ((*time).tv_sec, (*time).tv_usec) =
            shift((*time).tv_sec, (*time).tv_usec, MICROS_PER_SECOND);
    }
    result
}

/// Replaces the C library's `time`, with the offset added.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn time(out: *mut time_t) -> time_t {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if !out.is_null() {
        *out = now.tv_sec;
    }
    now.tv_sec
}
