//! The account of all fleets: tables, a chart, one line of figures.

use super::harm::Harm;
use super::lane::{Checked, Lane};
use super::switch::Struck;
use super::trouble::{Trouble, WHOM};
use crate::fleet::accounts::Answers;
use crate::fleet::cost::Cost;
use crate::fleet::{Failure, curves, part};
use std::fmt::Write as _;
use std::path::Path;

/// A request may need so much of the processor time that it needs without policies.
const MOST_CPU: f64 = 1.02;

/// All that was measured.
pub struct Report {
    /// What came of the fleets.
    pub all: Vec<Lane>,
    /// The same switches without an agreement.
    pub harm: Harm,
    /// What requests cost, with policies on and without, in pairs.
    pub costs: Vec<(Cost, Cost)>,
    /// For the troubles.
    pub seed: u64,
    /// A short run: nothing is kept, and costs are no verdict.
    pub slice: bool,
}

/// The times of switches in seconds, sorted: to the first and to the last dispatcher.
fn times<'a>(of: impl Iterator<Item = &'a Checked>) -> [Vec<f64>; 2] {
    let mut all = [Vec::new(), Vec::new()];
    for (first, last) in of.filter_map(|c| c.took) {
        all[0].push(first.as_secs_f64());
        all[1].push(last.as_secs_f64());
    }
    all.iter_mut().for_each(|t| t.sort_by(f64::total_cmp));
    all
}

impl Report {
    fn switches(&self) -> impl Iterator<Item = &Checked> {
        self.all.iter().flat_map(|l| &l.switches)
    }

    fn count(&self, of: impl Fn(&Checked) -> bool) -> usize {
        self.switches().filter(|c| of(c)).count()
    }

    fn sum(&self, of: impl Fn(&Lane) -> usize) -> usize {
        self.all.iter().map(of).sum()
    }

    fn refused(&self, of: impl Fn(Trouble) -> bool) -> usize {
        self.switches().filter(|c| of(c.switch.trouble)).map(|c| c.refused).sum()
    }

    /// Processor time a request with policies over that without, in the middle of the pairs.
    fn cpu_ratio(&self) -> f64 {
        let mut all: Vec<f64> = self.costs.iter().map(|(on, off)| on.cpu_us / off.cpu_us.max(1e-9)).collect();
        all.sort_by(f64::total_cmp);
        part(&all, 0.5)
    }

    /// Keeps tables and chart, prints the figures; whether all aims were met.
    pub fn tell(&self, results: &Path) -> Result<bool, Failure> {
        let runs = self.count(|_| true);
        let took = self.count(|c| c.switch.took_hold);
        let not_settled = self.count(|c| !c.switch.settled);
        // A measurement whose quiet switches do not take hold measures nothing.
        let idle = self.count(|c| c.switch.trouble == Trouble::Nothing && !c.switch.took_hold);
        let bad_held = self.count(|c| c.switch.trouble == Trouble::Bad && c.switch.took_hold);
        let (wrong, late) = (self.sum(|l| l.wrong.len()), self.sum(|l| l.late.len()));
        let (half, admitted) = (self.sum(|l| l.half.len()), self.sum(|l| l.admitted));
        let sum = |of: &dyn Fn(&Answers) -> usize| self.all.iter().map(|l| of(&l.answers)).sum::<usize>();
        let (asked, unanswered, two) = (sum(&|a| a.asked), sum(&|a| a.unanswered), sum(&|a| a.two));
        let twice: u64 = self.all.iter().map(|l| l.seen.twice).sum();
        let broken: u64 = self.all.iter().map(|l| l.broken).sum();
        let refused_calm = self.refused(Trouble::calm);
        let [first, last] = times(self.switches().filter(|c| c.switch.trouble.calm()));
        let ms = |t: &[f64], q: f64| part(t, q) * 1e3;
        let cpu = self.cpu_ratio();
        let kept = [wrong, late, half, not_settled, idle, bad_held, unanswered, two, refused_calm]
            .iter()
            .all(|n| *n == 0)
            && (twice, broken) == (0, 0)
            && admitted > 0;
        // Times are no verdict in CI, whose machine does other things too.
        let cheap = self.slice || cpu <= MOST_CPU;
        if !self.slice {
            std::fs::create_dir_all(results)?;
            std::fs::write(results.join("switches.md"), self.table())?;
            std::fs::write(results.join("cost.md"), self.cost_table())?;
            let [all_first, all_last] = times(self.switches());
            let lines: [(&str, &[f64]); 4] = [
                ("nobody down: first", &first),
                ("nobody down: last", &last),
                ("all: first", &all_first),
                ("all: last", &all_last),
            ];
            let title = "From the last yes to the first and last dispatcher in force";
            curves(&results.join("switches.svg"), title, "switches", &lines)?;
        }
        println!(
            "policy: runs={runs} seed={} took_hold={took} given_up={} wrong_side={wrong} admitted={admitted} \
             admitted_late={late} half_done={half} not_settled={not_settled} idle={idle} bad_held={bad_held} \
             asked={asked} unanswered={unanswered} two_answers={two} loads_twice={twice} failed_loads={} \
             failed_reads={} broken={broken} refused_calm={refused_calm} refused_down={} first_p50_ms={:.0} \
             first_p99_ms={:.0} last_p50_ms={:.0} last_p99_ms={:.0} own_file_switches={} own_file_touched={} \
             own_file_wrong={} own_file_refused={} struck_before={} struck_between={} cpu_ratio={cpu:.3} kept={kept} cheap={cheap}",
            self.seed,
            runs - took,
            sum(&|a| a.failed_loads),
            sum(&|a| a.failed_reads),
            self.refused(|t| !t.calm()),
            ms(&first, 0.5),
            ms(&first, 0.99),
            ms(&last, 0.5),
            ms(&last, 0.99),
            self.harm.switches,
            self.harm.touched,
            self.harm.wrong,
            self.harm.refused,
            self.count(|c| c.switch.struck == Struck::Before),
            self.count(|c| c.switch.struck == Struck::Between),
        );
        self.breaches();
        Ok(kept && cheap)
    }

