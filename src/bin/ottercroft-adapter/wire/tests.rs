use super::*;
use ottercroft::api::Action;

#[test]
fn unused_actions_are_serialized_by_their_wire_names() {
    let text = |a: Action| serde_json::to_string(&reply("gateway/1", &a)).unwrap();
    assert_eq!(text(Action::FetchEndpointList), r#"{"READ_LIST":{"who":"gateway/1"}}"#);
    assert_eq!(text(Action::Unwatch), r#"{"TRACK":{"who":"gateway/1","enable":false}}"#);
    let close = Action::CloseIdle { executor: 7 };
    assert_eq!(text(close), r#"{"CLOSE_IDLE":{"who":"gateway/1","node":7}}"#);
    let tell = Action::Gossip { to: None, content: "hi".into() };
    assert_eq!(text(tell), r#"{"TELL":{"who":"gateway/1","dest":null,"content":"hi"}}"#);
}

/// Guards against renaming wire fields along with the code: when that happened to arrivals and responses, the adapter
/// failed on the first request of every simulated day.
#[test]
fn arrivals_and_responses_are_parsed_by_their_wire_names() {
    use ottercroft::api::Event;
    let classes = [("lookup".to_string(), 0)].into();
    let (tenants, zones, kinds) = Default::default();
    let names = ottercroft::settings::Names { classes, tenants, zones, kinds };
    let read = |message, name: &str, text: &str| {
        event(message, name, text, &names, &EndpointLists::new()).ok().flatten()
    };
    let inbound = r#"{"call":"000000000000000a","profile":"lookup","grace":1.5}"#;
    let Some(Event::Arrival(arrival)) = read(MessageName::Arrival, "INBOUND", inbound) else {
        panic!("the message is an arrival")
    };
    assert_eq!((arrival.request, arrival.time_budget), (10, 1_500_000));
    let reply = r#"{"call":"000000000000000a","node":1,"go":0,"doneFlag":true,"ending":10,"waitTime":0.2,"bill":8193}"#;
    let Some(Event::AttemptFinished(finished)) = read(MessageName::AttemptFinished, "REPLY", reply) else {
        panic!("the message is a finished attempt")
    };
    let cost = finished.reported_cost.expect("the response reports a cost");
    assert_eq!((cost.thread_seconds, cost.memory_mb), (0.002, 4.0));
}
