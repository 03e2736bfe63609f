//! Numbered log events, metrics and per-team histograms.
