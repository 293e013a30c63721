//! The members of a group as processes.

use super::group::{Group, said};
use standins::asks::PATIENCE;
use standins::link::Link;
use standins::scripted::Launch;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// A member's process and where it is reached.
pub struct MemberProcess {
    pub child: Option<Child>,
    /// Ways to it that stay where they are when it is started anew.
    pub peers: Link,
    pub followers: Link,
    pub operators: Option<SocketAddr>,
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Group {
    /// Starts a member, anew or for the first time.
    pub fn start_member(&mut self, i: usize) {
        let own = self.launch.file(&format!(
            "control {{\n  role = \"member\"\n  me = \"m{i}\"\n  listen = \"127.0.0.1:0\"\n  followers = \"127.0.0.1:0\"\n{}{}}}\n",
            self.lines,
            self.member_blocks([0, 1, 2])
        ));
        let config = Launch { settings: self.member_settings.clone(), ..self.launch.clone() }
            .config_of(self.feed.address, &[])
            .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
        let launch = self.launch.clone().with(&["--settings", &own.display().to_string()]);
        let (mut child, _) = launch.spawn(&config);
        let mut log = BufReader::new(child.stderr.take().unwrap());
        self.members[i].child = Some(child);
        let mut address = |what: &str| {
            let mut line = String::new();
            while !line.contains(what) {
                line.clear();
                assert!(log.read_line(&mut line).unwrap() > 0, "a member did not start");
            }
            said(&line, what)
        };
        let member = &mut self.members[i];
        member.peers.leads_to(address("members' address "));
        member.followers.leads_to(address("followers' address "));
        member.operators = Some(address("operators' address "));
        // Its log is read to its end, so that it never waits for a reader.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
    }

    pub fn kill_member(&mut self, i: usize) {
        let mut child = self.members[i].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Tells a member to end, and waits until it has.
    pub fn end_member(&mut self, i: usize) {
        let mut child = self.members[i].child.take().unwrap();
        let pid = child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let begun = Instant::now();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                assert!(status.success(), "it ends in order");
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "it does not end");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Until a member's status satisfies this.
    pub fn until_member(&self, i: usize, done: impl Fn(&str) -> bool) -> String {
        let begun = Instant::now();
        loop {
            let status = self.call_member(i, "POLICY STATUS");
            if done(&status) {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "member {i}: {status}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Until a member has a lease of its own.
    pub fn until_leased(&self, i: usize) {
        let begun = Instant::now();
        while !self.call_member(i, "DUMP").contains("control_lease_held 1\n") {
            assert!(begun.elapsed() < PATIENCE, "member {i} has no lease");
            thread::sleep(Duration::from_millis(10));
        }
    }
}
