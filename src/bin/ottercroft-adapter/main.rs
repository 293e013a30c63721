//! Runs balancers under the simulator's protocol: batches of events on standard input, actions on standard output.

mod wire;

use ottercroft::settings::{Malformed, Names, body};
use ottercroft::{Action, Balancer};
use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{DefineList, EndpointLists, MessageName, Recipient, Reply, SetClock, StartDispatcher};

/// One simulated dispatcher: its balancer, and the names from its settings.
struct Dispatcher {
    balancer: Balancer,
    names: Names,
}

/// All simulated dispatchers of this process.
#[derive(Default)]
struct Host {
    /// Simulated time in microseconds.
    now: u64,
    dispatchers: BTreeMap<String, Dispatcher>,
    lists: EndpointLists,
    /// Actions of the last event; a field so that its allocation is reused.
    actions: Vec<Action>,
    /// Replies of the current batch, not yet written.
    replies: Vec<u8>,
}

fn append(replies: &mut Vec<u8>, reply: &Reply) {
    serde_json::to_writer(&mut *replies, reply).expect("a message is always JSON");
    replies.push(b'\n');
}

/// Parses a message name of the wire protocol.
fn message_name(name: &str) -> MessageName {
    let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> = name.into_deserializer();
    MessageName::deserialize(name).unwrap_or(MessageName::Unknown)
}

impl Host {
    /// Handles one line: a JSON object with a single key, the message name.
    fn line(&mut self, line: &str, stdout: &mut impl Write) -> Result<(), Malformed> {
        let object: BTreeMap<&str, &RawValue> =
            serde_json::from_str(line).map_err(|e| Malformed(format!("message: {e}")))?;
        let mut parts = object.into_iter();
        let (Some((name, raw)), None) = (parts.next(), parts.next()) else {
            return Err(Malformed("message: not an object with one key".into()));
        };
        let text = raw.get();
        match message_name(name) {
            MessageName::SetClock => self.now = body::<SetClock>(name, text)?.now(name)?,
            MessageName::EndBatch => self.end_batch(stdout)?,
            MessageName::DefineList => {
                let list: DefineList = body(name, text)?;
                self.lists.insert(list.list, list.endpoints);
            }
            MessageName::StartDispatcher => self.start(body(name, text)?)?,
            MessageName::StopDispatcher => {
                self.dispatchers.remove(&body::<Recipient>(name, text)?.dispatcher);
            }
            MessageName::Unknown => {}
            message => self.event(message, name, text)?,
        }
        Ok(())
    }

    /// Ends the batch: writes and flushes its replies.
    fn end_batch(&mut self, stdout: &mut impl Write) -> Result<(), Malformed> {
        append(&mut self.replies, &Reply::BatchDone {});
        stdout
            .write_all(&self.replies)
            .and_then(|()| stdout.flush())
            .map_err(|e| Malformed(format!("reply: {e}")))?;
        self.replies.clear();
        Ok(())
    }

    fn start(&mut self, message: StartDispatcher) -> Result<(), Malformed> {
        let (settings, names) = message.settings.settings()?;
        match Balancer::new(settings, message.seed) {
            Ok(balancer) => {
                self.dispatchers.insert(message.dispatcher, Dispatcher { balancer, names });
            }
            Err(e) => {
                let error = e.to_string();
                append(&mut self.replies, &Reply::Error { dispatcher: &message.dispatcher, error: &error });
            }
        }
        Ok(())
    }

    /// Passes an event to its dispatcher. A dispatcher that panics is removed; the others keep running.
    fn event(&mut self, message: MessageName, name: &str, text: &str) -> Result<(), Malformed> {
        let id = body::<Recipient>(name, text)?.dispatcher;
        let Some(dispatcher) = self.dispatchers.get_mut(&id) else { return Ok(()) };
        let Some(event) = wire::event(message, name, text, &dispatcher.names, &self.lists)? else {
            return Ok(());
        };
        self.actions.clear();
        let (now, actions) = (self.now, &mut self.actions);
        let run = catch_unwind(AssertUnwindSafe(|| dispatcher.balancer.handle(now, event, actions)));
        for action in &self.actions {
            append(&mut self.replies, &wire::reply(&id, action));
        }
        if run.is_err() {
            self.dispatchers.remove(&id);
            let error = "the decision module panicked";
            append(&mut self.replies, &Reply::Error { dispatcher: &id, error });
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let (stdin, stdout) = (io::stdin().lock(), &mut io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let result = match line {
            Ok(line) if line.trim().is_empty() => Ok(()),
            Ok(line) => host.line(&line, stdout),
            Err(e) => Err(Malformed(format!("message: {e}"))),
        };
        if let Err(Malformed(error)) = result {
            eprintln!("ottercroft-adapter: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
