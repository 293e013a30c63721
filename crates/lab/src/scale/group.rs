//! A control group under measurement: members as processes, hollow followers some hundred to a process.

use super::process::{Usage, usage};
use crate::fleet::{Failure, SETTINGS};
use standins::asks::call;
use standins::delay::DelayedLink;
use standins::scripted::Launch;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Nothing takes this long unless something hangs.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// A process that is ended with its owner.
pub(super) struct Owned(Child);

impl Drop for Owned {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct MemberProcess {
    process: Option<Owned>,
    followers: SocketAddr,
    operators: SocketAddr,
    /// Where members' messages come in, with the distance to the others.
    link: DelayedLink,
}

pub(super) struct HollowProcess {
    process: Owned,
    pub(super) stdin: ChildStdin,
    pub(super) stdout: BufReader<ChildStdout>,
}

/// What a group is to be.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Members: three to seven.
    pub members: usize,
    /// Hollow followers.
    pub followers: usize,
    /// Processes that they are in.
    pub processes: usize,
    /// One way between members.
    pub delay: Duration,
    /// How often followers are asked by what they admit; 0 for never.
    pub sample_ms: u64,
}

/// A group that runs.
pub struct Group {
    launch: Launch,
    shape: Shape,
    members: Vec<MemberProcess>,
    pub(super) hollow: Vec<HollowProcess>,
    settings: PathBuf,
    config: PathBuf,
    /// First and last time that any follower admitted by a policy, by its number.
    pub admitted: BTreeMap<u64, [u64; 2]>,
}

fn said(line: &str, what: &str) -> Result<SocketAddr, Failure> {
    Ok(line.split(what).nth(1).unwrap_or("").trim().parse().map_err(|e| format!("{line}: {e}"))?)
}

impl Group {
    /// Starts members and followers, and waits until all have a lease.
    pub fn start(program: &Path, folder: &Path, shape: Shape) -> Result<Group, Failure> {
        std::fs::create_dir_all(folder)?;
        let mut launch = Launch::new(program, folder);
        launch.settings = SETTINGS.into();
        launch.log = Some("warn,ottercroft::net::control_plane=info".into());
        let nowhere: SocketAddr = "127.0.0.1:0".parse()?;
        let links: Result<Vec<DelayedLink>, _> =
            (0..shape.members).map(|_| DelayedLink::new(shape.delay)).collect();
        let member = |link| MemberProcess { process: None, followers: nowhere, operators: nowhere, link };
        let config = launch.file(&launch.config("127.0.0.1:9".parse()?, &[]));
        let mut group = Group {
            shape,
            members: links?.into_iter().map(member).collect(),
            hollow: Vec::new(),
            settings: launch.file(""),
            config,
            launch,
            admitted: BTreeMap::new(),
        };
        (0..shape.members).try_for_each(|i| group.start_member(i))?;
        std::fs::write(&group.settings, group.text("  role = \"follower\"\n"))?;
        (0..shape.processes).try_for_each(|n| group.start_hollow(n))?;
        group.until_leased(shape.followers)?;
        Ok(group)
    }

    fn text(&self, lines: &str) -> String {
        // Members ask the others for nothing at their followers' addresses: any that differ will do until they run.
        let member = |(i, m): (usize, &MemberProcess)| {
            let followers = if m.followers.port() == 0 {
                format!("127.0.0.1:{}", i + 1)
            } else {
                m.followers.to_string()
            };
            format!(
                "  member \"m{i}\" {{\n    address = \"{}\"\n    followers = \"{followers}\"\n  }}\n",
                m.link.address
            )
        };
        let members: String = self.members.iter().enumerate().map(member).collect();
        let round_trip = (2 * self.shape.delay).max(Duration::from_millis(5)).as_millis();
        format!("control {{\n  round_trip = \"{round_trip}ms\"\n{lines}{members}}}\n")
    }

