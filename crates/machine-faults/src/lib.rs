//! For tests alone: preloaded into one process, this library lets its system calls fail as a machine in trouble would.
//!
//! `MACHINE_FAULTS` names a file of [`FIELDS`] 64-bit numbers in the machine's byte order, one for each [`Field`]. It is
//! mapped, so what a test writes there holds from the next call on. Without the variable every call is passed on.
//! Calls on files count as the folder's where their path lies below `GW_STATE`.

#![allow(unsafe_code)]

use libc::{c_char, c_int, c_void, iovec, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// Numbers in the file.
const FIELDS: usize = 16;
/// Descriptors above this one are never the folder's.
const DESCRIPTORS_MOST: usize = 4096;

/// What each number of the file means. Zero: no such fault.
#[repr(usize)]
enum Field {
    /// Microseconds by which the wall clock is ahead.
    WallOffset,
    /// Calls that change the folder fail with this error.
    FolderError,
    /// Bytes that one read from a socket brings at most.
    ReadMost,
    /// Bytes that one write to a socket takes at most.
    WriteMost,
    /// Every `AcceptEvery`-th accept fails with this error.
    AcceptError,
    AcceptEvery,
    /// Every `ConnectEvery`-th connect fails with this error.
    ConnectError,
    ConnectEvery,
    /// Every so many waits are interrupted.
    InterruptEvery,
    /// The next write to the folder stops half way, and the process is killed there.
    TearNext,
    /// Calls that this library let fail or cut short so far.
    Faults,
    /// Calls for a new socket, an epoll or a listening address fail with this error.
    SocketError,
    /// Every `BreakEvery`-th read from or write to a socket that is no look fails with this error.
    BreakError,
    BreakEvery,
}

static FOLDER_FILES: [AtomicBool; DESCRIPTORS_MOST] = [const { AtomicBool::new(false) }; DESCRIPTORS_MOST];
static ACCEPTS: AtomicI64 = AtomicI64::new(0);
static CONNECTS: AtomicI64 = AtomicI64::new(0);
static WAITS: AtomicI64 = AtomicI64::new(0);
static TRANSFERS: AtomicI64 = AtomicI64::new(0);

/// The mapped file, and the folder's path.
struct Plan {
    fields: &'static [AtomicI64; FIELDS],
    folder: Vec<u8>,
}

/// The plan, where this process has one.
fn plan() -> Option<&'static Plan> {
    static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
    PLAN.get_or_init(|| {
        let path = std::env::var_os("MACHINE_FAULTS")?;
        let folder = std::env::var_os("GW_STATE")?.into_encoded_bytes();
        let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
        // SAFETY: the path ends in a zero byte; the mapping is shared, of whole words, and is never unmapped.
        unsafe {
            let file =
                libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR, 0) as c_int;
            if file < 0 {
                return None;
            }
            let length = FIELDS * size_of::<AtomicI64>();
            let flags = libc::PROT_READ | libc::PROT_WRITE;
            let at = libc::mmap(std::ptr::null_mut(), length, flags, libc::MAP_SHARED, file, 0);
            libc::syscall(libc::SYS_close, file);
            if at == libc::MAP_FAILED {
                return None;
            }
            Some(Plan { fields: &*at.cast(), folder })
        }
    })
    .as_ref()
}

/// The number in a field; zero without a plan.
fn field(field: Field) -> i64 {
    plan().map_or(0, |plan| plan.fields[field as usize].load(Ordering::Relaxed))
}

