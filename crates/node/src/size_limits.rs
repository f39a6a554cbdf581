//! Sizes that several parts go by.

/// Longest head, in bytes. It is also what hyper reads ahead of a body.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The protocol's limit of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
