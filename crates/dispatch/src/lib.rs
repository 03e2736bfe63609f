//! The dispatcher's decision code: events in, actions out.
