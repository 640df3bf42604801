//! Messages of a controller that has recorded this one as uninformed. Guards against the known failure `ran_twice`: a
//! machine counts as fully known although a start that was ordered there was never announced here.

use marblewalk_recovery::{Hearing, Ledger, Life};

/// Guards against `ran_twice`: a controller that has recorded this one as uninformed orders a start, and the message
/// that announces it is lost. A full status sent before that message had made the sequence look complete, so the missed
/// announcement counted as never ordered once the sender had ended.
#[test]
fn what_is_missed_after_a_whole_status_while_uninformed_was_ordered() {
    let (a, me): (Life, Life) = (("a".to_owned(), 1), ("me".to_owned(), 2));
    let mut ledger = Ledger::new();
    ledger.member_since(Some(10));
    ledger.granted("m", None);
    ledger.granted("m", Some(a.clone()));
    assert_eq!(ledger.heard(&a, 7, true, 10), Hearing::Complete);
    ledger.told("m", &a, true);
    assert!(ledger.listed("m", &me));
    ledger.uninformed(&a, true);
    assert_eq!(ledger.heard(&a, 8, false, 11), Hearing::Broken);
    // The answer to the request for a full status that follows.
    assert_eq!(ledger.heard(&a, 8, true, 11), Hearing::Complete);
    ledger.told("m", &a, true);
    // Status 9 announces a start on the machine and is lost, and the start is ordered without this controller's
    // confirmation. Then the machine is granted to this controller, and the former holder no longer reports on it.
    ledger.granted("m", Some(me.clone()));
    assert_eq!(ledger.heard(&a, 10, false, 12), Hearing::Broken);
    assert_eq!(ledger.heard(&a, 10, true, 12), Hearing::Complete);
    // This controller has confirmed everything for a while, and is no longer recorded as uninformed.
    ledger.uninformed(&a, false);
    assert!(!ledger.listed("m", &me), "what was missed may have been ordered");
    ledger.ended(&a);
    assert!(
        !ledger.listed("m", &me),
        "nor once its sender has ended: it had gone on without this controller"
    );
}
