//! Messages between routers and their authentication.
