//! HTTP requests and responses: headers, bodies, problems and recorded answers.

pub(crate) mod body;
pub(crate) mod header;
pub(crate) mod inbound;
pub(crate) mod problem;
pub(crate) mod reason;
pub(crate) mod recorded;
pub(crate) mod relay;
pub(crate) mod request_id;
