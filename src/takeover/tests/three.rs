//! Three dispatchers in virtual time.

use super::*;

pub(super) const LOAD: &str = "INSERT INTO sales_1.t SELECT 1";
pub(super) const OTHER_LOAD: &str = "INSERT INTO sales_1.t SELECT 2";
pub(super) const READ: &str = "SELECT 1 FROM sales_1.t";
pub(super) const OTHER_READ: &str = "SELECT 2 FROM sales_1.t";

/// A try of a request with this statement, under ask 5.
pub(super) fn attempt(rid: u64, statement: &str, deadline: Micros) -> Try {
    let content =
        RequestContent { id: RecordId::Ask(5), class: "c", tenant: None, key: None, token: None, statement };
    let record = Record {
        attempt_id: rid,
        class: 0,
        tenant: None,
        key: None,
        group: 1,
        work_s: None,
        memory_mb: None,
        repeatable: statement.starts_with("SELECT"),
        statement: Some(statement.into()),
        deadline,
        executors_tried: Vec::new(),
        policy: 0,
        digest: Some(content.digest()),
    };
    Try { ask: Some(5), again: false, record }
}
pub(super) const REFUSED: Reply = Reply::Refused(1_000);

/// Three dispatchers with immediate message delivery; messages to removed peers are dropped.
pub(super) struct Three {
    pub(super) all: BTreeMap<Peer, Takeover>,
    pub(super) now: Micros,
    pub(super) actions: Vec<(Peer, TakeoverAction)>,
    /// Messages to this peer that are lost.
    pub(super) lost: fn(Peer, &Message) -> bool,
}

impl Three {
    pub(super) fn formed() -> Three {
        let now = 1_000_000 * MS;
        let terms = |me| FleetConfig {
            me,
            peers: vec![1, 2, 3],
            lease: 1_000 * MS,
            margin: 100 * MS,
            tick: 30 * MS,
            batch_delay: 10 * MS,
            abandon_after: 10_000 * MS,
            limits: Limits { records: 100, retention: 30_000 * MS },
        };
        let bounds = Bounds {
            statement: 100,
            result: 100,
            adopted: 10,
            attempts: 4,
            backoff_ms: 1_000,
            fetch: 200 * MS,
        };
        let one = |me| (me, Takeover::new(Fleet::new(terms(me), u64::from(me), now), bounds));
        let mut three =
            Three { all: (1..=3).map(one).collect(), now, actions: Vec::new(), lost: |_, _| false };
        three.pass(40_000);
        assert!(three.all.values().all(|t| t.fleet.holds(three.now).is_some()));
        three.actions.clear();
        three
    }

    pub(super) fn pass(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.now < end {
            self.now += 5 * MS;
            for t in self.all.values_mut() {
                t.tick(self.now);
            }
            for _ in 0..12 {
                for from in 1..=3 {
                    let Some(t) = self.all.get_mut(&from) else { continue };
                    t.flush(self.now);
                    self.actions.extend(t.actions.drain(..).map(|m| (from, m)));
                    self.deliver_from(from);
                }
            }
        }
    }

    pub(super) fn deliver_from(&mut self, from: Peer) {
        let sender = self.all.get_mut(&from);
        for (to, message) in sender.map(|t| std::mem::take(&mut t.fleet.messages)).unwrap_or_default() {
            let other = self.all.get_mut(&to).filter(|_| !(self.lost)(to, &message));
            if let Some(other) = other {
                other.handle_message(self.now, from, message);
            }
        }
    }

    /// Delivers the pending messages, without proposing what waits to be recorded.
    pub(super) fn deliver(&mut self) {
        (1..=3).for_each(|from| self.deliver_from(from));
    }

    pub(super) fn asks(&mut self, at: Peer, rid: u64, ask: u64, repeats: bool, again: bool) -> Gate {
        let record = Record {
            attempt_id: rid,
            class: 0,
            tenant: None,
            key: None,
            group: 0,
            work_s: None,
            memory_mb: None,
            repeatable: repeats,
            statement: Some("SELECT 1".into()),
            deadline: self.now + 8_000 * MS,
            executors_tried: Vec::new(),
            policy: 0,
            digest: None,
        };
        let now = self.now;
        self.at(at).handle_request(now, Try { ask: Some(ask), again, record })
    }

    pub(super) fn at(&mut self, p: Peer) -> &mut Takeover {
        self.all.get_mut(&p).unwrap()
    }

    pub(super) fn peers_with_action(&self, what: &TakeoverAction) -> Vec<Peer> {
        self.actions.iter().filter(|(_, m)| m == what).map(|(p, _)| *p).collect()
    }
}

impl Three {
    pub(super) fn sends(&mut self, at: Peer, rid: u64, statement: &str, again: bool) -> Gate {
        let now = self.now;
        let attempt = Try { again, ..attempt(rid, statement, now + 8_000 * MS) };
        self.at(at).handle_request(now, attempt)
    }

    pub(super) fn answers(&mut self, at: Peer, rid: u64, pages: Pages) {
        let now = self.now;
        self.at(at).handle_answer(now, rid, Reply::Served(pages));
    }

    pub(super) fn answered(&self, at: Peer, rid: u64) -> Vec<Reply> {
        let reply = |(peer, action): &'_ (Peer, TakeoverAction)| match action {
            TakeoverAction::Answer(answered, reply) if (*peer, *answered) == (at, rid) => Some(reply.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(reply).collect()
    }
}
