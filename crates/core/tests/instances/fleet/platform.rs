//! The platform's object API in memory.

use std::collections::BTreeMap;

use bluebellstage_core::{
    Expected, ListedInstance, ObjectName, ObjectVersion, PlatformOp, PlatformReply, TargetInfo,
    Versioned,
};

/// How the platform treats calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It answers.
    Up,
    /// It refuses every call.
    Refusing,
    /// It never answers, and does nothing.
    Silent,
    /// It does what it is asked, and the answer is lost, this often in 100.
    LosingAnswers(u32),
}

/// Objects, lists with their past, and call counts.
#[derive(Debug)]
pub struct FakePlatform {
    pub health: Health,
    pub list_lag: u64,
    pub calls: u64,
    objects: BTreeMap<ObjectName, Versioned>,
    version: u64,
    instances: Vec<Past<Vec<ListedInstance>>>,
    targets: Vec<Past<Vec<TargetInfo>>>,
}

#[derive(Debug)]
struct Past<T> {
    since: u64,
    list: T,
}

impl FakePlatform {
    pub fn new(list_lag: u64) -> Self {
        Self {
            health: Health::Up,
            list_lag,
            calls: 0,
            objects: BTreeMap::new(),
            version: 0,
            instances: Vec::new(),
            targets: Vec::new(),
        }
    }

    pub fn set_instances(&mut self, now: u64, list: Vec<ListedInstance>) {
        self.instances.push(Past { since: now, list });
    }

    pub fn set_targets(&mut self, now: u64, list: Vec<TargetInfo>) {
        self.targets.push(Past { since: now, list });
    }

    /// All objects as they are now, to be put back later.
    pub fn copy(&self) -> BTreeMap<ObjectName, Versioned> {
        self.objects.clone()
    }

    /// Puts the objects back as they were when they were copied.
    pub fn restore(&mut self, copy: BTreeMap<ObjectName, Versioned>) {
        self.objects = copy;
    }

    /// How many objects have names that start with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.objects
            .keys()
            .filter(|name| name.as_str().starts_with(prefix))
            .count()
    }

    /// Carries a call out; the names of objects that it changed go to the watches.
    pub fn carry_out(&mut self, now: u64, op: PlatformOp) -> (PlatformReply, Option<ObjectName>) {
        self.calls += 1;
        match op {
            PlatformOp::Get { name } => {
                (PlatformReply::Got(self.objects.get(&name).cloned()), None)
            }
            PlatformOp::Put {
                name,
                value,
                expected,
            } => self.put(name, value, expected),
            PlatformOp::Delete { name } => {
                self.objects.remove(&name);
                (PlatformReply::Deleted, Some(name))
            }
            PlatformOp::ListInstances => (
                PlatformReply::Instances(self.lagging(&self.instances, now)),
                None,
            ),
            PlatformOp::ListTargets => (
                PlatformReply::Targets(self.lagging(&self.targets, now)),
                None,
            ),
        }
    }

    fn put(
        &mut self,
        name: ObjectName,
        value: Box<str>,
        expected: Expected,
    ) -> (PlatformReply, Option<ObjectName>) {
        assert!(
            value.len() <= 1_000_000,
            "object {name} has {} bytes",
            value.len()
        );
        let found = self.objects.get(&name).map(|object| object.version);
        let fits = match expected {
            Expected::Absent => found.is_none(),
            Expected::Version(version) => found == Some(version),
        };
        if !fits {
            return (PlatformReply::Conflict, None);
        }
        self.version += 1;
        let version = ObjectVersion(self.version);
        self.objects
            .insert(name.clone(), Versioned { value, version });
        (PlatformReply::Written(version), Some(name))
    }

    fn lagging<T: Clone>(&self, past: &[Past<Vec<T>>], now: u64) -> Vec<T> {
        let seen = past
            .iter()
            .rev()
            .find(|past| past.since + self.list_lag <= now);
        seen.or(past.first())
            .map(|past| past.list.clone())
            .unwrap_or_default()
    }
}
