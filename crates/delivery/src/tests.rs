//! Tests of what reports show of answers that were sent before.

use super::*;

const LEASE: Micros = Micros::from_secs(14);

fn shown(session: u64, tally: u64, token: u64, lists_start: bool) -> ReportedState {
    ReportedState { session, tally, token, lists_start }
}

/// Guards against taking an answer that was sent for one that arrived.
#[test]
fn an_answer_that_later_reports_do_not_show_did_not_arrive() {
    let mut monitor = DeliveryMonitor::default();
    for n in 0..3 {
        let now = Micros::from_secs(5 * n);
        monitor.reported(now, shown(1, n, 7, false), LEASE);
        assert_eq!(monitor.is_not_receiving(), n >= u64::from(NOT_RECEIVING_AFTER), "after {n} answers");
        monitor.answered(now, shown(1, n, 7, false), 9, false);
    }
    assert_eq!(monitor.not_receiving_since(), Some(Micros::from_secs(10)));
    monitor.reported(Micros::from_secs(20), shown(1, 9, 9, false), LEASE);
    assert!(!monitor.is_not_receiving(), "it has the token");
}

/// Guards against a machine that seems alive while its tasks die again and again: it begins new sessions although its
/// reports are answered. A machine that was really not answered for that long does not count as not receiving.
#[test]
fn the_end_of_an_answered_session_shows_lost_answers() {
    for (pause, not_receiving) in [(5, true), (20, false)] {
        let mut monitor = DeliveryMonitor::default();
        monitor.answered(Micros::from_secs(1), shown(1, 5, 7, false), 7, false);
        monitor.reported(Micros::from_secs(1 + pause), shown(2, 1, 7, false), LEASE);
        assert_eq!(monitor.is_not_receiving(), not_receiving, "{pause} s after the answer");
    }
}

/// Guards machines that receive answers against single lost answers and late duplicates of reports.
#[test]
fn a_single_lost_answer_or_a_late_duplicate_is_no_evidence() {
    let mut monitor = DeliveryMonitor::default();
    for n in 1..40 {
        let now = Micros::from_secs(3 * n);
        // Every other answer is lost, and a duplicate of an older report arrives in between.
        let arrived = n % 2 == 0;
        monitor.reported(now, shown(1, 10 * n, 7, arrived), LEASE);
        monitor.answered(now, shown(1, 10 * n, 7, arrived), 7, true);
        monitor.reported(now, shown(1, 10 * n - 5, 6, false), LEASE);
        assert!(!monitor.is_not_receiving(), "report {n}");
    }
}

/// Guards machines that receive answers against delayed reports that all arrive at once at a controller without state:
/// each was answered and the next did not show the answer, so the machine was taken for not receiving and no longer
/// answered.
#[test]
fn delayed_reports_that_arrive_at_once_are_no_evidence() {
    let mut monitor = DeliveryMonitor::default();
    for n in 0..9 {
        let (now, old_report) = (Micros::from_millis(200 * n), shown(1, n, 7, false));
        monitor.reported(now, old_report, LEASE);
        monitor.answered(now, old_report, 9, true);
    }
    // The session of these reports had ended, and its end is no evidence either.
    monitor.reported(Micros::from_secs(3), shown(2, 30, 7, false), LEASE);
    assert!(!monitor.is_not_receiving());
    monitor.answered(Micros::from_secs(3), shown(2, 30, 7, false), 9, false);
    monitor.reported(Micros::from_secs(5), shown(2, 31, 9, false), LEASE);
    assert!(!monitor.is_not_receiving());
}
