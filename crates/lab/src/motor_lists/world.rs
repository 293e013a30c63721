//! The fleet, and versions of its lists: good ones, and ones that must not be taken.

use ottercroft::membership::list::{ListFile, renew_seal};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Swaps after which another executor of a room is out of its list: long enough that more than two seconds pass.
const EPOCH: u64 = 60;

/// A room: its executors, and which of them its list leaves out now.
pub struct Room {
    /// Its name.
    pub name: &'static str,
    /// Its executors.
    pub executors: Vec<(String, SocketAddr)>,
    /// The one left out.
    pub out: Option<usize>,
    /// The newest generation that was used.
    generation: u64,
    /// That of the newest good version.
    good: u64,
    versions: u64,
    /// Every version has its generation and its seal.
    pub seals: bool,
}

/// A version of a list.
#[derive(Debug, Clone)]
pub struct Version {
    /// Its text.
    pub text: String,
    /// Its digest, as the dispatcher names it.
    pub digest: String,
    /// The executors that it names.
    pub names: BTreeSet<String>,
}

/// What is wrong with a version that must not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wrong {
    /// Cut anywhere.
    Cut,
    /// Cut behind an executor, and still a list.
    CutBetween,
    /// Changed after it was sealed.
    Edited,
    /// The beginning of one version, the end of another.
    Mixed,
    /// No list at all.
    Garbage,
    /// Two executors of one uid.
    SameUid,
    /// Two executors at one address, in two spellings.
    SameAddress,
    /// All weights 0.
    NoWeight,
    /// A room that nobody knows.
    UnknownRoom,
    /// An older generation.
    Older,
    /// Most of the room is gone; valid, and to be held back.
    Emptied,
}

/// All of them.
pub const WRONGS: [Wrong; 11] = [
    Wrong::Cut,
    Wrong::CutBetween,
    Wrong::Edited,
    Wrong::Mixed,
    Wrong::Garbage,
    Wrong::SameUid,
    Wrong::SameAddress,
    Wrong::NoWeight,
    Wrong::UnknownRoom,
    Wrong::Older,
    Wrong::Emptied,
];

fn executor(text: &mut String, uid: &str, at: impl std::fmt::Display, weight: f64) {
    let _ = write!(
        text,
        "  motor \"{uid}\" {{\n    address = \"{at}\"\n    kind    = \"k\"\n    weight  = {weight}\n  }}\n"
    );
}

/// The text with its seal, and its digest.
pub fn seal(text: &str) -> Version {
    finish(renew_seal("list", text, false, false).expect("the text of a good version can be read"))
}

fn finish(text: String) -> Version {
    let (file, _) = ListFile::parse("list", "list", &text);
    let digest = file.as_ref().map(|f| f.digest.to_string()).unwrap_or_default();
    let names = file.iter().flat_map(|f| &f.executors).map(|m| m.uid.to_string()).collect();
    Version { text, digest, names }
}

impl Room {
    /// A room that leaves nobody out.
    pub fn new(name: &'static str, executors: Vec<(String, SocketAddr)>, seals: bool) -> Room {
        Room { name, executors, out: None, generation: 0, good: 0, versions: 0, seals }
    }

    fn head(&self, generation: u64) -> String {
        if self.seals { format!("generation = {generation}\n") } else { String::new() }
    }

    fn done(&self, text: String) -> Version {
        if self.seals { seal(&text) } else { finish(text) }
    }

    fn body(&self, rng: &mut StdRng, name: &str, out: &dyn Fn(usize) -> bool) -> String {
        let mut text = format!("room \"{name}\" {{\n");
        for (_, (uid, at)) in self.executors.iter().enumerate().filter(|(i, _)| !out(*i)) {
            // Weights of one length, so that a mixture of two versions is still a list; and near to each
            // other, so that what the guard counts is the executors that are left out.
            executor(&mut text, uid, at, f64::from(rng.random_range(1_401..1_599)) / 1_000.0);
        }
        text + "}\n"
    }

