//! The error of operations whose failures are only logged.

/// Any error.
pub type BoxError = Box<dyn std::error::Error>;
