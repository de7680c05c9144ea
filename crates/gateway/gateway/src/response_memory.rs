//! Memory for responses that are being received, within the limit of memory for responses.

use crate::state::GatewayState;
use std::rc::Rc;

/// Reserved memory; released when dropped.
pub(crate) struct ReservedMemory {
    gateway: Rc<GatewayState>,
    bytes: usize,
}

impl ReservedMemory {
    /// Reserves memory. `None` if the limit is reached.
    pub(crate) fn reserve(gateway: &Rc<GatewayState>, bytes: usize) -> Option<ReservedMemory> {
        gateway
            .reserve_response_memory(bytes)
            .then(|| ReservedMemory {
                gateway: gateway.clone(),
                bytes,
            })
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.gateway.release_response_memory(self.bytes);
    }
}
