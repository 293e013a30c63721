//! A client that asks all day, and heeds or ignores when to come back.

use super::{BUDGET_MS, Counters, IMPATIENT, PACE};
use standins::scripted::{Client, Got};
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

pub(super) fn client(to: SocketAddr, who: u64, ignores: bool, c: &Counters, ids: &AtomicU64) {
    let add = |n: &AtomicU64| n.fetch_add(1, Ordering::SeqCst);
    thread::sleep(PACE.mul_f64((who % 97) as f64 / 97.0));
    let (mut open, mut tries) = (None::<Client>, 1);
    while !c.stop.load(Ordering::SeqCst) {
        let id = add(ids) + 1;
        let mark = if tries > 1 { format!(",try={tries}") } else { String::new() };
        let sql = format!(
            "/* method=read,rid={id:016x},budget={BUDGET_MS},est=30.0,space=9{mark} */ SELECT w{who}w FROM sales_{}.t",
            who % 9
        );
        add(&c.asked);
        let mut session = match open.take() {
            Some(mut s) => {
                s.ask(&sql);
                s
            }
            None => Client::says(to, &sql),
        };
        let mut got = session.got();
        if got == Got::Ok {
            got = session.got();
        }
        let wait = match got {
            Got::Rows(_) => {
                let tenth = (c.begun.elapsed().as_millis() / 100) as usize;
                let mut served = c.served.lock().unwrap_or_else(PoisonError::into_inner);
                if served.len() <= tenth {
                    served.resize(tenth + 1, 0);
                }
                served[tenth] += 1;
                tries = 1;
                PACE
            }
            Got::Error(1203 | 1040, text) => {
                add(&c.refused);
                tries += 1;
                let told = text.split("backoff=").nth(1).and_then(|ms| ms.parse().ok());
                if told.is_none() {
                    add(&c.without_backoff);
                }
                if ignores { IMPATIENT } else { Duration::from_millis(told.unwrap_or(200)) }
            }
            Got::Error(..) => {
                add(&c.failed);
                tries += 1;
                if ignores { IMPATIENT } else { Duration::from_millis(500) }
            }
            Got::Ok | Got::Closed => {
                add(&c.lost);
                tries += 1;
                thread::sleep(IMPATIENT);
                continue;
            }
        };
        open = Some(session);
        thread::sleep(wait);
    }
}
