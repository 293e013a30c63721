//! The thread that watches, reads and checks motor lists, and hands finished ones over.
//!
//! Notifications of the file system make it look at once; polling makes up for those that are lost, that
//! overflow or that the file system does not give. Neither is believed: each only causes a look at the stamps.

use super::check::{self, Catalog, Terms};
use super::files::{self, Bounds, Trouble};
use super::keep::{self, Acceptance};
use super::list::{Digest, List, ListFile};
use super::settling::{Next, Read, Settling};
use crate::api::Micros;
use crate::settings::hcl::Fault;
use crate::settings::options::{self, Safeguard, Source};
use notify::{RecursiveMode, Watcher as _};
use std::collections::BTreeSet;
use std::io::{self, Read as _, Write as _};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Looks are no nearer to each other than this, however many notifications come.
const GAP: Duration = Duration::from_millis(5);
/// Words that wait for the loop at most; the thread waits beyond.
const WORDS: usize = 4;
/// The thread looks at the clock this often at least.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What the thread has to say of a list.
#[derive(Debug)]
pub enum Word {
    /// A list that was read as one version and found usable.
    List(List),
    /// One version, with faults.
    Faulty {
        /// Of its bytes.
        bytes: Digest,
        /// What is wrong, the first ones.
        faults: Vec<Fault>,
        /// How many there are in all.
        all: usize,
    },
    /// Nothing that could be read, for as long as the settling time.
    Unusable(String),
    /// What a person accepted, newest first.
    Accepted(Vec<Acceptance>),
    /// The last good list could not be kept.
    NotKept(String),
    /// There are no notifications; polling goes on.
    Unwatched(String),
}

/// A word, and of which source.
#[derive(Debug)]
pub struct Handed {
    /// The source.
    pub source: Arc<str>,
    /// The word.
    pub word: Word,
    /// When the look began that it comes of, in microseconds since 1970.
    pub looked: Micros,
}

/// What all sources are read by.
#[derive(Debug, Clone)]
pub struct Rules {
    /// What a list may hold.
    pub terms: Terms,
    /// Rooms and kinds that are known; none if that is not to be checked.
    pub catalog: Option<Catalog>,
    /// How much may be read.
    pub bounds: Bounds,
    /// How long what is not sealed has to stay the same.
    pub settle: Duration,
    /// How often to look without any notification.
    pub poll: Duration,
    /// Where the last good lists are kept.
    pub last_good: Option<PathBuf>,
    /// For tests alone: safeguards left out.
    pub without: BTreeSet<Safeguard>,
}

impl Rules {
    /// By our settings and by what the platform's settings know.
    pub fn new(lists: &options::Lists, catalog: Option<Catalog>) -> Rules {
        Rules {
            terms: lists.terms.clone(),
            catalog,
            bounds: Bounds { most_bytes: lists.most_bytes, most_files: lists.most_files },
            settle: lists.settle,
            poll: lists.poll,
            last_good: lists.last_good.clone(),
            without: lists.without.clone(),
        }
    }

    fn left_out(&self, s: Safeguard) -> bool {
        self.without.contains(&s)
    }
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

/// Reads a list once and judges it as it stands.
pub fn judge(path: &Path, rules: &Rules) -> Result<(List, Vec<Fault>), Vec<Fault>> {
    let shown = path.display().to_string();
    let version = files::read(path, rules.bounds, true).map_err(|t| vec![Fault::of_file(&shown, t)])?;
    let (list, mut faults) = parse(path, &version.files, rules);
    match list {
        Some(list) => {
            faults.extend(check::check(&list, &rules.terms, rules.catalog.as_ref(), &|n| full(path, n)));
            faults.sort();
            faults.dedup();
            Ok((list, faults))
        }
        None => Err(faults),
    }
}

/// The path of a file of a list; of the list itself for no name.
fn full(path: &Path, name: &str) -> String {
    let whole =
        name.is_empty() || path.file_name().is_some_and(|n| n.to_string_lossy() == name) && !path.is_dir();
    if whole { path.display().to_string() } else { path.join(name).display().to_string() }
}

fn parse(path: &Path, texts: &[(String, String)], rules: &Rules) -> (Option<List>, Vec<Fault>) {
    let (mut files, mut faults) = (Vec::new(), Vec::new());
    for (name, text) in texts {
        let (file, mut wrong) = ListFile::parse(&full(path, name), name, text);
        faults.append(&mut wrong);
        files.extend(file.map(|f| {
            let seal = f.seal.clone().filter(|_| !rules.left_out(Safeguard::Seal));
            ListFile { seal, ..f }
        }));
    }
    ((files.len() == texts.len()).then(|| List::new(files)), faults)
}

/// One list that is followed.
#[derive(Debug)]
pub struct Followed {
    name: Arc<str>,
    path: PathBuf,
    accept: PathBuf,
    settling: Settling,
    /// What was parsed last, until it is judged.
    parsed: Option<(Digest, Option<List>, Vec<Fault>)>,
    /// What keeps it from being read, since when, and whether that was told.
    trouble: Option<(String, Micros, bool)>,
    accepted: Option<(u64, SystemTime)>,
    due: Micros,
}

impl Followed {
    /// One that was not looked at yet.
    pub fn new(source: &Source, rules: &Rules) -> Followed {
        let settle = if rules.left_out(Safeguard::Settle) { Duration::ZERO } else { rules.settle };
        Followed {
            name: source.name.as_str().into(),
            path: source.path.clone(),
            accept: source.accept.clone(),
            settling: Settling::new(settle.as_micros() as Micros),
            parsed: None,
            trouble: None,
            accepted: None,
            due: 0,
        }
    }

