use super::*;
use ottercroft::api::Action;

#[test]
fn actions_that_no_decision_uses_yet_stand_on_the_wire_as_it_has_them() {
    let text = |a: Action| serde_json::to_string(&reply("gateway/1", &a)).unwrap();
    assert_eq!(text(Action::FetchEndpointList), r#"{"READ_LIST":{"who":"gateway/1"}}"#);
    assert_eq!(text(Action::Unwatch), r#"{"TRACK":{"who":"gateway/1","enable":false}}"#);
    let close = Action::CloseIdle { executor: 7 };
    assert_eq!(text(close), r#"{"CLOSE_IDLE":{"who":"gateway/1","node":7}}"#);
    let tell = Action::Gossip { to: None, content: "hi".into() };
    assert_eq!(text(tell), r#"{"TELL":{"who":"gateway/1","dest":null,"content":"hi"}}"#);
}
