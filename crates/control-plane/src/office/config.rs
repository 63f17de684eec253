//! The operator's configurations: calls, votes, what is chosen.
use super::*;

impl Office {
    /// An operator's call `config.replace`, by the host's number.
    pub fn put(&mut self, now: Micros, id: u64, body: &[u8]) -> Vec<Act> {
        let mut acts = Vec::new();
        self.tick(now);
        let script = match RouteConfig::parse(body) {
            Ok(script) => script,
            Err(refusal) => {
                self.counts.refused += 1;
                acts.push(Act::Log(format!("refuse a configuration: {refusal}")));
                acts.push(Act::Reply(id, 400, refusal.to_string()));
                return acts;
            }
        };
        self.counts.puts += 1;
        let Ok(body) = String::from_utf8(body.to_vec()) else { return acts };
        let digest = Digest::of(body.as_bytes());
        let order = Operation::Replace(VersionedConfig { version: script.version, body }, digest);
        self.call(now, Call::Put(id, script.version), order, &mut acts);
        acts
    }

    /// An operator's call `config.read`.
    pub fn read(&mut self, now: Micros, id: u64) -> Vec<Act> {
        let mut acts = Vec::new();
        self.tick(now);
        self.call(now, Call::Read(id), Operation::Read, &mut acts);
        acts
    }

    pub(super) fn call(&mut self, now: Micros, call: Call, order: Operation, acts: &mut Vec<Act>) {
        if let Call::Put(id, _) | Call::Read(id) = call {
            let alone = !self.reaches_most(now) && self.set.members.len() != 1;
            let why = match (self.set.number == 0, alone) {
                (true, _) => "no voters are known yet",
                (_, true) => "more than half of the prompters are not in reach: nothing was done",
                _ if self.calls.len() >= MOST => "too many calls in hand",
                _ => "",
            };
            if !why.is_empty() {
                acts.push(Act::Reply(id, 503, why.into()));
                return;
            }
        }
        self.next += 1;
        self.calls.insert(self.next, call);
        let steps = self.proposer.call(now, self.next, order);
        self.steps(now, steps, acts);
    }

    pub(super) fn steps(&mut self, now: Micros, steps: Vec<Effect>, acts: &mut Vec<Act>) {
        for step in steps {
            match step {
                Effect::Send { to: voter, number, request: ask } => {
                    let Some(vote) = seats::vote(self.set.number, number, &ask) else { continue };
                    if Some(voter.0 as usize) == self.own_place() {
                        self.vote(now, None, &vote, acts);
                    } else if let Some((conn, _)) = self.peers.get(&(voter.0 as usize)) {
                        acts.push(Act::Send(*conn, What::Vote(vote)));
                    }
                }
                Effect::Chosen { config: held, started_at: began } => {
                    // An answer to what was asked before it stood still or was cut off says nothing of now.
                    self.sure |= began >= self.doubted;
                    held.into_iter().for_each(|held| self.choose(held, acts));
                }
                Effect::Finish(number, end) => self.end(now, number, end, acts),
            }
        }
    }

    fn end(&mut self, now: Micros, number: u64, end: CallResult, acts: &mut Vec<Act>) {
        let Some(call) = self.calls.remove(&number) else { return };
        let (id, version) = match call {
            Call::Put(id, version) => (id, version),
            Call::Read(id) => (id, 0),
            Call::Own => {
                if end == CallResult::NoMajority {
                    self.unsure = Some(now + UNSURE);
                }
                return;
            }
        };
        let (status, body) = match end {
            CallResult::Current(held) => (200, held.body),
            CallResult::Accepted => (200, String::new()),
            CallResult::Empty => (503, "there is none yet".into()),
            CallResult::Conflict { current: holds } => {
                let line =
                    format!("not taken: another body holds under {version}; version {holds} is in force");
                acts.push(Act::Log(line.clone()));
                (409, line)
            }
            CallResult::Forgotten { current: holds } => {
                let why =
                    "is older than what is remembered: whether this body was taken under it is not known";
                (503, format!("version {version} {why}; version {holds} is in force"))
            }
            CallResult::NoMajority => {
                let why = "more than half of the prompters did not answer in time: what was sent may come to hold or not";
                (503, why.into())
            }
        };
        acts.push(Act::Reply(id, status, body));
    }

