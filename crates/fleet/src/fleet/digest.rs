//! What the log did, as news.

use super::*;

impl Fleet {
    /// Turns what the log did into news, and sends its messages.
    pub(super) fn digest(&mut self, now: Micros) {
        let Some(group) = &mut self.group else { return };
        let fleet = group.founding.id;
        let messages = std::mem::take(&mut group.messages);
        self.messages
            .extend(messages.into_iter().map(|(to, bytes)| (peer_of(to), Message::Log(fleet, bytes))));
        let leader = group.leader().map(peer_of);
        if leader != self.leader {
            self.leader = leader;
            self.news.push_back(News::Leader(leader));
        }
        let (effects, restored) = (std::mem::take(&mut group.effects), std::mem::take(&mut group.restored));
        if restored {
            self.restored(now);
        }
        effects.into_iter().for_each(|e| self.effect(now, e));
    }

    pub(super) fn effect(&mut self, now: Micros, effect: Effect) {
        let own = |h: Holder| h.life == self.life;
        match effect {
            Effect::Registered(h, asked) => {
                self.renewed.insert(h, now);
                if own(h) {
                    let until = asked + self.terms.lease;
                    if until > now && self.lease.is_none() {
                        self.lease = Some((h, until));
                        self.renew_at = now;
                        self.news.push_back(News::Held(h));
                    }
                }
            }
            Effect::Renewed(h, asked) => {
                self.renewed.insert(h, now);
                if let Some((mine, until)) = &mut self.lease
                    && *mine == h
                {
                    *until = (*until).max(asked + self.terms.lease);
                }
            }
            Effect::Ended(h) => {
                self.renewed.remove(&h);
                if self.lease.is_some_and(|(mine, _)| mine == h) {
                    self.lease = None;
                    self.register_at = now;
                    self.lose(h);
                }
                self.news.push_back(News::Ended(h));
            }
            Effect::Changed(part) => self.news.push_back(News::Changed(part)),
            Effect::Work(e) => self.work(e),
        }
    }

    /// What became of work in hand.
    fn work(&mut self, effect: ledger::Effect) {
        use ledger::Effect;
        let own = |h: Holder| h.life == self.life;
        match effect {
            Effect::Opened(h, ask) if own(h) => {
                if self.lease.is_some_and(|(mine, _)| mine == h) {
                    self.mine.insert(ask);
                    self.news.push_back(News::Opened(ask));
                }
            }
            Effect::Taken(h, ask) if own(h) => self.news.push_back(News::Taken(ask)),
            Effect::Full(h, ask) | Effect::Fenced(h, ask) if own(h) => {
                self.news.push_back(News::Unrecorded(ask));
            }
            Effect::Opened(..) | Effect::Taken(..) | Effect::Full(..) | Effect::Fenced(..) => {}
            Effect::Claimed { ask, from, by } => {
                let mine = own(by) && self.lease.is_some_and(|(h, _)| h == by);
                if mine {
                    self.mine.insert(ask);
                }
                self.news.push_back(News::Claimed { ask, from, by, mine });
            }
            Effect::Closed(ask, end) => {
                self.mine.remove(&ask);
                self.news.push_back(News::Closed(ask, end));
            }
        }
    }

    /// The record came whole: what it says of this peer stands instead of what was missed.
    pub(super) fn restored(&mut self, now: Micros) {
        let Some(agreed) = self.group.as_ref().map(Group::agreed) else { return };
        self.news.extend([News::Changed(Part::Plan), News::Changed(Part::Policy)]);
        let alive = agreed.alive().clone();
        self.renewed = alive.iter().map(|h| (*h, now)).collect();
        let Some((holder, _)) = self.lease else { return };
        if !alive.contains(&holder) {
            self.lease = None;
            self.register_at = now;
            return self.lose(holder);
        }
        let owned: BTreeSet<u64> = agreed.work().owned(holder).collect();
        for ask in self.mine.difference(&owned) {
            self.news.push_back(News::Closed(*ask, End::Gone));
        }
        for &ask in owned.difference(&self.mine) {
            self.news.push_back(News::Claimed { ask, from: holder, by: holder, mine: true });
        }
        self.mine = owned;
    }
}
