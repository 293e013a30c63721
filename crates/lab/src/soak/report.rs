//! What is printed and kept of days: breaks with their timelines, and tables of what was met.

use super::day::Day;
use super::records::{Moment, Records};
use super::rules::Break;
use super::troubles;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Breaks of a rule that are shown in full.
const SHOWN: usize = 3;
/// Log lines from so long before and after a break are shown.
const AROUND: Duration = Duration::from_millis(700);
const MOST_LINES: usize = 40;

fn seconds(t: Moment) -> String {
    format!("{:.3}", t.as_secs_f64())
}

/// A break, with the timeline of its request and what its process logged then.
fn timeline(day: &Day, found: &Break) -> String {
    let Break { rule, rid, process, at, what } = found;
    let (d, incarnation) = (process.dispatcher, process.incarnation);
    let mut text = format!("seed {}: {rule} at {}: {what}\n", day.plan.seed, seconds(*at));
    let mut lines: Vec<(Moment, String)> = Vec::new();
    if let Some(r) = day.records.requests.iter().find(|r| r.rid == *rid) {
        let (key, budget) = (r.key, r.budget);
        lines.push((r.wanted, format!("client: wants {rid:016x}, key {key:?}, waits {budget:?}")));
        lines.push((r.written, format!("client: written to dispatcher {d}, life {incarnation}")));
        lines.push((r.due(), "client: stops waiting".into()));
        lines.push((*at, format!("client: {:?}", r.end)));
    }
    for a in day.records.attempts_of(*rid) {
        let (executor, wait) = (a.executor, a.wait);
        lines.push((a.at, format!("executor {executor}: pulled, {wait:?} passed on")));
        lines.extend(a.ended.map(|t| (t, format!("executor {executor}: over"))));
    }
    if let Some(l) = day.records.incarnation(*process) {
        lines.extend(l.stopped.map(|t| (t, "process: SIGTERM".to_string())));
        lines.extend(l.ended.map(|(t, exit)| (t, format!("process: {exit:?}"))));
    }
    let id = format!("{rid:016x}");
    let log = day.logs.iter().filter(|(p, _)| p == process).flat_map(|(_, log)| log);
    let near = |t: &Moment| *t + AROUND > *at && *t < *at + AROUND;
    let fits = |(t, line): &&(Moment, String)| {
        *rid > 0 && line.contains(&id) || near(t) && !line.contains("request ")
    };
    lines.extend(log.filter(fits).take(MOST_LINES).map(|(t, line)| (*t, format!("log: {line}"))));
    lines.sort();
    for (t, line) in lines {
        let _ = writeln!(text, "  {} {line}", seconds(t));
    }
    text
}

/// What a day broke, as text; empty if nothing.
pub fn breaks(day: &Day) -> String {
    let mut text = String::new();
    for (_, findings) in &day.findings {
        findings.broken.iter().take(SHOWN).for_each(|b| text.push_str(&timeline(day, b)));
        if findings.broken.len() > SHOWN {
            let _ = writeln!(text, "  and {} more", findings.broken.len() - SHOWN);
        }
    }
    text
}

/// Keeps a day's logs, and its plan, in a folder.
pub fn keep(day: &Day, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("plan.txt"), format!("{:#?}\n{:#?}\n", day.plan, day.records.incarnations))?;
    std::fs::write(folder.join("requests.txt"), format!("{:#?}\n", day.records.requests))?;
    for (process, log) in &day.logs {
        let name = format!("dispatcher-{}-life-{}.log", process.dispatcher, process.incarnation);
        let lines: Vec<String> = log.iter().map(|(t, line)| format!("{} {line}\n", seconds(*t))).collect();
        std::fs::write(folder.join(name), lines.concat())?;
    }
    Ok(())
}

/// Counts over all days.
#[derive(Debug, Default)]
pub struct Totals {
    /// Days played.
    pub days: usize,
    /// Days on which a rule was broken.
    pub broken_days: Vec<u64>,
    /// Days that the harness could not play.
    pub failed: Vec<u64>,
    requests: usize,
    attempts: usize,
    troubles: BTreeMap<&'static str, usize>,
    /// Checked, broken and undecided by rule.
    rules: BTreeMap<&'static str, [usize; 3]>,
    /// How often a rule was checked on days with a trouble.
    met: BTreeMap<(&'static str, &'static str), usize>,
}

impl Totals {
    /// Counts a day.
    pub fn add(&mut self, day: &Day) {
        let Records { requests, attempts, troubles, .. } = &day.records;
        self.days += 1;
        self.requests += requests.len();
        self.attempts += attempts.len();
        troubles.iter().for_each(|t| *self.troubles.entry(t).or_default() += 1);
        let mut broken = false;
        for (rule, findings) in &day.findings {
            let counts = [findings.checked, findings.broken.len(), findings.undecided];
            let sums = self.rules.entry(rule).or_default();
            sums.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
            broken |= !findings.broken.is_empty();
            for trouble in troubles {
                *self.met.entry((trouble, rule)).or_default() += findings.checked;
            }
        }
        if broken {
            self.broken_days.push(day.plan.seed);
        }
    }

    /// Breaks of all rules.
    pub fn broken(&self) -> usize {
        self.rules.values().map(|[_, broken, _]| broken).sum()
    }

    /// The last line.
    pub fn summary(&self) -> String {
        let undecided: usize = self.rules.values().map(|[_, _, undecided]| undecided).sum();
        let troubles: usize = self.troubles.values().sum();
        format!(
            "soak: days={} broken_days={} breaks={} undecided={undecided} requests={} attempts={} troubles={troubles} failed={}",
            self.days,
            self.broken_days.len(),
            self.broken(),
            self.requests,
            self.attempts,
            self.failed.len()
        )
    }

    /// Rules: checked, broken, undecided.
    pub fn rules_csv(&self) -> String {
        let mut text = String::from("rule,checked,broken,undecided\n");
        for (rule, [checked, broken, undecided]) in &self.rules {
            let _ = writeln!(text, "{rule},{checked},{broken},{undecided}");
        }
        text
    }

    /// Troubles, how often each was met, and how often each rule was checked on days with it.
    pub fn met_csv(&self) -> String {
        let rules: Vec<&str> = self.rules.keys().copied().collect();
        let mut text = format!("trouble,times,{}\n", rules.join(","));
        for kind in troubles::ALL {
            let name = kind.name();
            let times = self.troubles.get(name).copied().unwrap_or(0);
            let counts = self.rules.keys().map(|rule| self.met.get(&(name, *rule)).copied().unwrap_or(0));
            let counts: Vec<String> = counts.map(|n| n.to_string()).collect();
            let _ = writeln!(text, "{name},{times},{}", counts.join(","));
        }
        text
    }
}
