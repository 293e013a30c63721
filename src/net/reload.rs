//! SIGHUP: the configuration is read again.

use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::settings::config::Config;

impl DispatcherServer {
    /// Reads the configuration again and follows the coordinator that it names. Open requests stay, and other settings
    /// take a restart to change. A file that can't be used changes nothing.
    pub(in crate::net) fn reload_configuration(&mut self, now: Micros) {
        let usable = |c: Config| {
            let coordinator = c.coordinator;
            c.settings.settings().map(|(settings, _)| (coordinator, settings)).map_err(|e| e.to_string())
        };
        match (self.load_config)().map_err(|e| e.to_string()).and_then(usable) {
            Ok((coordinator, settings)) => {
                self.figures.sighup_applied.inc();
                tracing::info!(%coordinator, "configuration reloaded");
                // Where the fleet holds one policy, a file at one dispatcher changes nothing of it.
                if let Some(rules) = self.rules.as_ref().filter(|r| r.base != settings) {
                    let number = rules.part.number();
                    tracing::warn!(
                        number,
                        reason = "an agreed policy is in force",
                        "settings of the file ignored"
                    );
                }
                if let Some(feed) = &mut self.coordinator_watch {
                    feed.move_to(coordinator, now, &self.poll);
                }
                if let Some(lists) = &self.endpoint_lists {
                    lists.poll_files();
                }
            }
            Err(e) => {
                self.figures.sighup_rejected.inc();
                tracing::error!(error = e.replace('\n', " "), "configuration reload rejected");
            }
        }
    }
}
