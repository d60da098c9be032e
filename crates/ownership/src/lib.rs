//! Decisions on sole ownership: homes, leases, grants and placement.
