//! A client of one key: it spaces what it writes as the protocol says, and its time runs from the moment in which it wanted to
//! ask.

use super::*;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// The least time between two written requests of a key, and the same where the earlier one came on a new connection.
const SPACING: Duration = Duration::from_millis(60);
const SPACING_AFTER_NEW_CONNECTION: Duration = Duration::from_millis(250);
/// An answer may come this long after its time; its client has gone by then.
const LATE: Duration = Duration::from_millis(500);

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// Its client gave it up before it was written.
    NeverWritten,
    /// It was answered before its client had gone.
    Answered(Got),
    /// It had no answer by the time that its client had gone.
    Lost,
}

/// A request of a key, as its client saw it. All times are from the first that was wanted.
#[derive(Debug, Clone, PartialEq)]
pub struct SpacedRequest {
    /// Its id.
    pub rid: u64,
    /// When its client wanted to ask.
    pub wanted: Duration,
    /// When it was written, if it was.
    pub written: Option<Duration>,
    /// What became of it.
    pub ended: Ended,
    /// When that was.
    pub at: Duration,
}

/// A client that asks for one key.
#[derive(Debug, Clone)]
pub struct SpacedClient {
    /// Where the dispatcher listens.
    pub dispatcher: SocketAddr,
    /// How long it waits for an answer.
    pub budget: Duration,
    /// Whether it keeps the spacing of the protocol; else it writes at once.
    pub spaces: bool,
}

/// Connections without an open request.
type Idle = Arc<Mutex<Vec<Client>>>;

impl SpacedClient {
    /// Wants to ask once in every `pace`, so many times; `sql` makes the statement of a request id. What became of each.
    pub fn ask(&self, pace: Duration, rids: &[u64], sql: impl Fn(u64) -> String) -> Vec<SpacedRequest> {
        let (begun, idle) = (Instant::now(), Idle::default());
        let (mut waiting, mut free_at) = (Vec::new(), begun);
        for (n, rid) in (0..).zip(rids.iter().copied()) {
            let wanted = begun + pace * n;
            thread::sleep(wanted.max(free_at).saturating_duration_since(Instant::now()));
            if Instant::now() > wanted + self.budget {
                waiting.push(Err(self.never_written(rid, begun, wanted)));
                continue;
            }
            let used = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let is_new = used.is_none();
            let client = match used {
                Some(mut client) => client.try_ask(&sql(rid)).map(|()| client).ok(),
                None => Client::try_writes(self.dispatcher, &sql(rid)).ok(),
            };
            let written = Instant::now();
            let spacing = if is_new { SPACING_AFTER_NEW_CONNECTION } else { SPACING };
            free_at = written + if self.spaces { spacing } else { Duration::ZERO };
            let (gone_at, idle) = (wanted + self.budget + LATE, idle.clone());
            waiting.push(Ok(thread::spawn(move || {
                let ended = client.map_or(Ended::Lost, |client| await_answer(client, is_new, gone_at, &idle));
                let (wanted, written) = (wanted - begun, Some(written - begun));
                SpacedRequest { rid, wanted, written, ended, at: begun.elapsed() }
            })));
        }
        waiting.into_iter().map(|w| w.unwrap_or_else(|r| thread::spawn(|| r)).join().unwrap()).collect()
    }

    fn never_written(&self, rid: u64, begun: Instant, wanted: Instant) -> SpacedRequest {
        let (wanted, ended) = (wanted - begun, Ended::NeverWritten);
        SpacedRequest { rid, wanted, written: None, ended, at: wanted + self.budget }
    }
}

/// Reads the answer of the one request that was written, unless the client has gone by then.
fn await_answer(mut client: Client, is_new: bool, gone_at: Instant, idle: &Idle) -> Ended {
    let left = gone_at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    client.stream.set_read_timeout(Some(left)).unwrap();
    if is_new && !client.is_let_in() {
        return Ended::Lost;
    }
    let got = client.got();
    if got == Got::Closed || Instant::now() > gone_at {
        return Ended::Lost;
    }
    idle.lock().unwrap_or_else(PoisonError::into_inner).push(client);
    Ended::Answered(got)
}
