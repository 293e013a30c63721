//! The capacity page's figures: lines fitted through the kept tables, and what they come to at the operators' size.

use super::fit::{Fit, fit};
use super::table::{Table, shown};
use super::{FOLLOWERS, MEMBERS};
use crate::fleet::Failure;
use std::fmt::Write as _;
use std::path::Path;

/// Where the made figures begin and end on the page.
const BEGIN: &str = "<!-- made by `lab capacity --write`: begin -->";
const END: &str = "<!-- made by `lab capacity --write`: end -->";
/// Executors that the operators expect.
const EXECUTORS: f64 = 3_300.0;
/// Client connections of a dispatcher that they expect: 4.8 million over 1,600.
const CLIENTS: f64 = 3_000.0;
/// Statements a second of a dispatcher that they expect: 2.5 million over 1,600.
const STATEMENTS: f64 = 1_562.5;

/// One figure: of which table and column, over which count, at which size, in which unit.
struct Figure {
    what: &'static str,
    file: &'static str,
    columns: [&'static str; 2],
    /// Only rows with this value in that column.
    only: Option<(&'static str, f64)>,
    at: f64,
    /// What the table's unit is multiplied with.
    factor: f64,
    unit: &'static str,
    /// The budget, in the same unit, where there is one.
    budget: Option<f64>,
}

fn figures() -> Vec<Figure> {
    let followers = FOLLOWERS as f64;
    let of_list = |what, column, factor, unit, budget| Figure {
        what,
        file: "list.csv",
        columns: ["executors", column],
        only: None,
        at: EXECUTORS,
        factor,
        unit,
        budget,
    };
    let of_clients = |what, column, factor, unit, budget| Figure {
        what,
        file: "connections.csv",
        columns: ["clients", column],
        only: None,
        at: CLIENTS,
        factor,
        unit,
        budget,
    };
    let of_control = |what, column, factor, unit, budget| Figure {
        what,
        file: "control.csv",
        columns: ["followers", column],
        only: Some(("members", MEMBERS as f64)),
        at: followers,
        factor,
        unit,
        budget,
    };
    let voters = Figure {
        what: "all as voters, without followers: bytes of each with the others",
        file: "control.csv",
        columns: ["members", "member_member_bytes_s"],
        only: Some(("followers", followers)),
        at: followers,
        factor: 1e-3,
        unit: "KB/s",
        budget: Some(18.0),
    };
    vec![
        of_list("dispatcher: memory with the list", "memory", 1e-6, "MB", None),
        of_list("dispatcher: start with the whole list", "start_s", 1.0, "s", None),
        of_list("dispatcher: an event of the list, processor time", "event_cpu_s", 1e6, "us", None),
        of_list("decisions: an arrival", "arrival_us", 1.0, "us", None),
        of_list(
            "decisions: arrivals at the expected load",
            "arrival_us",
            STATEMENTS * 1e-4,
            "% of a core",
            None,
        ),
        of_list("decisions: a tick", "tick_us", 1.0, "us", None),
        of_list("decisions: the whole list at once", "whole_list_us", 1e-3, "ms", None),
        of_clients("dispatcher: memory with resting clients", "memory", 1e-6, "MB", None),
        of_clients("dispatcher: processor time of resting clients", "core", 100.0, "% of a core", None),
        of_clients("dispatcher: descriptors", "descriptors", 1.0, "", None),
        of_control("control: a follower's processor time", "follower_core", 100.0, "% of a core", Some(3.3)),
        of_control("control: a follower's memory (hollow)", "follower_memory", 1e-6, "MB", Some(256.0)),
        of_control("control: a follower's bytes in", "follower_bytes_in_s", 1e-3, "KB/s", Some(18.0)),
        of_control("control: a follower's bytes out", "follower_bytes_out_s", 1e-3, "KB/s", Some(18.0)),
        of_control("control: a member's processor time", "member_core", 100.0, "% of a core", None),
        of_control("control: the leader's processor time", "leader_core", 100.0, "% of a core", None),
        of_control("control: a member's memory", "member_memory", 1e-6, "MB", None),
        of_control("control: a member's bytes with followers", "member_follower_bytes_s", 1e-3, "KB/s", None),
        of_control("control: a member's bytes with members", "member_member_bytes_s", 1e-3, "KB/s", None),
        of_control("control: a member's descriptors", "member_descriptors", 1.0, "", None),
        voters,
    ]
}

impl Figure {
    fn fit(&self, table: &Table) -> Option<Fit> {
        let [x, y] = self.columns;
        fit(&table.points(x, y, |row| self.only.is_none_or(|(column, value)| row(column) == value)))
    }

    fn row(&self, fit: Fit) -> String {
        let value = fit.at(self.at) * self.factor;
        let budget = self.budget.map_or("-".to_string(), |b| format!("{} of {}", shown(value / b), shown(b)));
        format!(
            "| {} | {} x {} + {} | {} to {} | {:.1}% | {} | {} {} | {budget} |",
            self.what,
            shown(fit.slope * self.factor),
            self.columns[0],
            shown(fit.constant * self.factor),
            shown(fit.range[0]),
            shown(fit.range[1]),
            fit.residual * 100.0,
            self.file,
            shown(value),
            self.unit,
        )
    }
}

fn changes(results: &Path) -> Result<String, Failure> {
    let mut text = String::from(
        "\n| members apart (one way) | changes | p50 at a follower | p99 | p50 at the last follower | p99 | most | not taken | admitted late |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for file in ["changes.csv", "regions.csv"] {
        let Ok(table) = Table::read(&results.join(file)) else { continue };
        let column = |name: &str| table.points("one_way_ms", name, |_| true);
        let [burst, count, missed, late] = ["burst", "changes", "not_taken", "late_admissions"].map(column);
        let times = ["each_p50_s", "each_p99_s", "last_p50_s", "last_p99_s", "last_most_s"].map(column);
        for row in 0..burst.len() {
            let kind = if burst[row].1 > 0.0 { "in a burst of 10 s" } else { "one by one" };
            let seconds: Vec<String> = times.iter().map(|t| format!("{:.3} s", t[row].1)).collect();
            let (apart, changes) = (burst[row].0, count[row].1);
            let _ = writeln!(
                text,
                "| {apart} ms | {changes} {kind} | {} | {} | {} |",
                seconds.join(" | "),
                missed[row].1,
                late[row].1
            );
        }
    }
    Ok(text)
}

/// All made figures, as the page shows them.
fn made(results: &Path) -> Result<String, Failure> {
    let mut text = String::from(
        "\n| what | slope x count + constant | measured over | residual | run | at the operators' size | used of budget |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for figure in figures() {
        let Ok(table) = Table::read(&results.join(figure.file)) else { continue };
        let fit =
            figure.fit(&table).ok_or_else(|| format!("{}: no line for {}", figure.file, figure.what))?;
        let _ = writeln!(text, "{}", figure.row(fit));
    }
    Ok(text + &changes(results)? + "\n")
}

/// Compares the page with the tables; with `write`, makes its figures anew.
pub fn check(results: &Path, page: &Path, write: bool) -> Result<bool, Failure> {
    let text = std::fs::read_to_string(page).map_err(|e| format!("{}: {e}", page.display()))?;
    let missing = || format!("{}: the marks of the made figures are missing", page.display());
    let (head, rest) = text.split_once(BEGIN).ok_or_else(missing)?;
    let (there, tail) = rest.split_once(END).ok_or_else(missing)?;
    let made = made(results)?;
    if write {
        std::fs::write(page, format!("{head}{BEGIN}\n{made}{END}{tail}"))?;
        return Ok(true);
    }
    let same = there.trim() == made.trim();
    let differs = there.trim().lines().zip(made.trim().lines()).find(|(a, b)| a != b);
    match (same, differs) {
        (true, _) => println!("capacity: {} has what {} gives", page.display(), results.display()),
        (false, Some((a, b))) => println!("capacity: the page has\n  {a}\nwhere the tables give\n  {b}"),
        (false, None) => println!("capacity: the page has more or fewer figures than the tables give"),
    }
    Ok(same)
}
