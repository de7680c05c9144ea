//! Memory for responses that are being received, within the limit of memory for responses.

use crate::state::GatewayState;
use std::rc::Rc;

/// Reserved memory; released when dropped.
pub(crate) struct ReservedMemory {
    gateway: Rc<GatewayState>,
    bytes: usize,
}

impl ReservedMemory {
    /// Reserves nothing yet.
    pub(crate) fn new(gateway: &Rc<GatewayState>) -> ReservedMemory {
        ReservedMemory {
            gateway: gateway.clone(),
            bytes: 0,
        }
    }

    /// Reserves further memory. `false` if the limit is reached.
    pub(crate) fn extend(&mut self, bytes: usize) -> bool {
        let is_reserved = self.gateway.reserve_response_memory(bytes);
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.gateway.release_response_memory(self.bytes);
    }
}
