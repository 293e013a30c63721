//! An event loop turn that the test blocks halfway.

use standins::scripted::*;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// A turn in which the program reads its configuration from a pipe and blocks until the test writes it.
/// Everything that was ready before SIGHUP has been read by then; other events of that turn have not been
/// processed.
pub struct LongTurn {
    pipe: File,
    config: String,
}

/// A turn that will be blocked halfway once the previous one has ended.
pub struct NextTurn {
    file: PathBuf,
    config: String,
}

/// Replaces the configuration file with a pipe; a pipe that is already open stays open.
fn replace_with_pipe(file: &Path) {
    let path = PathBuf::from(format!("{}.pipe", file.display()));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
    std::fs::rename(&path, file).expect("the pipe in place of the configuration");
}

/// Opens a pipe for writing, which waits until the program has opened it for reading.
fn open_pipe(file: &Path) -> File {
    OpenOptions::new().write(true).open(file).expect("a pipe that is read")
}

impl LongTurn {
    /// Suspends the program, runs `before` to create the input of the turn, and blocks the turn.
    pub fn begin(dispatcher: &Dispatcher, before: impl FnOnce()) -> LongTurn {
        replace_with_pipe(&dispatcher.file);
        dispatcher.stands_still();
        before();
        dispatcher.signal("HUP");
        dispatcher.goes_on();
        LongTurn { pipe: open_pipe(&dispatcher.file), config: dispatcher.config.clone() }
    }

    /// Makes the next turn start with a SIGHUP that blocks it too, before any event that arrives from now on.
    pub fn block_next(&self, dispatcher: &Dispatcher) -> NextTurn {
        replace_with_pipe(&dispatcher.file);
        dispatcher.signal("HUP");
        NextTurn { file: dispatcher.file.clone(), config: dispatcher.config.clone() }
    }

    /// Waits for `span`, then unblocks the turn.
    pub fn end_after(mut self, span: Duration) {
        std::thread::sleep(span);
        self.pipe.write_all(self.config.as_bytes()).expect("a configuration that is read");
    }
}

impl NextTurn {
    /// Blocks this turn for `span` once the previous one has ended, then unblocks it.
    pub fn end_after(self, span: Duration) {
        LongTurn { pipe: open_pipe(&self.file), config: self.config }.end_after(span);
    }
}