    /// Looks until there is a word on the list; it comes after the settling time or a little more.
    pub fn first(&mut self, rules: &Rules) -> Word {
        let patience = now() + 4 * rules.settle.as_micros() as Micros + 2_000_000;
        loop {
            if let Some(word) = self.look(now(), rules) {
                return word;
            }
            if now() > patience {
                return Word::Unusable("it did not stay the same for the settling time".into());
            }
            thread::sleep(GAP);
        }
    }

    /// One look; a word if there is news. It sets when to look next.
    pub fn look(&mut self, now: Micros, rules: &Rules) -> Option<Word> {
        self.due = now + rules.poll.as_micros() as Micros;
        let stamp = match files::stamp(&self.path, rules.bounds) {
            Ok(stamp) => stamp,
            Err(trouble) => return self.troubled(now, trouble.to_string(), rules),
        };
        if self.trouble.is_none() && !self.settling.wants(now, &stamp) {
            return None;
        }
        let version = match files::read(&self.path, rules.bounds, !rules.left_out(Safeguard::Again)) {
            Ok(version) => version,
            Err(Trouble::Unusable(why)) => return self.troubled(now, why, rules),
            Err(Trouble::Changing) => {
                if let Next::ReadAt(at) = self.settling.read(now, &stamp, Read::Changing) {
                    self.due = self.due.min(at);
                }
                return None;
            }
        };
        self.trouble = None;
        let names: String = version.files.iter().map(|(n, t)| format!("{n:?} {} {t}", t.len())).collect();
        let bytes = Digest::of(names.as_bytes());
        if self.parsed.as_ref().is_none_or(|(b, ..)| *b != bytes) {
            let (list, faults) = parse(&self.path, &version.files, rules);
            self.parsed = Some((bytes, list, faults));
        }
        let sealed = |l: &List| matches!(&l.files[..], [one] if one.seal_holds());
        let sealed = matches!(&self.parsed, Some((_, Some(l), f)) if f.is_empty() && sealed(l));
        let next = self.settling.read(now, &version.stamp, Read::Whole { bytes, sealed });
        self.due = self.settling.next_due().map_or(self.due, |t| t.min(self.due));
        match next {
            Next::Judge => self.parsed.take().map(|(_, list, faults)| self.judge(bytes, list, faults, rules)),
            Next::ReadAt(at) => {
                self.due = self.due.min(at);
                None
            }
            Next::Rest => {
                self.parsed = None;
                None
            }
        }
    }

    fn judge(&self, bytes: Digest, list: Option<List>, mut faults: Vec<Fault>, rules: &Rules) -> Word {
        if let Some(list) = &list
            && !rules.left_out(Safeguard::Check)
        {
            let terms = &rules.terms;
            let terms = Terms { sealed: terms.sealed && !rules.left_out(Safeguard::Seal), ..terms.clone() };
            faults.extend(check::check(list, &terms, rules.catalog.as_ref(), &|n| full(&self.path, n)));
        }
        match list {
            Some(list) if faults.is_empty() => Word::List(list),
            _ => {
                faults.sort();
                let all = faults.len();
                faults.truncate(check::MOST_FAULTS);
                Word::Faulty { bytes, faults, all }
            }
        }
    }

    /// Trouble that passes within the settling time is a file being replaced, and not worth a word.
    fn troubled(&mut self, now: Micros, why: String, rules: &Rules) -> Option<Word> {
        self.settling.absent();
        self.parsed = None;
        let (_, since, told) =
            self.trouble.take().filter(|(w, ..)| *w == why).unwrap_or((String::new(), now, false));
        let at = since + rules.settle.as_micros() as Micros;
        let tell = !told && now >= at;
        self.trouble = Some((why.clone(), since, told || tell));
        if !tell && !told {
            self.due = self.due.min(at);
        }
        tell.then_some(Word::Unusable(why))
    }

