//! Submission keys, at-most-once records and answer retention.
