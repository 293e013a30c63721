//! What the decisions want, carried out; and what they are told of executors.

use super::DispatcherServer;
use super::clients::request_intake::OpenRequest;
use super::executors::{Executors, Rows};
use super::lists::{self, Lists};
use crate::api::Micros;
use crate::clock;
use crate::codec::coordinator::{State, Target, Update};
use crate::dispatch::{Answer, End, Member, News, Order, Report, Standing, executor_id};
use crate::net::clients::request_intake::asker;
use crate::operator::figures::Disposition;
use std::collections::VecDeque;

impl DispatcherServer {
    /// Carries orders out, and hands on what comes of them, until nothing is left.
    pub(super) fn settle(&mut self, orders: Vec<Order<Rows>>) {
        let mut orders = VecDeque::from(orders);
        loop {
            let now = self.clock.now();
            if let Some(order) = orders.pop_front() {
                self.carry_out(now, order);
            } else if let Some(report) = self.executors.reports.pop_front() {
                orders.extend(self.dispatch.report(now, report));
            } else {
                break;
            }
        }
    }

    pub(super) fn carry_out(&mut self, now: Micros, order: Order<Rows>) {
        match order {
            Order::Start { ticket, executor, terms } => {
                // The client may have left since this was decided: then nothing goes out, and that is told.
                let Some(job) = self.requests.open.get(&ticket.request).map(|o| o.job.clone()) else {
                    return self.executors.reports.push_back(Report::Ended(ticket, End::NeverSent, None));
                };
                if !self.may_send(now, ticket, executor) {
                    return self.executors.reports.push_back(Report::Ended(ticket, End::NeverSent, None));
                }
                self.executors.start(ticket, executor, job, terms, now, &self.poll);
            }
            Order::Stop(ticket) => self.executors.stop(ticket, now, &self.poll),
            Order::Withdraw(ticket) => self.executors.withdraw(ticket, now, &self.poll),
            Order::Boost(ticket, priority) => self.executors.boost(ticket, priority, now, &self.poll),
            Order::Past(request, served, never_ran) => self.past(now, request, served, never_ran),
            Order::Probe(executor) => self.executors.probe(executor, now, &self.poll),
            Order::Answer(request, mut answer) => {
                let Some(OpenRequest { client: key, job, .. }) = self.requests.open.remove(&request) else {
                    return;
                };
                self.end_in_flight(now, request, &answer);
                self.figures.ended(
                    &job.kind,
                    match answer {
                        Answer::Served(_) => Disposition::Succeeded,
                        Answer::Failed => Disposition::Aborted,
                        Answer::Refused(_) => Disposition::Declined,
                    },
                );
                if let Some(storm) = &mut self.storm {
                    match &mut answer {
                        Answer::Served(_) => storm.served(),
                        Answer::Failed => storm.failed(),
                        Answer::Refused(ms) => {
                            let wait = storm.refused(now, asker(&job), *ms * 1_000);
                            *ms = wait.div_ceil(1_000);
                        }
                    }
                }
                if let Some(s) = self.sessions.by_key.get_mut(&key).filter(|s| s.open == Some(request)) {
                    s.answer(&answer);
                    s.active_at = now;
                    self.flush_client(key);
                    self.process_commands(key, now);
                    self.close_if_idle_while_leaving(key, now);
                }
            }
        }
    }

    pub(super) fn update(&mut self, now: Micros, update: Update) {
        let Some(e) = update.endpoints else { return };
        if self.lists.is_some() {
            return self.with_lists(now, |lists, _| lists.feed(now, e.all, &e.targets));
        }
        let news = if e.all { News::Whole } else { News::Changes };
        self.members(now, news, &e.targets);
    }

    pub(super) fn watch_storm(&mut self, now: Micros) {
        let Some(storm) = &mut self.storm else { return };
        let fleet = self.dispatch.fleet(now);
        if let Some((phase, was)) = storm.tick(now, fleet) {
            let (arrivals, baseline) = storm.arrivals();
            tracing::warn!(
                ?phase,
                ?was,
                arrivals_per_s = arrivals.round(),
                baseline_per_s = baseline.map(f64::round),
                room_per_s = storm.room(now).round(),
                usable_cores = fleet.usable,
                listed_cores = fleet.listed,
                "storm phase"
            );
        }
    }

