//! Distribution of the file descriptors among the protocols.

use super::*;

/// File descriptors reserved for the log, the poll, the listening sockets, the signals, discovery and the like.
const RESERVED_DESCRIPTORS: usize = 24;

impl EventLoop {
    /// Distributes the file descriptors among the protocols. While two processes share the limit, each uses half of it.
    pub(super) fn distribute_descriptors(&mut self, now: Micros) {
        let descriptors = self.max_descriptors / if self.upgrade_link.is_connected() { 2 } else { 1 };
        let reserved =
            RESERVED_DESCRIPTORS + if self.management.is_some() { MAX_MANAGEMENT_CONNECTIONS } else { 0 };
        let (limits, max_open) = descriptor_limits(descriptors, reserved);
        let max_open = max_open.min(self.max_open);
        let (mut ctx, mut components) = self.split(now);
        ctx.request_table.set_max_open(max_open);
        // All protocols get equal shares, because it is not known in advance which protocols will be used.
        let count = 1 + components.other_protocols.len();
        let each = DescriptorLimits { clients: limits.clients / count, workers: limits.workers / count };
        components.protocols().for_each(|protocol| protocol.set_descriptor_limits(&mut ctx, each));
    }
}

/// Divides `descriptors` file descriptors, of which `reserved` are for the process itself, among clients and workers,
/// and returns the maximum number of open requests as well.
fn descriptor_limits(descriptors: usize, reserved: usize) -> (DescriptorLimits, usize) {
    // A third of the descriptors is kept for workers, so that jobs can be sent however many clients connect.
    let usable = descriptors.saturating_sub(reserved).max(8);
    let workers = usable / 3;
    let clients = usable - workers;
    // Each open request holds one client connection. Open requests are limited to a third of all descriptors: the other
    // client connections are for callbacks, without which no job would end, and for idle clients.
    (DescriptorLimits { clients, workers }, (descriptors / 3).min(clients * 9 / 10))
}

#[cfg(test)]
mod tests;
