//! How long a leader may renew workers' leases, and whose attestations it needs for that.

use control::lease_bound::{Attestations, renewal_bound_ms};
use wire::settings::Workers;

fn workers(lease_s: f64, cancel_s: f64) -> Workers {
    Workers {
        report_s: 5.0,
        lease_s,
        gang_wait_s: 30.0,
        gang_peer_s: 5.0,
        cancel_s,
    }
}

/// Guards against a bound that lets a task outlive its cancel, for any settings of an operator.
#[test]
fn last_renewed_lease_ends_within_cancel_time() {
    for lease in [1.0, 10.0, 30.0, 34.0, 600.0] {
        for cancel in [1.0, 30.0, 55.0, 64.0, 3600.0] {
            let bound = renewal_bound_ms(&workers(lease, cancel));
            // Both the leader's clock and the worker's clock run slow.
            let ended_ms = (bound as f64 + lease * 1000.0) * 1.001;
            assert!(
                bound == 0 || ended_ms < cancel * 1000.0,
                "{lease} {cancel}: {bound}"
            );
        }
    }
}

/// An attestation counts only if all peers have given it in answer to the same round.
#[test]
fn attestation_needs_all_peers_for_the_same_round() {
    let mut attestations = Attestations::default();
    attestations.begin_round(1000, 2);
    attestations.record_answer(1000, 0);
    attestations.begin_round(2000, 2);
    attestations.record_answer(1000, 1);
    attestations.record_answer(2000, 1);
    attestations.record_answer(2000, 7);
    assert_eq!(attestations.last_complete_round_at(), None);
    attestations.record_answer(2000, 0);
    assert_eq!(attestations.last_complete_round_at(), Some(2000));
}
