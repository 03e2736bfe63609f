//! Workload bench, load tool and capacity measurements.
