//! Requests that use an id of another client's request.

use super::*;

// Guards against requests that are served the rows of another client's request, and never run, because they use its
// `ask` with a statement of their own; and against retries of the first one that are taken for such requests.
#[test]
fn requests_that_share_an_ask_get_their_own_rows_or_are_refused() {
    let fleet = Fleet::start();
    let own_text = |text: &str, name: u64| text.replace(&format!("t{name}x"), "t99x");
    let mut first = Client::asks(fleet.address(0), &ask("load", 11, 1));
    fleet.until_pulled("t11x");
    let again = ask("load", 11, 2).replace("budget=15000", "budget=9000");
    let mut retries = [1, 2].map(|i| Client::asks(fleet.address(i), &again));
    for i in 0..3 {
        let load = own_text(&ask("load", 11, 3 + i as u64), 11);
        let got = Client::asks(fleet.address(i), &load).got();
        assert!(matches!(&got, Got::Error(1203, text) if text.contains("backoff=")), "{got:?}");
    }
    assert!(fleet.pulls("t99x").is_empty());
    let Got::Rows(rows) = first.got() else { panic!("not served") };
    for retry in &mut retries {
        assert_eq!(retry.got(), Got::Rows(rows.clone()));
    }
    // The load is done, its result on record.
    for i in 0..3 {
        let load = own_text(&ask("load", 11, 6 + i as u64), 11);
        assert!(matches!(Client::asks(fleet.address(i), &load).got(), Got::Error(1203, _)));
        let read = own_text(&ask("read", 11, 10 + i as u64), 11);
        assert!(matches!(Client::asks(fleet.address(i), &read).got(), Got::Rows(own) if own != rows));
    }
    assert_eq!(
        (fleet.pulls("t11x").len(), fleet.pulls("t99x").len()),
        (1, 3),
        "the load once, each read once"
    );
}

// Guards against a client that never gets an answer: its request has the `rid` of a read that its dispatcher takes over
// from one that died, which took its place.
#[test]
fn a_read_that_is_taken_over_leaves_a_request_with_its_rid_alone() {
    let mut fleet = Fleet::start();
    let read = ask("read", 12, 1);
    let mut first = Client::asks(fleet.address(0), &read);
    fleet.until_pulled("t12x");
    // Idempotent requests are recorded while they are being sent.
    std::thread::sleep(Duration::from_millis(200));
    fleet.dispatchers[0] = None;
    assert_eq!(first.got(), Got::Closed);
    // Still in hand once the lease of the first dispatcher is over.
    std::thread::sleep(Duration::from_millis(600));
    let other = read.replace(&format!("ask={:016x},", 12), "").replace("t12x", "t98x");
    let mut others = [1, 2].map(|i| Client::asks(fleet.address(i), &other));
    for client in &mut others {
        assert!(matches!(client.got(), Got::Rows(_)));
    }
    assert!(matches!(until_answered(fleet.address(1), "read", 12), Got::Rows(_)));
}

// Guards against a load that runs twice because the client of one of its waiting retries leaves.
#[test]
fn a_retry_whose_client_leaves_does_not_run_the_load_again() {
    let fleet = Fleet::start();
    let mut first = Client::asks(fleet.address(0), &ask("load", 13, 1));
    fleet.until_pulled("t13x");
    let mut second = Client::asks(fleet.address(0), &ask("load", 13, 2));
    let third = Client::asks(fleet.address(0), &ask("load", 13, 3));
    std::thread::sleep(Duration::from_millis(200));
    drop(third);
    let Got::Rows(rows) = first.got() else { panic!("not served") };
    assert_eq!(second.got(), Got::Rows(rows));
    assert_eq!(fleet.pulls("t13x").len(), 1);
}
