//! A turn that is held up in its middle.

use standins::scripted::*;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// A turn in which the program reads its configuration from a pipe, and goes on once the test has written it. What was
/// ready before SIGHUP has been read by then, what else that turn brings has not been looked at.
pub struct LongTurn {
    pipe: File,
    config: String,
}

/// A turn that will be held up in its middle once the one before has ended.
pub struct NextTurn {
    file: PathBuf,
    config: String,
}

/// Puts a pipe in the place of the configuration; one that is open already stays open.
fn pipe_instead_of(file: &Path) {
    let path = PathBuf::from(format!("{}.pipe", file.display()));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
    std::fs::rename(&path, file).expect("the pipe in place of the configuration");
}

/// Opens a pipe once the program has opened it for reading.
fn opened(file: &Path) -> File {
    OpenOptions::new().write(true).open(file).expect("a pipe that is read")
}

impl LongTurn {
    /// Holds the program still, has `before` bring what the turn begins with, and holds up the turn.
    pub fn begin(dispatcher: &Dispatcher, before: impl FnOnce()) -> LongTurn {
        pipe_instead_of(&dispatcher.file);
        dispatcher.stands_still();
        before();
        dispatcher.signal("HUP");
        dispatcher.goes_on();
        LongTurn { pipe: opened(&dispatcher.file), config: dispatcher.config.clone() }
    }

    /// Has the next turn begin with a SIGHUP that holds it up too, before whatever comes from now on.
    pub fn holds_up_the_next(&self, dispatcher: &Dispatcher) -> NextTurn {
        pipe_instead_of(&dispatcher.file);
        dispatcher.signal("HUP");
        NextTurn { file: dispatcher.file.clone(), config: dispatcher.config.clone() }
    }

    /// Lets so much time pass, then lets the turn go on.
    pub fn end_after(mut self, span: Duration) {
        std::thread::sleep(span);
        self.pipe.write_all(self.config.as_bytes()).expect("a configuration that is read");
    }
}

impl NextTurn {
    /// Once the turn before has ended: holds up this one for so long, then lets it go on.
    pub fn end_after(self, span: Duration) {
        LongTurn { pipe: opened(&self.file), config: self.config }.end_after(span);
    }
}
