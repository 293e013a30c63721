//! Member processes of a control group.

use super::group::{Group, said};
use standins::asks::PATIENCE;
use standins::link::Link;
use standins::scripted::Launch;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// A member's process and its addresses.
pub struct MemberProcess {
    pub child: Option<Child>,
    /// Proxies to it, whose addresses stay the same when it is restarted.
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
    /// Starts or restarts a member.
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
        // Drains its log, so that it never blocks on a full pipe.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
    }

    pub fn kill_member(&mut self, i: usize) {
        let mut child = self.members[i].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM to a member and waits until it has exited.
    pub fn end_member(&mut self, i: usize) {
        let mut child = self.members[i].child.take().unwrap();
        let pid = child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let begun = Instant::now();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                assert!(status.success(), "exit status {status}");
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "member did not exit in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a member's status satisfies `done`.
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

    /// Waits until a member has a lease.
    pub fn until_leased(&self, i: usize) {
        let begun = Instant::now();
        while !self.call_member(i, "DUMP").contains("control_lease_held 1\n") {
            assert!(begun.elapsed() < PATIENCE, "member {i} has no lease");
            thread::sleep(Duration::from_millis(10));
        }
    }
}
