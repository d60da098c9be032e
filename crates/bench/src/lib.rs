//! Measurements: capacity slopes, policy experiments and a load generator.
