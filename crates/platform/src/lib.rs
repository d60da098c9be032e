//! Client of the platform: transactional table, object store and VM list.
