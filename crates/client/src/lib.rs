//! The callers' client with resubmission rules.
