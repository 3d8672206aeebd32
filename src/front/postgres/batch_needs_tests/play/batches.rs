//! The batches of the clients of a play, and what the model says of them.

use super::*;

impl Play {
    /// Sends a batch of a client: drawn statements, or the portals that it has bound before a Flush.
    pub(super) fn send_batch(&mut self, id: ClientId) {
        // The replies to earlier batches have been written before.
        self.now += 1;
        let mut batch = Batch { client: id, deadline: Micros::MAX, ..Batch::default() };
        let mut messages = Vec::new();
        let mut portals = std::mem::take(&mut self.clients.get_mut(&id).unwrap().flushed);
        if portals.is_empty() {
            portals = self.bind_portals(&mut batch, &mut messages);
        }
        let is_cut = !messages.is_empty() && self.random.below(4) == 0;
        if is_cut {
            self.clients.get_mut(&id).unwrap().flushed = portals;
        } else {
            portals.retain(|_| self.random.below(6) > 0);
            self.execute_portals(portals, &mut batch, &mut messages);
        }
        if messages.is_empty() {
            return;
        }
        self.sent = Some(batch);
        self.clients.get_mut(&id).unwrap().is_busy = true;
        let end = if is_cut { BatchEnd::Flush } else { BatchEnd::Sync };
        let started = self.front.send(self.now, id, messages, end);
        self.start(started);
        // A batch that the front has answered by itself.
        if self.sent.take().is_some() {
            self.clients.get_mut(&id).unwrap().is_busy = false;
        }
    }

    /// Prepares and binds statements of drawn classes, some of which are then not executed.
    fn bind_portals(&mut self, batch: &mut Batch, messages: &mut Vec<Vec<u8>>) -> Vec<Portal> {
        let mut portals = Vec::new();
        for number in 0..1 + self.random.below(MAX_STATEMENTS) {
            let class = self.random.below(self.settings.classes.len() as u64) as usize;
            let session = match self.random.below(SESSIONS + 1) {
                0 => String::new(),
                session => session.to_string(),
            };
            let statement = format!("c{class}");
            if self.clients.get_mut(&batch.client).unwrap().prepared.insert(statement.clone()) {
                messages.push(self.parse(class));
                batch.parsed.push(statement);
            }
            if self.random.below(8) > 0 {
                let portal = Portal { name: format!("p{number}"), class, session };
                let parameter = (!portal.session.is_empty()).then_some(portal.session.as_str());
                messages.push(bind(&portal.name, &format!("c{class}"), parameter));
                portals.push(portal);
            }
        }
        portals
    }

    fn execute_portals(&self, portals: Vec<Portal>, batch: &mut Batch, messages: &mut Vec<Vec<u8>>) {
        // A statement without a session may be on behalf of each session of its batch.
        let mut sessions: BTreeSet<_> = portals.iter().map(|portal| portal.session.clone()).collect();
        sessions.retain(|session| !session.is_empty());
        if sessions.is_empty() {
            sessions.insert(unknown_session(batch.client));
        }
        for Portal { name, class, session } in portals {
            messages.push(execute(&name));
            batch.deadline = batch.deadline.min(self.now + timeout_ms(class) * MS);
            let sessions = if session.is_empty() { sessions.clone() } else { BTreeSet::from([session]) };
            batch.executed.extend(sessions.iter().map(|session| self.executed(class, session)));
            if self.settings.classes[class].requirement == Requirement::Write {
                batch.written.extend(sessions);
            }
        }
    }

    fn executed(&self, class: usize, session: &str) -> Executed {
        let serves_stale = self.settings.endpoints_serve_stale();
        // A session may have committed through an earlier process.
        let is_known = !session.starts_with(UNKNOWN_SESSION);
        let earlier = if serves_stale && is_known { START } else { 0 };
        let commit = self.commits.get(session).copied();
        let any_commit = self.commits.values().copied().max().filter(|_| self.keeps_few_commits && is_known);
        let position = commit.unwrap_or(earlier);
        let highest_position = position.max(any_commit.unwrap_or(0));
        let position = if is_known { position } else { 0 };
        let is_keyed = has_key(class);
        let mut class = self.settings.classes[class].clone();
        if matches!(class.idempotency, Idempotency::Keyed { .. }) && !is_keyed {
            class.idempotency = Idempotency::AtMostOnce;
        }
        let reads_own = class.requirement == Requirement::ReadYourWrites;
        Executed { class, position, highest_position: if reads_own { highest_position } else { 0 } }
    }

    fn parse(&self, class: usize) -> Vec<u8> {
        let (name, timeout) = (format!("c{class}"), timeout_ms(class));
        let verb = match self.settings.classes[class].requirement {
            Requirement::Write => "insert into t values ($1)",
            _ => "select 1 from t where ref = $1",
        };
        let key = if has_key(class) { ",k=1" } else { "" };
        parse(&name, &format!("{verb} /* c={name},d={timeout}{key} */"))
    }
}

/// The name of the sessions of a client's statements that identify none. A later statement without a
/// session on the same connection may be on behalf of the same one.
fn unknown_session(client: ClientId) -> String {
    format!("{UNKNOWN_SESSION}{client}")
}

/// Whether statements of the class name an idempotency key.
fn has_key(class: usize) -> bool {
    class.is_multiple_of(2)
}

fn timeout_ms(class: usize) -> u64 {
    400 + 150 * class as u64
}