    /// The next good version: other weights, and from time to time another executor left out.
    pub fn next(&mut self, rng: &mut StdRng) -> Version {
        self.versions += 1;
        self.generation += 1;
        self.good = self.generation;
        if self.versions % EPOCH == 0 {
            let all: Vec<Option<usize>> = (0..self.executors.len()).map(Some).chain([None]).collect();
            self.out = all.choose(rng).copied().flatten();
        }
        let text = self.head(self.generation) + &self.body(rng, self.name, &|i| self.out == Some(i));
        self.done(text)
    }

    /// A version that must not be taken: the next one, torn or wrong.
    pub fn wrong(&mut self, rng: &mut StdRng, wrong: Wrong) -> Version {
        let out = self.out;
        let out = |i: usize| out == Some(i);
        let good = self.done(self.head(self.generation + 1) + &self.body(rng, self.name, &out));
        // Its generation is used up, should it be taken.
        self.generation += 1;
        let generation = self.generation;
        match wrong {
            Wrong::Cut => {
                let at = rng.random_range(0..good.text.trim_end().len());
                finish(good.text[..at].to_string())
            }
            Wrong::CutBetween => {
                let ends: Vec<usize> = good.text.match_indices("\n  }\n").map(|(i, s)| i + s.len()).collect();
                let at = ends[..ends.len() - 1].choose(rng).copied().unwrap_or(ends[0]);
                finish(format!("{}}}\n", &good.text[..at]))
            }
            Wrong::Edited => finish(good.text.replacen("weight  = 1.", "weight  = 3.", 1)),
            Wrong::Mixed => {
                let other = self.done(self.head(generation) + &self.body(rng, self.name, &out));
                let at = good.text.len().min(other.text.len()) / 2;
                let at = good.text[..at].rfind('\n').unwrap_or(0);
                finish(format!("{}{}", &good.text[..at], &other.text[at..]))
            }
            Wrong::Garbage => {
                let bytes: String = (0..200).map(|_| char::from(rng.random_range(b' '..b'~'))).collect();
                finish(format!("{bytes}{{"))
            }
            Wrong::SameUid => {
                let mut text = self.head(generation) + &self.body(rng, self.name, &out);
                text.push_str(&format!("room \"{}\" {{\n", self.name));
                executor(
                    &mut text,
                    &self.executors[self.out.map_or(0, |o| (o + 1) % self.executors.len())].0,
                    "127.0.0.9:9",
                    1.5,
                );
                self.done(text + "}\n")
            }
            Wrong::SameAddress => {
                let mut text = self.head(generation) + &self.body(rng, self.name, &out);
                let at = self.executors[self.out.map_or(0, |o| (o + 1) % self.executors.len())].1;
                text.push_str(&format!("room \"{}\" {{\n", self.name));
                executor(&mut text, "twin", format!("[::ffff:{}]:{}", at.ip(), at.port()), 1.5);
                self.done(text + "}\n")
            }
            Wrong::NoWeight => {
                let mut text = self.head(generation) + &format!("room \"{}\" {{\n", self.name);
                self.executors.iter().for_each(|(uid, at)| executor(&mut text, uid, at, 0.0));
                self.done(text + "}\n")
            }
            Wrong::UnknownRoom => self.done(self.head(generation) + &self.body(rng, "nowhere", &out)),
            Wrong::Older => {
                let older = self.head(self.good.saturating_sub(1)) + &self.body(rng, self.name, &out);
                self.done(older)
            }
            Wrong::Emptied => {
                let mut left: Vec<usize> = (0..self.executors.len()).filter(|i| !out(*i)).collect();
                left.shuffle(rng);
                let only = left[0];
                self.done(self.head(generation) + &self.body(rng, self.name, &|i| i != only))
            }
        }
    }
}
