//! Sizes that several parts go by.

/// Longest head, in bytes. It is also what hyper reads ahead of a body.
pub const HEAD_MOST: usize = 16 * 1024;
/// The protocol's limit of a body, in bytes.
pub const BODY_MOST: usize = 64 * 1024;
