//! What clients, executors and the processes' own system noted on a day. Rules are judged by this alone, never by what the
//! program says of itself.

use std::time::Duration;

/// A moment, from the beginning of the day.
pub type Moment = Duration;

/// One incarnation of one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Which dispatcher.
    pub dispatcher: usize,
    /// Which of its incarnations, from 0.
    pub incarnation: usize,
}

/// An answer, as its client read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// A result; whether an executor made it for this request.
    Rows {
        /// Whether it is the request's own.
        own: bool,
    },
    /// A refusal; whether it told when to come back.
    Refused {
        /// Whether it told.
        told: bool,
    },
    /// Any other error.
    Failed,
}

/// What became of a request, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was answered.
    Answered(Answer, Moment),
    /// It was not answered by the time that its client went.
    Unanswered(Moment),
    /// Its connection ended without an answer.
    Closed(Moment),
    /// Its client left of its own will, before its time.
    Left(Moment),
}

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub rid: u64,
    /// Whether it must not run twice.
    pub once: bool,
    /// Its key, if it keeps an order.
    pub key: Option<u64>,
    /// The process that it was written to.
    pub process: Process,
    /// When its client wanted to ask, and when the last byte was written.
    pub wanted: Moment,
    /// When the last byte was written.
    pub written: Moment,
    /// How long its client waits.
    pub budget: Duration,
    /// What became of it.
    pub end: End,
    /// Whether something came after its answer.
    pub more: bool,
    /// Whether its connection was opened for it.
    pub on_new_connection: bool,
}

impl Request {
    /// When its client stops waiting.
    pub fn due(&self) -> Moment {
        self.wanted + self.budget
    }
}

/// An attempt that reached an executor.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request.
    pub rid: u64,
    /// The executor.
    pub executor: usize,
    /// When its line was read.
    pub at: Moment,
    /// The time that was passed on.
    pub wait: Duration,
    /// When it was over; `None` if it never was.
    pub ended: Option<Moment>,
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// By itself; whether with 0.
    Itself {
        /// Whether its status was 0.
        well: bool,
    },
    /// By SIGKILL at the platform's time after SIGTERM.
    KilledAfterStop,
    /// By SIGKILL without a word before.
    Crashed,
}

/// A incarnation of a dispatcher.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// Which.
    pub process: Process,
    /// How long it took to listen.
    pub ready_after: Duration,
    /// When SIGTERM was sent first.
    pub stopped: Option<Moment>,
    /// When and how it ended.
    pub ended: Option<(Moment, Exit)>,
    /// The most descriptors, and the most memory in kB, that it was seen with.
    pub descriptors: usize,
    /// The same for memory.
    pub memory_kb: u64,
}

/// An executor that was told to be draining or gone.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// Which.
    pub executor: usize,
    /// When that was told.
    pub at: Moment,
}

/// A client that does nothing of use.
#[derive(Debug, Clone, Copy)]
pub struct BadClient {
    /// The process that it connected to.
    pub process: Process,
    /// When it began to owe something, and when it got an error or its end.
    pub since: Moment,
    /// When it got an error or its end.
    pub ended: Option<Moment>,
}

/// A time in which something stood still.
#[derive(Debug, Clone, Copy)]
pub struct Standstill {
    /// Which dispatcher; `None` for the harness itself.
    pub dispatcher: Option<usize>,
    /// From when.
    pub from: Moment,
    /// Until when.
    pub until: Moment,
}

/// All that was noted.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Requests.
    pub requests: Vec<Request>,
    /// Attempts, in the order in which they were read.
    pub attempts: Vec<Attempt>,
    /// Lives of dispatchers.
    pub incarnations: Vec<Incarnation>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Bad clients.
    pub bad_clients: Vec<BadClient>,
    /// Standstills.
    pub standstills: Vec<Standstill>,
    /// When crowds of idle clients filled a dispatcher's descriptors.
    pub crowds: Vec<Standstill>,
    /// Troubles by kind.
    pub troubles: Vec<&'static str>,
    /// How long after a drain was told an executor may get new work.
    pub drain_grace: Duration,
    /// Descriptors that a dispatcher may use.
    pub sockets: usize,
}

impl Records {
    /// How long a dispatcher or the harness stood still between two moments.
    pub fn standstill(&self, dispatcher: usize, from: Moment, until: Moment) -> Duration {
        let of = self.standstills.iter().filter(|s| s.dispatcher.is_none_or(|d| d == dispatcher));
        of.map(|s| s.until.min(until).saturating_sub(s.from.max(from))).sum()
    }

    /// A incarnation.
    pub fn incarnation(&self, process: Process) -> Option<&Incarnation> {
        self.incarnations.iter().find(|l| l.process == process)
    }

    /// Attempts of a request.
    pub fn attempts_of(&self, rid: u64) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(move |a| a.rid == rid)
    }
}
