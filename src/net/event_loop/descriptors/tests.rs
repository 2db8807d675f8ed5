//! Tests of the distribution of file descriptors.

use super::*;

#[test]
fn descriptor_limits_fit_the_total_and_open_requests_hold_at_most_a_third() {
    for descriptors in [64, 128, 192, 256, 384, 1024] {
        let reserved = RESERVED_DESCRIPTORS + MAX_MANAGEMENT_CONNECTIONS;
        let (DescriptorLimits { clients, workers }, max_open) = descriptor_limits(descriptors, reserved);
        assert!(reserved + clients + workers <= descriptors, "with {descriptors} descriptors");
        assert!(max_open <= descriptors / 3 && max_open < clients, "with {descriptors} descriptors");
        assert!(max_open > 0 && workers > 0, "with {descriptors} descriptors");
    }
}
