//! How descriptors are dealt out.

use super::*;

#[test]
fn the_descriptors_suffice_and_requests_hold_a_third_at_most() {
    for sockets in [64, 128, 192, 256, 384, 1024] {
        let own = OWN_SOCKETS + MAX_MANAGEMENT_CONNECTIONS;
        let (Shares { clients, hops }, most_open) = shares(sockets, own);
        assert!(own + clients + hops <= sockets, "{sockets}");
        assert!(most_open <= sockets / 3 && most_open < clients, "{sockets}");
        assert!(most_open > 0 && hops > 0, "{sockets}");
    }
}
