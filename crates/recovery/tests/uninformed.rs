//! Messages of a controller that has recorded this one as uninformed. Guards against the known failure `ran_twice`: a
//! machine counts as fully known although a start that was ordered there was never announced here.

use marblewalk_recovery::{Incarnation, MachineKnowledge, SequenceCheck};

/// Guards against `ran_twice`: a controller that has recorded this one as uninformed orders a start, and the message
/// that announces it is lost. A full status sent before that message had made the sequence look complete, so the missed
/// announcement counted as never ordered once the sender had ended.
#[test]
fn starts_missed_after_a_full_status_while_uninformed_count_as_ordered() {
    let (a, me): (Incarnation, Incarnation) = (("a".to_owned(), 1), ("me".to_owned(), 2));
    let mut knowledge = MachineKnowledge::new();
    knowledge.set_member_since(Some(10));
    knowledge.machine_granted("m", None);
    knowledge.machine_granted("m", Some(a.clone()));
    assert_eq!(knowledge.message_received(&a, 7, true, 10), SequenceCheck::Contiguous);
    knowledge.owner_reported("m", &a, true);
    assert!(knowledge.is_fully_known("m", &me));
    knowledge.set_uninformed(&a, true);
    assert_eq!(knowledge.message_received(&a, 8, false, 11), SequenceCheck::Gap);
    // The answer to the request for a full status that follows.
    assert_eq!(knowledge.message_received(&a, 8, true, 11), SequenceCheck::Contiguous);
    knowledge.owner_reported("m", &a, true);
    // Status 9 announces a start on the machine and is lost, and the start is ordered without this controller's
    // confirmation. Then the machine is granted to this controller, and the former owner no longer reports on it.
    knowledge.machine_granted("m", Some(me.clone()));
    assert_eq!(knowledge.message_received(&a, 10, false, 12), SequenceCheck::Gap);
    assert_eq!(knowledge.message_received(&a, 10, true, 12), SequenceCheck::Contiguous);
    // This controller has confirmed everything for a while, and is no longer recorded as uninformed.
    knowledge.set_uninformed(&a, false);
    assert!(!knowledge.is_fully_known("m", &me), "what was missed may have been ordered");
    knowledge.incarnation_ended(&a);
    assert!(
        !knowledge.is_fully_known("m", &me),
        "nor once its sender has ended: it did not wait for this controller"
    );
}
