//! Classes whose repeats are recognized by an idempotency token.

use super::*;

const KEYED: (&str, &str) =
    (r#""effect":"read_like"}"#, r#""effect":"idempotency_key","group":"all","dedupWindow":5.0}"#);

// Executors recognize a repeat by the client's token, and answer VOID to a request of a keyed class without
// one. The token used to be dropped, so such a class was never served. Every attempt must carry the token
// unchanged.
#[test]
fn every_attempt_carries_the_idempotency_token() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(&[KEYED], &[("e1", executor.address)]);
    let mut client =
        Client::asks(dispatcher.address, &request("read", "c1").replace("rid=", "token=7f-A_9.z,rid="));
    let mut first = executor.accept();
    assert!(first.command().unwrap()[2].contains("token=7f-A_9.z,"));
    // A malformed answer: the request may have run, and is retried because repeats are recognized.
    first.say("x what is this\r\n");
    let mut second = executor.accept();
    let pull = second.command().unwrap();
    assert!(pull[2].contains("token=7f-A_9.z,"), "{pull:?}");
    second.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(client.got(), row());
}

// The token is part of a line of words: one that could be parsed as more of the line must be rejected and
// never forwarded.
#[test]
fn an_invalid_token_is_an_error() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(&[KEYED], &[("e1", executor.address)]);
    let long = "x".repeat(73);
    for token in ["a b", "", "a\u{e9}", "1 2\r\nKILL", long.as_str()] {
        let mut client = Client::asks(
            dispatcher.address,
            &request("read", "c2").replace("rid=", &format!("token={token},rid=")),
        );
        assert!(matches!(client.got(), Got::Error(1064, text) if text.contains("token")), "{token:?}");
    }
}
