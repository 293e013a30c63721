//! Configuration reload on SIGHUP.

use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::settings::config::Config;

impl DispatcherServer {
    /// Reads the configuration again and switches to the coordinator that it names. Open requests are kept;
    /// other settings require a restart. An invalid file changes nothing.
    pub(in crate::net) fn reload_configuration(&mut self, now: Micros) {
        let usable = |c: Config| {
            let coordinator = c.coordinator;
            c.settings.settings().map(|(settings, _)| (coordinator, settings)).map_err(|e| e.to_string())
        };
        match (self.load_config)().map_err(|e| e.to_string()).and_then(usable) {
            Ok((coordinator, settings)) => {
                self.metrics.sighup_applied.inc();
                tracing::info!(%coordinator, "configuration reloaded");
                // Under an agreed policy, a changed settings file at a single dispatcher has no effect.
                if let Some(fleet_policy) =
                    self.fleet_policy.as_ref().filter(|fleet_policy| fleet_policy.base != settings)
                {
                    let number = fleet_policy.part.number();
                    tracing::warn!(
                        number,
                        reason = "an agreed policy is in force",
                        "changed settings in the file ignored"
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
                self.metrics.sighup_rejected.inc();
                tracing::error!(error = e.replace('\n', " "), "configuration reload rejected");
            }
        }
    }
}
