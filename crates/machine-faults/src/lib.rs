//! A fault-injection library for tests. Preloaded into a process (`LD_PRELOAD`), it makes system calls fail the way they
//! do on a faulty or overloaded machine.
//!
//! `MACHINE_FAULTS` names a control file of [`FIELDS`] 64-bit integers in native byte order, one for each [`Field`]. The
//! file is mapped, so a value that a test writes takes effect from the next call on. Without the variable, all calls are
//! passed on. File faults affect only files below the state directory, `GW_STATE`.

#![allow(unsafe_code)]

use libc::{c_char, c_int, c_void, iovec, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// Number of integers in the control file.
const FIELDS: usize = 16;
/// Files with this descriptor or a higher one never count as files of the state directory.
const MAX_DESCRIPTORS: usize = 4096;

/// The integers of the control file. Zero disables a fault.
#[repr(usize)]
enum Field {
    /// Microseconds added to the wall clock.
    WallClockOffset,
    /// Calls that modify the state directory fail with this error.
    StateDirError,
    /// Maximum number of bytes that one read from a socket returns.
    MaxReadBytes,
    /// Maximum number of bytes that one write to a socket accepts.
    MaxWriteBytes,
    /// Every `AcceptErrorInterval`-th accept fails with this error.
    AcceptError,
    AcceptErrorInterval,
    /// Every `ConnectErrorInterval`-th connect fails with this error.
    ConnectError,
    ConnectErrorInterval,
    /// Every `InterruptInterval`-th `epoll_wait` fails with `EINTR`.
    InterruptInterval,
    /// The next write to the state directory stops half way, and the process is killed.
    TearNextWrite,
    /// Number of calls that this library has failed or shortened so far.
    FaultCount,
    /// Calls that create a socket or an epoll instance, or that listen, fail with this error.
    SocketError,
    /// Every `TransferErrorInterval`-th `recv` or `send` fails with this error; reads with `MSG_PEEK` don't count.
    TransferError,
    TransferErrorInterval,
}

static STATE_DIR_FILES: [AtomicBool; MAX_DESCRIPTORS] = [const { AtomicBool::new(false) }; MAX_DESCRIPTORS];
static ACCEPTS: AtomicI64 = AtomicI64::new(0);
static CONNECTS: AtomicI64 = AtomicI64::new(0);
static WAITS: AtomicI64 = AtomicI64::new(0);
static TRANSFERS: AtomicI64 = AtomicI64::new(0);

/// The mapped control file, and the path of the state directory.
struct FaultTable {
    fields: &'static [AtomicI64; FIELDS],
    state_dir: Vec<u8>,
}

/// The fault table of this process; `None` where no faults are configured.
fn fault_table() -> Option<&'static FaultTable> {
    static TABLE: OnceLock<Option<FaultTable>> = OnceLock::new();
    TABLE
        .get_or_init(|| {
            let path = std::env::var_os("MACHINE_FAULTS")?;
            let state_dir = std::env::var_os("GW_STATE")?.into_encoded_bytes();
            let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
            // SAFETY: the path is NUL-terminated; the mapping is shared, aligned and long enough for the array, and is never
            // unmapped.
            unsafe {
                let file =
                    libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR, 0) as c_int;
                if file < 0 {
                    return None;
                }
                let length = FIELDS * size_of::<AtomicI64>();
                let flags = libc::PROT_READ | libc::PROT_WRITE;
                let address = libc::mmap(std::ptr::null_mut(), length, flags, libc::MAP_SHARED, file, 0);
                libc::syscall(libc::SYS_close, file);
                if address == libc::MAP_FAILED {
                    return None;
                }
                Some(FaultTable { fields: &*address.cast(), state_dir })
            }
        })
        .as_ref()
}

/// The value of a field; zero without a fault table.
fn field(field: Field) -> i64 {
    fault_table().map_or(0, |table| table.fields[field as usize].load(Ordering::Relaxed))
}

