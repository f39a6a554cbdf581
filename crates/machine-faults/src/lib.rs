//! Fault injection for tests: a library that is preloaded into a process and makes its system calls fail or fall short.
//!
//! `MACHINE_FAULTS` names a file of [`FIELD_COUNT`] 64-bit integers in native byte order, one for each [`Field`]. The
//! file is mapped into memory, so a value that a test writes applies from the next call on. If the variable is not set,
//! all calls are passed on to the kernel. Faults of the state directory apply to files whose path begins with the value
//! of `GW_STATE`.

#![allow(unsafe_code)]

use libc::{c_char, c_int, c_void, iovec, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// Number of integers in the file.
const FIELD_COUNT: usize = 16;
/// Higher descriptors are not tracked: they never count as files of the state directory.
const MAX_TRACKED_DESCRIPTORS: usize = 4096;

/// The integers of the file, in their order. Zero means that the fault is off.
#[repr(usize)]
enum Field {
    /// Microseconds by which the wall clock is ahead.
    WallOffset,
    /// Calls that modify the state directory fail with this error.
    FolderError,
    /// Maximum number of bytes that one read from a socket returns.
    ReadMost,
    /// Maximum number of bytes that one write to a socket accepts.
    WriteMost,
    /// Every `AcceptEvery`-th accept fails with this error.
    AcceptError,
    AcceptEvery,
    /// Every `ConnectEvery`-th connect fails with this error.
    ConnectError,
    ConnectEvery,
    /// Every `InterruptEvery`-th wait is interrupted.
    InterruptEvery,
    /// The next write to a file of the state directory writes half of its bytes, and then the process is killed.
    TearNext,
    /// Number of calls so far that this library has made to fail or shortened.
    Faults,
    /// Calls that create a socket, a socket pair or an epoll instance, or begin to listen, fail with this error.
    SocketError,
    /// Every `BreakEvery`-th read from or write to a socket fails with this error; peeks do not count.
    BreakError,
    BreakEvery,
}

/// By descriptor: whether it is an open file of the state directory.
static STATE_FILES: [AtomicBool; MAX_TRACKED_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; MAX_TRACKED_DESCRIPTORS];
/// Number of accept calls so far.
static ACCEPT_CALLS: AtomicI64 = AtomicI64::new(0);
/// Number of connect calls so far.
static CONNECT_CALLS: AtomicI64 = AtomicI64::new(0);
/// Number of wait calls so far.
static WAIT_CALLS: AtomicI64 = AtomicI64::new(0);
/// Number of reads from and writes to sockets so far.
static TRANSFER_CALLS: AtomicI64 = AtomicI64::new(0);

/// The mapped file, and the path of the state directory.
struct FaultPlan {
    fields: &'static [AtomicI64; FIELD_COUNT],
    state_dir: Vec<u8>,
}

/// The fault plan; `None` if the environment does not name one or its file can't be mapped.
fn plan() -> Option<&'static FaultPlan> {
    static FAULT_PLAN: OnceLock<Option<FaultPlan>> = OnceLock::new();
    FAULT_PLAN
        .get_or_init(|| {
            let path = std::env::var_os("MACHINE_FAULTS")?;
            let state_dir = std::env::var_os("GW_STATE")?.into_encoded_bytes();
            let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
            // SAFETY: the path ends in a zero byte; the mapping is shared, of whole words, and is never unmapped.
            unsafe {
                let file =
                    libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR, 0) as c_int;
                if file < 0 {
                    return None;
                }
                let length = FIELD_COUNT * size_of::<AtomicI64>();
                let flags = libc::PROT_READ | libc::PROT_WRITE;
                let at = libc::mmap(std::ptr::null_mut(), length, flags, libc::MAP_SHARED, file, 0);
                libc::syscall(libc::SYS_close, file);
                if at == libc::MAP_FAILED {
                    return None;
                }
                Some(FaultPlan { fields: &*at.cast(), state_dir })
            }
        })
        .as_ref()
}

/// The value of a field; zero without a plan.
fn field(field: Field) -> i64 {
    plan().map_or(0, |plan| plan.fields[field as usize].load(Ordering::Relaxed))
}