    /// Starts a member, anew or for the first time.
    pub fn start_member(&mut self, i: usize) -> Result<(), Failure> {
        let followers = self.members[i].followers;
        let own = self.launch.file(&self.text(&format!(
            "  role = \"member\"\n  me = \"m{i}\"\n  listen = \"127.0.0.1:0\"\n  followers = \"{followers}\"\n  max_followers = 2000\n"
        )));
        let config = self
            .launch
            .config("127.0.0.1:9".parse()?, &[])
            .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
        let launch = self.launch.clone().with(&["--settings", &own.display().to_string()]);
        let (mut child, _) = launch.spawn(&config);
        let log = child.stderr.take().ok_or("no log")?;
        self.members[i].process = Some(Owned(child));
        let mut log = BufReader::new(log);
        let mut address = |what: &str| -> Result<SocketAddr, Failure> {
            let mut line = String::new();
            while !line.contains(what) {
                line.clear();
                if log.read_line(&mut line)? == 0 {
                    return Err("a member did not start".into());
                }
            }
            said(&line, what)
        };
        let member = &mut self.members[i];
        member.link.leads_to(address("members' address ")?);
        member.followers = address("followers' address ")?;
        member.operators = address("operators' address ")?;
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        Ok(())
    }

    fn start_hollow(&mut self, n: usize) -> Result<(), Failure> {
        let Shape { followers, processes, sample_ms, .. } = self.shape;
        let each = followers / processes + usize::from(n < followers % processes);
        let mut child = Command::new(std::env::current_exe()?)
            .arg("hollow")
            .arg("--settings")
            .arg(&self.settings)
            .arg("--config")
            .arg(&self.config)
            .args(["--followers", &each.to_string()])
            .args(["--seed", &(n * 10_000).to_string()])
            .args(["--sample-ms", &sample_ms.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take().ok_or("no standard input")?;
        let stdout = BufReader::new(child.stdout.take().ok_or("no standard output")?);
        self.hollow.push(HollowProcess { process: Owned(child), stdin, stdout });
        Ok(())
    }

    /// Asks a member; empty if it is not there.
    pub fn call(&self, member: usize, line: &str) -> String {
        match &self.members[member].process {
            Some(_) => call(self.members[member].operators, line),
            None => String::new(),
        }
    }

    /// A figure of a member.
    pub fn figure(&self, member: usize, name: &str) -> f64 {
        let text = self.call(member, "DUMP");
        let line = text.lines().find_map(|l| l.strip_prefix(&format!("control_{name} ")).map(String::from));
        line.and_then(|v| v.parse().ok()).unwrap_or(0.0)
    }

    /// The member that leads.
    pub fn leader(&self) -> usize {
        (0..self.members.len()).find(|i| self.figure(*i, "leads") == 1.0).unwrap_or(0)
    }

    /// A file with a policy of its own text.
    pub fn policy_file(&self, n: u64) -> PathBuf {
        let limit = 3.0 + (n % 10) as f64 / 10.0;
        self.launch.file(&format!("policy \"p{n}\" {{\n  class \"read\" {{\n    worth = {limit}\n  }}\n}}\n"))
    }

    /// How many members it has.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Where operators reach a member.
    pub fn operators(&self, member: usize) -> SocketAddr {
        self.members[member].operators
    }

    /// What a member's process has used.
    pub fn member_usage(&self, member: usize) -> Usage {
        self.members[member].process.as_ref().map_or_else(Usage::default, |p| usage(p.0.id()))
    }

    /// What all processes of followers have used together.
    pub fn hollow_usage(&self) -> Usage {
        self.hollow.iter().map(|h| usage(h.process.0.id())).fold(Usage::default(), |sum, one| Usage {
            cpu_s: sum.cpu_s + one.cpu_s,
            memory: sum.memory + one.memory,
            descriptors: sum.descriptors + one.descriptors,
        })
    }

    /// Ends a member at once.
    pub fn kill_member(&mut self, i: usize) {
        self.members[i].process = None;
    }

    /// Tells a member to end, and waits until it has.
    pub fn end_member(&mut self, i: usize) -> Result<(), Failure> {
        let Some(mut process) = self.members[i].process.take() else { return Ok(()) };
        signal(process.0.id(), "TERM")?;
        let ended = process.0.wait()?;
        if ended.success() { Ok(()) } else { Err(format!("member {i} ended with {ended}").into()) }
    }

    /// Stops a process of followers, or lets it go on.
    pub fn pause_hollow(&self, n: usize, paused: bool) -> Result<(), Failure> {
        signal(self.hollow[n].process.0.id(), if paused { "STOP" } else { "CONT" })
    }
}

fn signal(pid: u32, name: &str) -> Result<(), Failure> {
    let sent = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status()?;
    if sent.success() { Ok(()) } else { Err(format!("no signal {name} to {pid}").into()) }
}