    /// What was accepted, if its file changed.
    fn acceptances(&mut self) -> Option<Word> {
        let m = std::fs::metadata(&self.accept).ok();
        let stamp = m.and_then(|m| Some((m.len(), m.modified().ok()?)));
        if stamp == self.accepted {
            return None;
        }
        self.accepted = stamp;
        Some(Word::Accepted(keep::accepted(&self.accept)))
    }

    /// Folders in which a change of it shows.
    fn folders(&self) -> impl Iterator<Item = PathBuf> {
        let parent = |p: &Path| p.parent().map(Path::to_path_buf);
        let real = std::fs::canonicalize(&self.path).ok();
        let real = real.and_then(|p| if p.is_dir() { Some(p) } else { parent(&p) });
        let all = [parent(&self.path), real, parent(&self.accept)].into_iter().flatten();
        all.map(|p| if p.as_os_str().is_empty() { PathBuf::from(".") } else { p })
    }
}

/// What the thread is asked to do.
enum Task {
    Look,
    Keep(Arc<str>, Arc<List>),
    Stop,
}

/// The thread, seen from the loop.
pub struct Watcher {
    /// Readable when there are words.
    pub wake: UnixStream,
    words: Receiver<Handed>,
    tasks: Sender<Task>,
}

impl Watcher {
    /// Starts the thread.
    pub fn start(followed: Vec<Followed>, rules: Rules) -> io::Result<Watcher> {
        let (wake, bell) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        bell.set_nonblocking(true)?;
        let (tell, words) = sync_channel(WORDS);
        let (tasks, asked) = channel();
        let worker = Worker { followed, rules, tell, bell, folders: BTreeSet::new(), notify: None };
        let own = tasks.clone();
        thread::Builder::new().name("motor-lists".into()).spawn(move || worker.run(&own, &asked))?;
        Ok(Watcher { wake, words, tasks })
    }

    /// The next word, if there is one; called when [`Watcher::wake`] is readable, until there is none.
    pub fn word(&mut self) -> Option<Handed> {
        let mut bytes = [0; 64];
        while matches!(self.wake.read(&mut bytes), Ok(n) if n == bytes.len()) {}
        self.words.try_recv().ok()
    }

    /// Has it look at all lists now.
    pub fn look(&self) {
        self.ask(Task::Look);
    }

    /// Has it keep a list as the last good one.
    pub fn keep(&self, source: Arc<str>, list: Arc<List>) {
        self.ask(Task::Keep(source, list));
    }

