use super::*;

// A day was lost to one answer that came after its client had left: the end has to come well before the
// client's, and with it one answer, the right one, and the word to stop what is out.
#[test]
fn a_request_ends_once_and_well_before_its_client_leaves() {
    let mut d = dispatch();
    let orders = pick(&mut d, 2_000, 1);
    assert!(matches!(orders[..], [Order::Start { ticket: Ticket { request: 1, attempt: 0 }, .. }]));
    let mut given = Vec::new();
    while d.waiting() > 0 {
        let now = d.next_due().unwrap();
        assert!(now + 200_000 < 2_000 + BUDGET, "the end comes too near to the client's");
        given.extend(d.tick(now));
    }
    assert!(given.contains(&Order::Stop(Ticket { request: 1, attempt: 0 })));
    assert_eq!(answers(&given), [&Answer::Failed]);
    assert!(d.open.is_empty() && d.deadlines.is_empty());
}