fn count_fault() {
    if let Some(plan) = plan() {
        plan.fields[Field::Faults as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// Fails with an error.
fn fail(error: i64) -> c_int {
    count_fault();
    // SAFETY: the C library's own place for the error of this thread.
    unsafe { *libc::__errno_location() = error as c_int };
    -1
}

/// Whether this call of a kind is one that fails.
fn is_due(calls: &AtomicI64, every: i64) -> bool {
    every > 0 && (calls.fetch_add(1, Ordering::Relaxed) + 1) % every == 0
}

fn is_folder_file(file: c_int) -> bool {
    usize::try_from(file)
        .is_ok_and(|file| FOLDER_FILES.get(file).is_some_and(|belongs| belongs.load(Ordering::Relaxed)))
}

fn mark(file: c_int, belongs: bool) {
    if let Ok(file) = usize::try_from(file)
        && let Some(place) = FOLDER_FILES.get(file)
    {
        place.store(belongs, Ordering::Relaxed);
    }
}

/// Whether a path lies in the folder.
///
/// # Safety
/// The path ends in a zero byte.
unsafe fn is_in_folder(path: *const c_char) -> bool {
    // SAFETY: by this function's own condition.
    let path = unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes();
    plan().is_some_and(|plan| path.starts_with(&plan.folder))
}

/// Cuts a length to what one call may move.
fn cut(length: size_t, most: i64) -> size_t {
    match usize::try_from(most) {
        Ok(most @ 1..) if most < length => {
            count_fault();
            most
        }
        _ => length,
    }
}

// SAFETY of all that follows: each function has the C library's own form and passes its arguments on to the kernel as
// they came, but for a length that is made smaller.

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
    if flags & libc::MSG_PEEK == 0 && is_due(&TRANSFERS, field(Field::BreakEvery)) {
        return fail(field(Field::BreakError)) as ssize_t;
    }
    let length = if flags & libc::MSG_PEEK == 0 { cut(length, field(Field::ReadMost)) } else { length };
    let (from, size) = (std::ptr::null_mut::<c_void>(), std::ptr::null_mut::<c_void>());
    unsafe { libc::syscall(libc::SYS_recvfrom, socket, bytes, length, flags, from, size) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if is_due(&TRANSFERS, field(Field::BreakEvery)) {
        return fail(field(Field::BreakError)) as ssize_t;
    }
    let length = cut(length, field(Field::WriteMost));
    let (to, size) = (std::ptr::null::<c_void>(), 0);
    unsafe { libc::syscall(libc::SYS_sendto, socket, bytes, length, flags, to, size) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let most = field(Field::WriteMost);
    if most > 0 && count > 0 && !is_folder_file(file) {
        let filled =
            (0..count as usize).map(|part| unsafe { &*parts.add(part) }).find(|part| part.iov_len > 0);
        if let Some(part) = filled {
            let length = cut(part.iov_len, most);
            return unsafe { libc::syscall(libc::SYS_write, file, part.iov_base, length) as ssize_t };
        }
    }
    unsafe { libc::syscall(libc::SYS_writev, file, parts, count) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    if is_folder_file(file) {
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

/// A call that changes the folder: it fails, or is passed on.
fn folder_call(concerned: bool, call: impl FnOnce() -> libc::c_long) -> c_int {
    match field(Field::FolderError) {
        error if error != 0 && concerned => fail(error),
        _ => call() as c_int,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let belongs = unsafe { is_in_folder(path) };
    let opened = folder_call(belongs && flags & libc::O_CREAT != 0, || unsafe {
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode)
    });
    mark(opened, belongs);
    opened
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { open64(path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn close(file: c_int) -> c_int {
    mark(file, false);
    unsafe { libc::syscall(libc::SYS_close, file) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(file: c_int, length: off64_t) -> c_int {
    folder_call(is_folder_file(file), || unsafe { libc::syscall(libc::SYS_ftruncate, file, length) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(file: c_int) -> c_int {
    folder_call(is_folder_file(file), || unsafe { libc::syscall(libc::SYS_fsync, file) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    folder_call(is_folder_file(file), || unsafe { libc::syscall(libc::SYS_fdatasync, file) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let concerned = unsafe { is_in_folder(path) };
    folder_call(concerned, || unsafe { libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let concerned = unsafe { is_in_folder(to) };
    let here = libc::AT_FDCWD;
    folder_call(concerned, || unsafe { libc::syscall(libc::SYS_renameat2, here, from, here, to, 0) })
}

/// A call for something that the machine may be short of: it fails, or is passed on.
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
unsafe extern "C" fn listen(socket: c_int, most: c_int) -> c_int {
    resource_call(|| unsafe { libc::syscall(libc::SYS_listen, socket, most) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    if is_due(&ACCEPTS, field(Field::AcceptEvery)) {
        return fail(field(Field::AcceptError));
    }
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_due(&CONNECTS, field(Field::ConnectEvery)) {
        return fail(field(Field::ConnectError));
    }
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut libc::epoll_event, most: c_int, timeout: c_int,
) -> c_int {
    if is_due(&WAITS, field(Field::InterruptEvery)) {
        return fail(i64::from(libc::EINTR));
    }
    unsafe { libc::syscall(libc::SYS_epoll_wait, epoll, events, most, timeout) as c_int }
}