    /// Says what broke, up to some of each.
    fn breaches(&self) {
        for l in &self.all {
            for w in l.wrong.iter().take(10) {
                eprintln!("  on the old side: {w:?} in {:?}", l.switches[w.switch].switch);
            }
            l.late.iter().take(10).for_each(|a| eprintln!("  admitted late: {a:?}"));
            l.half.iter().take(10).for_each(|n| eprintln!("  half done: {n}"));
            let odd = |c: &&Checked| {
                let t = c.switch.trouble;
                !c.switch.settled
                    || (t.calm() && c.refused > 0)
                    || (t == Trouble::Nothing && !c.switch.took_hold)
                    || (t == Trouble::Bad && c.switch.took_hold)
            };
            for c in l.switches.iter().filter(odd).take(10) {
                let (s, told) = (&c.switch, c.switch.answers.join("|").replace('\n', "; "));
                eprintln!(
                    "  {:?}: proposed {:?}, {} in force, took hold: {}, settled: {}, refused {}: {told}",
                    s.trouble, s.proposed, s.number, s.took_hold, s.settled, c.refused
                );
            }
        }
    }

    fn table(&self) -> String {
        let mut text = String::from(
            "| trouble | switches | took hold | given up | not settled | taken back | wrong side | refused | first p50 ms | last p50 ms | last p99 ms |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for (trouble, name) in Trouble::all() {
            let of = || self.switches().filter(|c| c.switch.trouble == trouble);
            let count = |f: &dyn Fn(&Checked) -> bool| of().filter(|c| f(c)).count();
            let took = count(&|c| c.switch.took_hold);
            let wrong = self
                .sum(|l| l.wrong.iter().filter(|w| l.switches[w.switch].switch.trouble == trouble).count());
            let [first, last] = times(of());
            let _ = writeln!(
                text,
                "| {name} | {} | {took} | {} | {} | {} | {wrong} | {} | {:.0} | {:.0} | {:.0} |",
                of().count(),
                of().count() - took,
                count(&|c| !c.switch.settled),
                count(&|c| c.switch.back),
                self.refused(|t| t == trouble),
                part(&first, 0.5) * 1e3,
                part(&last, 0.5) * 1e3,
                part(&last, 0.99) * 1e3,
            );
        }
        let whom: Vec<&str> = WHOM.iter().map(|w| w.1).collect();
        let _ = writeln!(text, "\nA fault strikes: {}. Times count from the last yes.", whom.join(", "));
        text
    }

    fn cost_table(&self) -> String {
        let mut text = String::from(
            "| policies | requests | p50 us | p99 us | CPU us a request |\n| --- | --- | --- | --- | --- |\n",
        );
        for (name, c) in self.costs.iter().flat_map(|(on, off)| [("on", on), ("off", off)]) {
            let (n, p50, p99, cpu) = (c.requests, c.p50_us, c.p99_us, c.cpu_us);
            let _ = writeln!(text, "| {name} | {n} | {p50:.0} | {p99:.0} | {cpu:.0} |");
        }
        let h = &self.harm;
        let _ = write!(
            text,
            "\nEach dispatcher with a file of its own, started anew one after the other:\n\n\
             | switches | with requests on the old side | such requests | refused |\n| --- | --- | --- | --- |\n\
             | {} | {} | {} | {} |\n",
            h.switches, h.touched, h.wrong, h.refused
        );
        text
    }
}
