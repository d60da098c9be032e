//! Decisions on each request: admission, fairness, retries, health and idempotency.
