//! A small fleet, and entries about it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{Ask, Entry, Id};
use hollowpaddle_revision::fallback_policy::Charter;
use hollowpaddle_revision::fleet::{ClassFacts, Facts, Group};
use hollowpaddle_revision::policy_state::{Applied, Book, Founding};
use hollowpaddle_revision::rules::Place;

/// Two sites of four pods, each with two flavours of four upstreams; a third of the room is needed.
pub fn facts() -> Facts {
    let group = |pod: u32, flavour| Group {
        pod,
        site: u8::from(pod >= 4),
        flavour,
        upstreams: 4,
        room: 500,
    };
    let name = |n: &str| n.to_string();
    let class = |n: &str| ClassFacts { name: name(n), sites: vec![], flavours: vec![] };
    Facts {
        sites: vec![name("bilbao"), name("oviedo")],
        load: vec![1300, 1300],
        flavours: vec![name("m1"), name("m2")],
        groups: (0..8).flat_map(|pod| [group(pod, 0), group(pod, 1)]).collect(),
        classes: vec![class("log"), class("sync")],
        named: BTreeMap::from([(name("u0"), (0, 0)), (name("u3"), (3, 0))]),
    }
}

/// Pods 0 and 4 are bedrock, 1 and 5 in the charter as well.
pub fn founding(members: u16) -> Founding {
    let charter = |pods: &[u32], attempts| Charter {
        pods: pods.iter().copied().collect(),
        except: BTreeSet::new(),
        attempts,
    };
    Founding {
        members,
        bedrock: charter(&[0, 4], 1),
        charter: charter(&[0, 1, 4, 5], 1),
        document: Document::default(),
    }
}

pub fn book() -> Book {
    Book::found(founding(5)).expect("it can be founded")
}

/// Pods that are out.
pub fn without(pods: &[u32]) -> Document {
    let mut document = Document::default();
    document.out.pods = pods.iter().copied().collect();
    document
}

pub fn ask(id: u128, base: Option<u64>) -> Ask {
    Ask { id: Id(id), base, trial: None, forced: false, facts: facts() }
}

pub fn propose(id: u128, base: Option<u64>, document: Document) -> Entry {
    Entry::Propose(Box::new(ask(id, base)), Box::new(document))
}

pub fn rollback(id: u128, base: Option<u64>, to: u64) -> Entry {
    Entry::Rollback(Box::new(ask(id, base)), to)
}

/// The next entry of the log.
pub fn next(book: &mut Book, entry: &Entry) -> Applied {
    let index = book.standing().index + 1;
    book.apply(index, &entry.to_bytes().expect("short"))
}

/// Everybody has confirmed whatever is begun, until nothing is.
pub fn settle(book: &mut Book) {
    while book.standing().unconfirmed {
        let stage = book.standing().stage;
        next(book, &Entry::Step(stage));
    }
}

pub fn place(pod: u32) -> Place<'static> {
    Place { name: "u", pod, flavour: "m1", site: if pod < 4 { "bilbao" } else { "oviedo" } }
}

/// The pods that may be sent to.
pub fn open(book: &Book) -> Vec<u32> {
    (0..8).filter(|p| book.standing().rules.permits(&place(*p), "log")).collect()
}