fn count_fault() {
    if let Some(plan) = plan() {
        plan.fields[Field::Faults as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts a fault, sets the error of this thread and returns the result of a failed call.
fn fail(error: i64) -> c_int {
    count_fault();
    // SAFETY: this is the C library's `errno` of the current thread.
    unsafe { *libc::__errno_location() = error as c_int };
    -1
}

/// Counts a call and returns whether it is the one of `every` that fails.
fn should_fail(calls: &AtomicI64, every: i64) -> bool {
    every > 0 && (calls.fetch_add(1, Ordering::Relaxed) + 1) % every == 0
}

fn is_state_file(file: c_int) -> bool {
    usize::try_from(file).is_ok_and(|file| {
        STATE_FILES.get(file).is_some_and(|in_state_dir| in_state_dir.load(Ordering::Relaxed))
    })
}

fn track_descriptor(file: c_int, in_state_dir: bool) {
    if let Ok(file) = usize::try_from(file)
        && let Some(tracked) = STATE_FILES.get(file)
    {
        tracked.store(in_state_dir, Ordering::Relaxed);
    }
}

/// Whether a path begins with that of the state directory.
///
/// # Safety
/// The path ends in a zero byte.
unsafe fn is_in_state_dir(path: *const c_char) -> bool {
    // SAFETY: guaranteed by the caller.
    let path = unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes();
    plan().is_some_and(|plan| path.starts_with(&plan.state_dir))
}

/// Shortens the length of a transfer to a maximum; zero means that there is none.
fn limit_length(length: size_t, max: i64) -> size_t {
    match usize::try_from(max) {
        Ok(max @ 1..) if max < length => {
            count_fault();
            max
        }
        _ => length,
    }
}

// SAFETY of all functions below: each has the signature of the C library's function of that name and passes its
// arguments on to the kernel unchanged, except that a length may be reduced.

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let done = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if done == 0 && clock == libc::CLOCK_REALTIME {
        let offset = field(Field::WallOffset);
        unsafe {
            let nanos = (*time).tv_nsec + offset % 1_000_000 * 1000;
            (*time).tv_sec += offset / 1_000_000 + nanos.div_euclid(1_000_000_000);
            (*time).tv_nsec = nanos.rem_euclid(1_000_000_000);
        }
    }
    done
}

#[unsafe(no_mangle)]
unsafe extern "C" fn read(file: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    unsafe { libc::syscall(libc::SYS_read, file, bytes, length) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if flags & libc::MSG_PEEK == 0 && should_fail(&TRANSFER_CALLS, field(Field::BreakEvery)) {
        return fail(field(Field::BreakError)) as ssize_t;
    }
    let length =
        if flags & libc::MSG_PEEK == 0 { limit_length(length, field(Field::ReadMost)) } else { length };
    let (from, size) = (std::ptr::null_mut::<c_void>(), std::ptr::null_mut::<c_void>());
    unsafe { libc::syscall(libc::SYS_recvfrom, socket, bytes, length, flags, from, size) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail(&TRANSFER_CALLS, field(Field::BreakEvery)) {
        return fail(field(Field::BreakError)) as ssize_t;
    }
    let length = limit_length(length, field(Field::WriteMost));
    let (to, size) = (std::ptr::null::<c_void>(), 0);
    unsafe { libc::syscall(libc::SYS_sendto, socket, bytes, length, flags, to, size) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let max = field(Field::WriteMost);
    if max > 0 && count > 0 && !is_state_file(file) {
        let filled =
            (0..count as usize).map(|part| unsafe { &*parts.add(part) }).find(|part| part.iov_len > 0);
        if let Some(part) = filled {
            let length = limit_length(part.iov_len, max);
            return unsafe { libc::syscall(libc::SYS_write, file, part.iov_base, length) as ssize_t };
        }
    }
    unsafe { libc::syscall(libc::SYS_writev, file, parts, count) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    if is_state_file(file) {
        let error = field(Field::FolderError);
        if error != 0 {
            return fail(error) as ssize_t;
        }
        if field(Field::TearNext) != 0 && length > 1 {
            unsafe {
                libc::syscall(libc::SYS_write, file, bytes, length / 2);
                libc::kill(libc::getpid(), libc::SIGKILL);
            }
        }
    }
    unsafe { libc::syscall(libc::SYS_write, file, bytes, length) as ssize_t }
}

/// Passes a call on, unless it modifies the state directory and is to fail. `in_state_dir`: it modifies it.
fn state_dir_call(in_state_dir: bool, call: impl FnOnce() -> libc::c_long) -> c_int {
    match field(Field::FolderError) {
        error if error != 0 && in_state_dir => fail(error),
        _ => call() as c_int,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let in_state_dir = unsafe { is_in_state_dir(path) };
    let opened = state_dir_call(in_state_dir && flags & libc::O_CREAT != 0, || unsafe {
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode)
    });
    track_descriptor(opened, in_state_dir);
    opened
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { open64(path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn close(file: c_int) -> c_int {
    track_descriptor(file, false);
    unsafe { libc::syscall(libc::SYS_close, file) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(file: c_int, length: off64_t) -> c_int {
    state_dir_call(is_state_file(file), || unsafe { libc::syscall(libc::SYS_ftruncate, file, length) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(file: c_int) -> c_int {
    state_dir_call(is_state_file(file), || unsafe { libc::syscall(libc::SYS_fsync, file) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    state_dir_call(is_state_file(file), || unsafe { libc::syscall(libc::SYS_fdatasync, file) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let in_state_dir = unsafe { is_in_state_dir(path) };
    state_dir_call(in_state_dir, || unsafe { libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let in_state_dir = unsafe { is_in_state_dir(to) };
    let base = libc::AT_FDCWD;
    state_dir_call(in_state_dir, || unsafe { libc::syscall(libc::SYS_renameat2, base, from, base, to, 0) })
}

/// Passes on a call that needs a resource of the machine, unless such calls are to fail.
fn resource_call(call: impl FnOnce() -> libc::c_long) -> c_int {
    match field(Field::SocketError) {
        0 => call() as c_int,
        error => fail(error),
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    resource_call(|| unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    resource_call(|| unsafe { libc::syscall(libc::SYS_socketpair, domain, kind, protocol, pair) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    resource_call(|| unsafe { libc::syscall(libc::SYS_epoll_create1, flags) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn listen(socket: c_int, backlog: c_int) -> c_int {
    resource_call(|| unsafe { libc::syscall(libc::SYS_listen, socket, backlog) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    if should_fail(&ACCEPT_CALLS, field(Field::AcceptEvery)) {
        return fail(field(Field::AcceptError));
    }
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if should_fail(&CONNECT_CALLS, field(Field::ConnectEvery)) {
        return fail(field(Field::ConnectError));
    }
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut libc::epoll_event, max_events: c_int, timeout: c_int,
) -> c_int {
    if should_fail(&WAIT_CALLS, field(Field::InterruptEvery)) {
        return fail(i64::from(libc::EINTR));
    }
    unsafe { libc::syscall(libc::SYS_epoll_wait, epoll, events, max_events, timeout) as c_int }
}
