//! The books of the pool: which links there are to which member, and which of them are idle.

use crate::{EndpointEntry, EndpointId, EndpointState, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The number of a link, never used twice.
pub type LinkId = u64;

struct Link {
    server: EndpointId,
    address: SocketAddr,
    /// Idle, since then.
    idle: Option<Micros>,
    /// It was cut: whatever its last job has still to say, it goes on no more.
    cut: bool,
}

#[derive(Default)]
struct Place {
    address: Option<SocketAddr>,
    /// Idle links, the one used last at the end: it is the next.
    idle: Vec<LinkId>,
    /// It is listed as gone, since then.
    gone: Option<Micros>,
}

/// A member that is gone for so long is forgotten.
const FORGET: Micros = 30_000_000;

/// The books.
pub struct Pool {
    most: usize,
    last: LinkId,
    links: BTreeMap<LinkId, Link>,
    places: BTreeMap<EndpointId, Place>,
}

/// A link to use, and one to close for it.
pub struct Taken {
    /// The link, with an address where it must be opened first.
    pub link: Option<(LinkId, Option<SocketAddr>)>,
    /// Since when it was idle.
    pub idle: Option<Micros>,
    /// The idle link that makes room.
    pub evicted: Option<LinkId>,
}

impl Pool {
    /// A pool of at most so many links.
    pub fn new(most: usize) -> Self {
        Pool { most, last: 0, links: BTreeMap::new(), places: BTreeMap::new() }
    }

    /// Takes over addresses; idle links to members that went, drain or moved are closed.
    pub fn listed(
        &mut self,
        now: Micros,
        full: bool,
        members: &[(EndpointEntry, SocketAddr)],
        close: &mut dyn FnMut(LinkId),
    ) {
        for (member, address) in members {
            self.places.entry(member.server).or_default().address = Some(*address);
        }
        for (server, place) in &mut self.places {
            let entry = members.iter().find(|(m, _)| m.server == *server);
            let out = entry.map_or(full, |(m, _)| m.listed != EndpointState::Ready);
            let links = &self.links;
            place.idle.retain(|link| {
                let keep = !out && links.get(link).is_some_and(|l| Some(l.address) == place.address);
                if !keep {
                    close(*link);
                }
                keep
            });
        }
        // Members that are gone leave nothing behind in the end: new ones come under new ids for ever. For a
        // while they do, as a list may be wrong.
        for (server, place) in &mut self.places {
            match members.iter().find(|(m, _)| m.server == *server) {
                Some((member, _)) if member.listed != EndpointState::Gone => place.gone = None,
                None if !full => {}
                _ => place.gone = place.gone.or(Some(now)),
            }
        }
        self.places.retain(|_, place| place.gone.is_none_or(|since| now < since + FORGET));
    }

    /// The warmest idle link, or a new one where there is room.
    pub fn take(&mut self, server: EndpointId) -> Taken {
        let none = Taken { link: None, idle: None, evicted: None };
        let Some(place) = self.places.get_mut(&server) else { return none };
        if let Some(link) = place.idle.pop() {
            let idle = self.links.get_mut(&link).and_then(|l| l.idle.take());
            return Taken { link: Some((link, None)), idle, evicted: None };
        }
        let Some(address) = place.address else { return none };
        let mut evicted = None;
        if self.links.len() >= self.most {
            let oldest = self.links.iter().filter_map(|(id, l)| Some((l.idle?, *id, l.server))).min();
            let Some((_, id, of)) = oldest else { return none };
            if let Some(place) = self.places.get_mut(&of) {
                place.idle.retain(|l| *l != id);
            }
            self.links.remove(&id);
            evicted = Some(id);
        }
        self.last += 1;
        self.links.insert(self.last, Link { server, address, idle: None, cut: false });
        Taken { link: Some((self.last, Some(address))), idle: None, evicted }
    }

    /// A link has nothing to do; it goes back only if it is `open` and still leads to its member. `false` if
    /// it is to be closed. Guards against a member that has moved, or a job that ended as its link was cut.
    pub fn free(&mut self, link: LinkId, open: bool, now: Micros) -> bool {
        let Some(l) = self.links.get_mut(&link) else { return true };
        if !open || l.idle.is_some() {
            return true;
        }
        let place = self.places.get_mut(&l.server).filter(|p| p.address == Some(l.address) && !l.cut);
        if let Some(place) = place {
            l.idle = Some(now);
            place.idle.push(link);
            return true;
        }
        false
    }

    /// A link was cut amid a job.
    pub fn cut(&mut self, link: LinkId) {
        if let Some(l) = self.links.get_mut(&link) {
            l.cut = true;
        }
    }

    /// Closes the links that have been idle since before `old`.
    pub fn retire(&mut self, old: Micros, close: &mut dyn FnMut(LinkId)) {
        for place in self.places.values_mut() {
            let links = &self.links;
            place.idle.retain(|link| {
                let keep = links.get(link).and_then(|l| l.idle).is_some_and(|since| since > old);
                if !keep {
                    close(*link);
                }
                keep
            });
        }
    }

    /// A link is no more.
    pub fn closed(&mut self, link: LinkId) {
        if let Some(l) = self.links.remove(&link)
            && let Some(place) = self.places.get_mut(&l.server)
        {
            place.idle.retain(|i| *i != link);
        }
    }
}
