//! The entry instance: HTTP servers, upstream client and peer client around the decision code.