    /// Has the lists do something, and hands some of the entries on that wait.
    pub(super) fn with_lists(&mut self, now: Micros, what: impl FnOnce(&mut Lists, &Executors)) {
        let Some(lists) = &mut self.lists else { return };
        let begun = std::time::Instant::now();
        what(lists, &self.executors);
        let next = lists.take(lists::SLICE);
        if !next.is_empty() {
            self.members(now, News::Changes, &next);
        }
        let took = begun.elapsed().as_micros() as Micros;
        if let Some(lists) = &mut self.lists {
            lists.tally.slowest = lists.tally.slowest.max(took);
        }
    }

    /// The list has news. Starts that it tells by the wall clock become times of this process's clock.
    pub(super) fn members(&mut self, now: Micros, news: News, targets: &[Target]) {
        self.wall_clock.observe(now, clock::unix());
        let start_times = &mut self.start_times;
        let by_our_clock = |t: &Target| {
            let started = start_times.started_at(&t.uid, t.boot_ms, now, &self.wall_clock);
            // To the nearest millisecond, which is how it is told.
            Target { boot_ms: started.map_or(0, |at| (at + 500) / 1_000), ..t.clone() }
        };
        let targets: Vec<Target> = targets.iter().map(by_our_clock).collect();
        self.relist(now, news, &targets);
    }

    /// What the list says of executors now, with starts by this process's clock.
    pub(super) fn relist(&mut self, now: Micros, news: News, targets: &[Target]) {
        let member = |t: &Target| {
            // Who is gone may be named by no more than that: it was where it was listed.
            let known = self.targets.get(&t.uid).filter(|_| t.state == State::Removed);
            let listed = known.map(|k| Target { state: t.state, ..k.clone() });
            let t = listed.as_ref().unwrap_or(t);
            let (zone, kind) = (self.names.zones.get(&t.az), self.names.kinds.get(&t.model));
            let gone = t.state == State::Removed;
            if !gone && (zone.is_none() || kind.is_none() || t.endpoint.is_none()) {
                tracing::error!(executor = t.uid, "executor ignored: unknown zone or kind, or no address");
                return None;
            }
            Some(Member {
                executor: executor_id(&t.uid),
                zone: zone.copied().unwrap_or(0),
                kind: kind.copied().unwrap_or(0),
                cell: t.pod_group,
                // An executor taken out by hand stays out, whatever the list says of it meanwhile.
                standing: match t.state {
                    State::Up if self.bans.banned(&t.uid) || self.held_back(&t.uid) => Standing::Draining,
                    State::Up => Standing::Up,
                    State::Draining => Standing::Draining,
                    State::Removed => Standing::Gone,
                },
                size: t.capacity_hint.unwrap_or(1.0),
                // One let back by hand was restarted meanwhile: it is cold from then, whatever the list knew.
                started: Some(
                    t.boot_ms.max(self.onlined.get(&t.uid).copied().unwrap_or(0)).max(self.cold_ms(&t.uid)),
                )
                .filter(|ms| *ms > 0)
                .map(|ms| ms * 1000),
                weight: t.weight,
            })
        };
        let restored = |t: &&Target| news != News::Restored || t.state != State::Removed;
        let members: Vec<Member> = targets.iter().filter(restored).filter_map(member).collect();
        if news != News::Changes {
            self.targets.clear();
        }
        for t in targets {
            match t.state {
                State::Removed => {
                    self.onlined.remove(&t.uid);
                    self.targets.remove(&t.uid)
                }
                _ => self.targets.insert(t.uid.clone(), t.clone()),
            };
        }
        self.onlined.retain(|uid, _| self.targets.contains_key(uid));
        if self.start_times.len() > self.targets.len() {
            self.start_times.retain(|uid| self.targets.contains_key(uid));
        }
        self.executors.listed(targets, news != News::Changes, now, &self.poll);
        let orders = self.dispatch.members(now, news, &members);
        self.settle(orders);
    }
}
