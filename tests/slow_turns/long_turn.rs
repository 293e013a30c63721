//! A turn that is held up in its middle.

use standins::scripted::*;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// A turn in which the program reads its configuration from a pipe, and goes on once the test has written it. What was
/// ready before SIGHUP has been read by then, what else that turn brings has not been looked at.
pub struct LongTurn {
    pipe: File,
    config: String,
}

impl LongTurn {
    /// Holds the program still, has `before` bring what the turn begins with, and holds up the turn.
    pub fn begin(d: &Dispatcher, before: impl FnOnce()) -> LongTurn {
        let path = PathBuf::from(format!("{}.pipe", d.file.display()));
        let _ = std::fs::remove_file(&path);
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
        std::fs::rename(&path, &d.file).expect("the pipe in place of the configuration");
        d.stands_still();
        before();
        d.signal("HUP");
        d.goes_on();
        // Opens once the program has opened it for reading.
        let pipe = OpenOptions::new().write(true).open(&d.file).expect("a pipe that is read");
        LongTurn { pipe, config: d.config.clone() }
    }

    /// Lets so much time pass, then lets the turn go on.
    pub fn end_after(mut self, span: Duration) {
        std::thread::sleep(span);
        self.pipe.write_all(self.config.as_bytes()).expect("a configuration that is read");
    }
}