    /// This one is held by more than half: it can be told.
    pub(super) fn choose(&mut self, held: VersionedConfig, acts: &mut Vec<Act>) {
        if self.chosen.as_ref().is_some_and(|h| h.version >= held.version) {
            return;
        }
        acts.push(Act::Log(format!("version {} holds", held.version)));
        let holding = What::Holding(Holding { chosen: held.version, sure: self.sure });
        self.packed = cues::pack(held.version, held.body.as_bytes());
        let word = What::Word(self.packed.clone());
        for (conn, guest) in &self.guests {
            // Who follows this board gets it whole; the others have it from theirs, or ask.
            let what = if guest.follows.is_some() { word.clone() } else { holding.clone() };
            acts.push(Act::Send(*conn, what));
        }
        self.chosen = Some(held);
    }

    pub(super) fn vote(&mut self, now: Micros, conn: Option<Conn>, vote: &cues::Vote, acts: &mut Vec<Act>) {
        let (owed, set) = (self.owed, self.set.number);
        if !self.votes() || vote.set != set {
            if let Some(conn) = conn {
                let said =
                    cues::Voted { number: vote.number, voter: u32::MAX, set, ..cues::Voted::default() };
                acts.push(Act::Send(conn, What::Voted(said)));
                if vote.set != set {
                    self.other_set(conn, vote.set, acts);
                }
            }
            return;
        }
        let State::Seated(voter) = &mut self.state else { return };
        let (answer, writes) = voter.handle(now, &seats::asked(vote));
        let yes = matches!(answer.reply, Reply::Promised { .. } | Reply::Accepted);
        if yes && (!writes.is_empty() || owed) {
            // What was handed to the disk and is not known to be there goes with it once more.
            let mut deeds = Vec::new();
            if let Some(kept) = voter.space(&proposer::config_space()) {
                deeds.push(Deed::Promise(kept.promised));
                if let Some(entry) = kept.entries.get(CONFIG_KEY).filter(|_| owed || vote.body.is_some()) {
                    let version = VersionedConfig::parse(&entry.value).map_or(0, |h| h.version);
                    deeds.push(Deed::Word(version, entry.clone()));
                }
            }
            self.owed = true;
            if vote.body.is_some() {
                let span = UNSURE.times(1.0 + self.chance.rand_float());
                self.unsure = self.unsure.or(Some(now + span));
            }
            self.save(Pending::Voted(conn, vote.number, Box::new((set, answer))), deeds, acts);
        } else {
            self.voted(now, conn, vote.number, set, answer, acts);
        }
    }

    /// An answer under a set, which may be over by now: what it grants was granted before it was sealed.
    pub(super) fn voted(
        &mut self,
        now: Micros,
        conn: Option<Conn>,
        number: u64,
        set: u64,
        answer: Response,
        acts: &mut Vec<Act>,
    ) {
        let voter = match (&self.state, &self.frozen) {
            (State::Seated(voter), _) if set == self.set.number => voter.id,
            (_, Some(frozen)) if frozen.set.number == set => frozen.voter.id,
            _ => return,
        };
        match conn {
            Some(conn) => {
                acts.push(Act::Send(conn, What::Voted(seats::voted(number, set, voter, &answer))));
            }
            None if set == self.set.number => {
                let jitter = self.chance.rand_float();
                let steps = self.proposer.on_response(now, voter, number, answer, jitter);
                self.steps(now, steps, acts);
            }
            None => {}
        }
    }

    /// What is accepted here is newer than what is known to be chosen.
    pub(super) fn lags(&self) -> bool {
        let State::Seated(voter) = &self.state else { return true };
        let entry = voter.space(&proposer::config_space()).and_then(|k| k.entries.get(CONFIG_KEY).cloned());
        let accepted = entry.and_then(|e| VersionedConfig::parse(&e.value)).map_or(0, |h| h.version);
        accepted > self.chosen.as_ref().map_or(0, |h| h.version)
    }
}
