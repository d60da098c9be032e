//! Settings and bundles: reading, checking, comparing and approving INI files.
