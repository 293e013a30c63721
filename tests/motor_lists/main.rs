//! Executor lists in a dispatcher process with scripted executors: one test per failure.

mod command_line;
mod executors;
mod unusable_lists;

use standins::scripted::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ottercroft");

/// A directory with a list, the settings that name it, and a configuration.
struct Fixture {
    dir: PathBuf,
    list: PathBuf,
    guard: String,
    accept: String,
    list_options: String,
}

fn fixture() -> Fixture {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("lists-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let guard = "guard { max_loss = 1 }".to_string();
    Fixture { list: dir.join("a.hcl"), dir, guard, accept: String::new(), list_options: String::new() }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn list(executors: &[(&str, SocketAddr, &str)]) -> String {
    let executor = |(uid, at, more): &(&str, SocketAddr, &str)| {
        format!("motor \"{uid}\" {{\n address = \"{at}\"\n kind = \"k\"\n{more}\n}}\n")
    };
    format!("room \"a\" {{\n{}}}\n", executors.iter().map(executor).collect::<String>())
}

fn cli(arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("ROUTER_CONFIG").env_remove("OTTERCROFT_SETTINGS");
    command.output().unwrap()
}

fn text(path: &Path) -> String {
    path.display().to_string()
}

impl Fixture {
    fn launch(&self) -> Launch {
        let settings = self.dir.join("settings.hcl");
        let own = format!(
            "motor_lists {{\n allow_loopback = true\n settle = \"50ms\"\n poll = \"100ms\"\n{}\n \
             source \"salas\" {{\n path = {:?}\n {}\n}}\n{}\n}}\n",
            self.list_options, self.list, self.accept, self.guard
        );
        std::fs::write(&settings, own).unwrap();
        // The slow start is short here; it has its own tests.
        let mut launch = Launch::new(PROGRAM, &self.dir).with(&["--settings", &text(&settings)]);
        launch.settings = SETTINGS.replace("\"rampTime\":10", "\"rampTime\":0.1");
        launch
    }

    /// Replaces the list file by this text, without a seal.
    fn write_unsealed(&self, text: &str) {
        let new = self.dir.join("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.list).unwrap();
    }

    /// Writes a list to a temporary file, seals it with `lists seal`, and renames it into place.
    fn write_sealed(&self, content: &str) {
        let new = self.dir.join("new");
        std::fs::write(&new, content).unwrap();
        let out = cli(&["lists", "seal", &text(&new)]);
        assert!(out.status.success(), "{out:?}");
        std::fs::rename(new, &self.list).unwrap();
    }
}

fn read(id: u8) -> String {
    format!(
        "/* method=read,rid=00000000000000{id:02x},budget=15000,est=10.0,space=9 */ SELECT a FROM sales_7.t"
    )
}

const LOAD: &str =
    "/* method=load,rid=00000000000000b1,budget=15000,obj=00000000000000c1 */ INSERT INTO sales_7.t";
const ROW: &str = "1\tx\ty\n";

/// Waits for the slow start of a new executor to end: until then few requests are sent to it, and some may be rejected.
fn wait_until_warm() {
    std::thread::sleep(std::time::Duration::from_millis(300));
}

fn rows() -> Got {
    Got::Rows(vec![["1", "x", "y"].map(String::from).to_vec()])
}
