//! Stand-ins for the platform's store, instance list and upstreams.
