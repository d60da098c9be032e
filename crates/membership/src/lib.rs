//! Decisions on membership, the spreading of news and the adoption of bundles.