    fn ask(&self, task: Task) {
        if self.tasks.send(task).is_err() {
            tracing::error!("motor lists: their thread has ended; the lists in force stay");
        }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        // It may have ended by itself, which is what is wanted.
        let _ = self.tasks.send(Task::Stop);
    }
}

struct Worker {
    followed: Vec<Followed>,
    rules: Rules,
    tell: SyncSender<Handed>,
    bell: UnixStream,
    /// The folders under watch.
    folders: BTreeSet<PathBuf>,
    notify: Option<notify::RecommendedWatcher>,
}

impl Worker {
    fn run(mut self, tasks: &Sender<Task>, asked: &Receiver<Task>) {
        let pending = Arc::new(AtomicBool::new(false));
        self.watch(tasks, &pending);
        let mut last = Micros::MIN;
        loop {
            let due = self.followed.iter().map(|f| f.due).min().unwrap_or(Micros::MAX);
            let wait = Duration::from_micros(due.saturating_sub(now())).min(LONGEST_WAIT);
            match asked.recv_timeout(wait) {
                Ok(Task::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(Task::Keep(source, list)) => self.keep(source, &list),
                Ok(Task::Look) => {
                    let since = Duration::from_micros(now().saturating_sub(last));
                    thread::sleep(GAP.saturating_sub(since));
                    pending.store(false, Ordering::SeqCst);
                    self.followed.iter_mut().for_each(|f| f.due = 0);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            last = now();
            for i in 0..self.followed.len() {
                if !self.look(i, last) {
                    return;
                }
            }
            self.refresh();
        }
    }

    /// Looks at one list if it is time; false once nobody listens any more.
    fn look(&mut self, i: usize, now: Micros) -> bool {
        let f = &mut self.followed[i];
        if f.due > now {
            return true;
        }
        let word = f.look(now, &self.rules);
        let words = [f.acceptances(), word];
        let source = f.name.clone();
        words.into_iter().flatten().all(|word| self.hand(source.clone(), word, now))
    }

    fn hand(&mut self, source: Arc<str>, word: Word, looked: Micros) -> bool {
        if self.tell.send(Handed { source, word, looked }).is_err() {
            return false;
        }
        // A full pipe is full of bells.
        let _ = self.bell.write(&[1]);
        true
    }

    fn keep(&mut self, source: Arc<str>, list: &List) {
        let Some(folder) = &self.rules.last_good else { return };
        if let Err(e) = keep::save(&keep::path(folder, &source), list) {
            self.hand(source, Word::NotKept(e.to_string()), now());
        }
    }

    fn watch(&mut self, tasks: &Sender<Task>, pending: &Arc<AtomicBool>) {
        if self.rules.left_out(Safeguard::Notify) {
            return;
        }
        let (tasks, pending) = (tasks.clone(), pending.clone());
        let heard = move |_: notify::Result<notify::Event>| {
            // Errors and overflows are heard of here too: whatever it is, a look tells what is there.
            if !pending.swap(true, Ordering::SeqCst) {
                let _ = tasks.send(Task::Look);
            }
        };
        match notify::recommended_watcher(heard) {
            Ok(watcher) => self.notify = Some(watcher),
            Err(e) => {
                let source = self.followed.first().map_or_else(|| "".into(), |f| f.name.clone());
                self.hand(source, Word::Unwatched(e.to_string()), now());
            }
        }
        self.refresh();
    }

    /// Watches the folders in which changes show now: links move, folders are made anew.
    fn refresh(&mut self) {
        let Some(notify) = &mut self.notify else { return };
        let wanted: BTreeSet<PathBuf> = self.followed.iter().flat_map(Followed::folders).collect();
        for gone in self.folders.difference(&wanted) {
            let _ = notify.unwatch(gone);
        }
        // One that can't be watched is tried again at the next look, and polled meanwhile.
        let watched =
            |p: &PathBuf| self.folders.contains(p) || notify.watch(p, RecursiveMode::NonRecursive).is_ok();
        self.folders = wanted.into_iter().filter(watched).collect();
    }
}

#[cfg(test)]
mod tests {
    use super::super::check::tests::catalog;
    use super::super::list::{sealed, tests::TWO};
    use super::*;

    fn rules() -> Rules {
        Rules {
            terms: Terms { loopback: true, ..Terms::default() },
            catalog: Some(catalog()),
            bounds: Bounds { most_bytes: 1 << 16, most_files: 9 },
            settle: Duration::from_millis(30),
            poll: Duration::from_millis(20),
            last_good: None,
            without: BTreeSet::new(),
        }
    }

    fn source(name: &str) -> Source {
        let path = std::env::temp_dir().join(format!("ottercroft-watch-{}-{name}.hcl", std::process::id()));
        Source { name: name.into(), accept: options::accept_path(&path), path }
    }

    // A file that is torn while it is written is waited for; only one that stays so is told of, once.
    #[test]
    fn a_torn_file_is_told_once_it_stays_torn() {
        let (rules, at) = (rules(), source("torn"));
        let whole = sealed("f", TWO, false, false).unwrap();
        std::fs::write(&at.path, &whole[..whole.len() / 2]).unwrap();
        let mut f = Followed::new(&at, &rules);
        let begun = now();
        assert!(f.look(begun, &rules).is_none());
        assert!(f.look(begun + 29_000, &rules).is_none());
        assert!(matches!(f.look(begun + 31_000, &rules), Some(Word::Faulty { .. })));
        assert!(f.look(begun + 32_000, &rules).is_none());
        std::fs::write(&at.path, &whole).unwrap();
        assert!(matches!(f.look(now(), &rules), Some(Word::List(l)) if l.len() == 2));
        std::fs::remove_file(&at.path).unwrap();
    }

    // The thread sees what comes by rename, and a missing file is one word.
    #[test]
    fn the_thread_hands_over_what_comes_and_what_is_missing() {
        follows(rules(), &source("thread"));
    }

    // Notifications are lost when their queue overflows, and some file systems have none: polling is enough.
    #[test]
    fn without_notifications_polling_sees_the_same() {
        follows(Rules { without: [Safeguard::Notify].into(), ..rules() }, &source("polled"));
    }

    fn follows(rules: Rules, at: &Source) {
        let mut w = Watcher::start(vec![Followed::new(at, &rules)], rules).unwrap();
        let mut word = || {
            for _ in 0..500 {
                if let Some(h) = w.word() {
                    return h.word;
                }
                thread::sleep(Duration::from_millis(10));
            }
            panic!("no word");
        };
        assert!(matches!(word(), Word::Unusable(why) if why.contains("No such file")));
        keep::replace(&at.path, sealed("f", TWO, false, false).unwrap().as_bytes()).unwrap();
        assert!(matches!(word(), Word::List(_)));
        keep::accept(&at.accept, &"0".repeat(16), 1).unwrap();
        assert!(matches!(word(), Word::Accepted(all) if all.len() == 1));
        std::fs::remove_file(&at.path).unwrap();
        assert!(matches!(word(), Word::Unusable(_)));
        std::fs::remove_file(&at.accept).unwrap();
    }
}
