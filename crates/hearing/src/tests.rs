//! Tests of what reports show of answers that were sent before.

use super::*;

const LEASE: Micros = Micros::from_secs(14);

fn shown(session: u64, tally: u64, token: u64, start: bool) -> Shown {
    Shown { session, tally, token, start }
}

/// Guards against taking an answer that was sent for one that arrived.
#[test]
fn what_later_reports_do_not_show_did_not_arrive() {
    let mut h = Hearing::default();
    for n in 0..3 {
        let now = Micros::from_secs(5 * n);
        h.reported(now, shown(1, n, 7, false), LEASE);
        assert_eq!(h.deaf(), n >= u64::from(DEAF), "after {n} answers");
        h.answered(now, shown(1, n, 7, false), 9, false);
    }
    assert_eq!(h.deaf_since(), Some(Micros::from_secs(10)));
    h.reported(Micros::from_secs(20), shown(1, 9, 9, false), LEASE);
    assert!(!h.deaf(), "it has seen the token");
}

/// Guards against a machine that seems alive while its tasks die again and again: it begins new sessions although its
/// reports are answered. A machine that was really not answered for that long does not count as unreachable.
#[test]
fn a_session_that_ends_although_it_was_answered_shows_it_too() {
    for (pause, deaf) in [(5, true), (20, false)] {
        let mut h = Hearing::default();
        h.answered(Micros::from_secs(1), shown(1, 5, 7, false), 7, false);
        h.reported(Micros::from_secs(1 + pause), shown(2, 1, 7, false), LEASE);
        assert_eq!(h.deaf(), deaf, "{pause} s after the answer");
    }
}

/// Guards reachable machines against single lost answers and late duplicates of reports.
#[test]
fn one_lost_answer_or_an_old_copy_proves_nothing() {
    let mut h = Hearing::default();
    for n in 1..40 {
        let now = Micros::from_secs(3 * n);
        // Every other answer is lost, and a duplicate of an older report arrives in between.
        let arrived = n % 2 == 0;
        h.reported(now, shown(1, 10 * n, 7, arrived), LEASE);
        h.answered(now, shown(1, 10 * n, 7, arrived), 7, true);
        h.reported(now, shown(1, 10 * n - 5, 6, false), LEASE);
        assert!(!h.deaf(), "report {n}");
    }
}

/// Guards reachable machines against delayed reports that all arrive at once at a controller without state: each was
/// answered and the next did not show the answer, so the machine was taken for unreachable and not answered any more.
#[test]
fn reports_that_were_kept_back_and_come_at_once_prove_nothing() {
    let mut h = Hearing::default();
    for n in 0..9 {
        let (now, old) = (Micros::from_millis(200 * n), shown(1, n, 7, false));
        h.reported(now, old, LEASE);
        h.answered(now, old, 9, true);
    }
    // The session of these reports had ended, and its end is no evidence either.
    h.reported(Micros::from_secs(3), shown(2, 30, 7, false), LEASE);
    assert!(!h.deaf());
    h.answered(Micros::from_secs(3), shown(2, 30, 7, false), 9, false);
    h.reported(Micros::from_secs(5), shown(2, 31, 9, false), LEASE);
    assert!(!h.deaf());
}
