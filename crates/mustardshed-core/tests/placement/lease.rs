//! The placement lease.

use std::time;

use mustardshed_core::process::placement::{action, lease, record};

const START: time::Duration = time::Duration::from_secs(100);
/// Fencing number of the previous holder.
const FENCE: u64 = 7;

/// Returns the record that an entry writes to acquire the lease from a silent holder.
fn taken_over() -> record::Record {
    let mut lease = lease::Lease::new("entry-2.1".to_owned(), START);
    let before = record::Record {
        holder: "entry-1.1".to_owned(),
        fence: FENCE,
        nonce: 3,
        loads: Vec::new(),
    };
    assert_eq!(
        lease.poll(true, &[], START),
        Some(action::Action::ReadLease)
    );
    lease.on_read(Ok(Some((5, before))), START);
    let free_at = START + lease::LEASE_DURATION;
    lease.tick(free_at);
    match lease.poll(true, &[], free_at) {
        Some(action::Action::WriteLease { record, .. }) => record,
        other => panic!("expected a write of the lease, got {other:?}"),
    }
}

#[test]
fn lease_of_a_new_holder_has_a_greater_fencing_number() {
    assert_eq!(taken_over().fence, FENCE + 1);
}

#[test]
fn lease_is_not_taken_before_it_has_ended() {
    let mut lease = lease::Lease::new("entry-2.1".to_owned(), START);
    let before = record::Record {
        holder: "entry-1.1".to_owned(),
        fence: FENCE,
        ..record::Record::default()
    };
    lease.poll(true, &[], START);
    lease.on_read(Ok(Some((5, before))), START);
    let early = START + lease::LEASE_DURATION - time::Duration::from_millis(1);
    lease.tick(early);

    let action = lease.poll(true, &[], early);

    assert!(!matches!(action, Some(action::Action::WriteLease { .. })));
}
