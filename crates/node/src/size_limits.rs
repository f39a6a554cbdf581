//! Size limits of HTTP requests, shared by several modules.

/// Longest head of a request.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest request.
pub const MAX_REQUEST_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Most header lines of a request.
pub const MAX_REQUEST_HEADERS: usize = 64;
