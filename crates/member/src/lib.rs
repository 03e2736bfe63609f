//! Instance membership within a data centre.
