//! Client of the platform's key-value store, configuration sync and claims.