fn count_fault() {
    if let Some(table) = fault_table() {
        table.fields[Field::FaultCount as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// Sets `errno` and returns the value of a failed call.
fn fail(error: i64) -> c_int {
    count_fault();
    // SAFETY: points to the C library's `errno` of this thread.
    unsafe { *libc::__errno_location() = error as c_int };
    -1
}

/// Counts a call and returns whether it has to fail: every `interval`-th does.
fn is_due(calls: &AtomicI64, interval: i64) -> bool {
    interval > 0 && (calls.fetch_add(1, Ordering::Relaxed) + 1) % interval == 0
}

fn is_state_dir_file(file: c_int) -> bool {
    usize::try_from(file).is_ok_and(|file| {
        STATE_DIR_FILES.get(file).is_some_and(|is_inside| is_inside.load(Ordering::Relaxed))
    })
}

/// Records whether a descriptor is open on a file of the state directory.
fn set_state_dir_file(file: c_int, is_inside: bool) {
    if let Ok(file) = usize::try_from(file)
        && let Some(entry) = STATE_DIR_FILES.get(file)
    {
        entry.store(is_inside, Ordering::Relaxed);
    }
}

/// Whether a path lies in the state directory.
///
/// # Safety
/// The path must be NUL-terminated.
unsafe fn is_in_state_dir(path: *const c_char) -> bool {
    // SAFETY: the caller guarantees it.
    let path = unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes();
    fault_table().is_some_and(|table| path.starts_with(&table.state_dir))
}

/// Limits the number of bytes that one call transfers.
fn limit_length(length: size_t, max_bytes: i64) -> size_t {
    match usize::try_from(max_bytes) {
        Ok(max_bytes @ 1..) if max_bytes < length => {
            count_fault();
            max_bytes
        }
        _ => length,
    }
}

// SAFETY of the functions below: each has the signature of the C library's function and passes its arguments on to the
// kernel unchanged, except for a length that may be reduced.

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset = field(Field::WallClockOffset);
        unsafe {
            let nanos = (*time).tv_nsec + offset % 1_000_000 * 1000;
            (*time).tv_sec += offset / 1_000_000 + nanos.div_euclid(1_000_000_000);
            (*time).tv_nsec = nanos.rem_euclid(1_000_000_000);
        }
    }
    result
}

#[unsafe(no_mangle)]
unsafe extern "C" fn read(file: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    unsafe { libc::syscall(libc::SYS_read, file, bytes, length) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if flags & libc::MSG_PEEK == 0 && is_due(&TRANSFERS, field(Field::TransferErrorInterval)) {
        return fail(field(Field::TransferError)) as ssize_t;
    }
    let length =
        if flags & libc::MSG_PEEK == 0 { limit_length(length, field(Field::MaxReadBytes)) } else { length };
    let (from, size) = (std::ptr::null_mut::<c_void>(), std::ptr::null_mut::<c_void>());
    unsafe { libc::syscall(libc::SYS_recvfrom, socket, bytes, length, flags, from, size) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if is_due(&TRANSFERS, field(Field::TransferErrorInterval)) {
        return fail(field(Field::TransferError)) as ssize_t;
    }
    let length = limit_length(length, field(Field::MaxWriteBytes));
    let (to, size) = (std::ptr::null::<c_void>(), 0);
    unsafe { libc::syscall(libc::SYS_sendto, socket, bytes, length, flags, to, size) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let max_bytes = field(Field::MaxWriteBytes);
    if max_bytes > 0 && count > 0 && !is_state_dir_file(file) {
        let first_filled =
            (0..count as usize).map(|part| unsafe { &*parts.add(part) }).find(|part| part.iov_len > 0);
        if let Some(part) = first_filled {
            let length = limit_length(part.iov_len, max_bytes);
            return unsafe { libc::syscall(libc::SYS_write, file, part.iov_base, length) as ssize_t };
        }
    }
    unsafe { libc::syscall(libc::SYS_writev, file, parts, count) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    if is_state_dir_file(file) {
        let error = field(Field::StateDirError);
        if error != 0 {
            return fail(error) as ssize_t;
        }
        if field(Field::TearNextWrite) != 0 && length > 1 {
            unsafe {
                libc::syscall(libc::SYS_write, file, bytes, length / 2);
                libc::kill(libc::getpid(), libc::SIGKILL);
            }
        }
    }
    unsafe { libc::syscall(libc::SYS_write, file, bytes, length) as ssize_t }
}

/// A call that may modify the state directory: fails it, or passes it on.
fn state_dir_call(is_inside: bool, call: impl FnOnce() -> libc::c_long) -> c_int {
    match field(Field::StateDirError) {
        error if error != 0 && is_inside => fail(error),
        _ => call() as c_int,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let is_inside = unsafe { is_in_state_dir(path) };
    let descriptor = state_dir_call(is_inside && flags & libc::O_CREAT != 0, || unsafe {
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode)
    });
    set_state_dir_file(descriptor, is_inside);
    descriptor
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { open64(path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn close(file: c_int) -> c_int {
    set_state_dir_file(file, false);
    unsafe { libc::syscall(libc::SYS_close, file) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(file: c_int, length: off64_t) -> c_int {
    state_dir_call(is_state_dir_file(file), || unsafe { libc::syscall(libc::SYS_ftruncate, file, length) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(file: c_int) -> c_int {
    state_dir_call(is_state_dir_file(file), || unsafe { libc::syscall(libc::SYS_fsync, file) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    state_dir_call(is_state_dir_file(file), || unsafe { libc::syscall(libc::SYS_fdatasync, file) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let is_inside = unsafe { is_in_state_dir(path) };
    state_dir_call(is_inside, || unsafe { libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let is_inside = unsafe { is_in_state_dir(to) };
    let current_dir = libc::AT_FDCWD;
    state_dir_call(is_inside, || unsafe {
        libc::syscall(libc::SYS_renameat2, current_dir, from, current_dir, to, 0)
    })
}

/// A call that allocates a kernel resource: fails it, or passes it on.
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
    if is_due(&ACCEPTS, field(Field::AcceptErrorInterval)) {
        return fail(field(Field::AcceptError));
    }
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_due(&CONNECTS, field(Field::ConnectErrorInterval)) {
        return fail(field(Field::ConnectError));
    }
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut libc::epoll_event, max_events: c_int, timeout: c_int,
) -> c_int {
    if is_due(&WAITS, field(Field::InterruptInterval)) {
        return fail(i64::from(libc::EINTR));
    }
    // arm64 has no `epoll_wait`; without a signal mask `epoll_pwait` is the same call.
    let no_mask = std::ptr::null::<libc::sigset_t>();
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, timeout, no_mask, 0) as c_int }
}
