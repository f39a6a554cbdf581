//! Size limits of HTTP requests, shared by several modules.

/// Longest head of a request. hyper also buffers this much of a body.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
