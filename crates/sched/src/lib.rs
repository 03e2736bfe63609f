//! Admission, class shares, team fairness, shedding and run time estimates.
