//! Cold upstreams.

use std::rc::Rc;

use crate::node::Node;
use crate::platform::Platform;

impl<P: Platform> Node<P> {
    /// Treats the upstreams of a data centre as cold, which is used again after an evacuation.
    pub(crate) fn assume_cold(self: &Rc<Self>, _data_centre: &str) {}
}
