//! The decisions on the simulator's wire: batches of events on standard input, actions on standard output.

mod wire;

use ottercroft::settings::{Malformed, Names, body, micros};
use ottercroft::{Action, Balancer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::Out;

struct Instance {
    balancer: Balancer,
    names: Names,
}

#[derive(Default)]
struct Host {
    now: u64,
    instances: BTreeMap<String, Instance>,
    lists: wire::Lists,
    actions: Vec<Action>,
    reply: Vec<u8>,
}

fn emit(reply: &mut Vec<u8>, out: &Out) {
    serde_json::to_writer(&mut *reply, out).expect("a message is always JSON");
    reply.push(b'\n');
}

impl Host {
    fn line(&mut self, line: &str, stdout: &mut impl Write) -> Result<(), Malformed> {
        let message: BTreeMap<&str, &RawValue> =
            serde_json::from_str(line).map_err(|e| Malformed(format!("message: {e}")))?;
        let mut parts = message.into_iter();
        let (Some((name, raw)), None) = (parts.next(), parts.next()) else {
            return Err(Malformed("message: not an object with one key".into()));
        };
        let text = raw.get();
        match name {
            "ROUND" => self.now = micros(name, "moment", body::<wire::Round>(name, text)?.moment)?,
            "GO" => {
                emit(&mut self.reply, &Out::Ack {});
                stdout
                    .write_all(&self.reply)
                    .and_then(|()| stdout.flush())
                    .map_err(|e| Malformed(format!("reply: {e}")))?;
                self.reply.clear();
            }
            "DEFINE_LIST" => {
                let list: wire::DefineList = body(name, text)?;
                self.lists.insert(list.set_id, list.hosts);
            }
            "ENLIST" => self.enlist(body(name, text)?)?,
            "STOP" => {
                self.instances.remove(&body::<wire::Who>(name, text)?.who);
            }
            "FLEET" | "INBOUND" | "ACK_FIRST" | "NOTICE" | "REPLY" | "HANGUP" | "WAKEUP" | "CHECK_RESULT"
            | "INBOX" => {
                let who = body::<wire::Who>(name, text)?.who;
                if let Some(instance) = self.instances.get_mut(&who)
                    && let Some(event) = wire::event(name, text, &instance.names, &self.lists)?
                {
                    self.actions.clear();
                    let (now, actions) = (self.now, &mut self.actions);
                    let run =
                        catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
                    for action in &self.actions {
                        emit(&mut self.reply, &wire::action(&who, action));
                    }
                    if run.is_err() {
                        self.instances.remove(&who);
                        emit(
                            &mut self.reply,
                            &Out::Exception { who: &who, what: "the decision module panicked" },
                        );
                    }
                }
            }
            _ => {} // names that are not known
        }
        Ok(())
    }

    fn enlist(&mut self, message: wire::Enlist) -> Result<(), Malformed> {
        let (settings, names) = message.env.settings()?;
        let who = message.who;
        match Balancer::new(settings, message.entropy) {
            Ok(balancer) => {
                self.instances.insert(who, Instance { balancer, names });
            }
            Err(e) => emit(&mut self.reply, &Out::Exception { who: &who, what: &e.to_string() }),
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
        if let Err(Malformed(what)) = result {
            eprintln!("ottercroft-adapter: {what}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
