//! The resources that a stream asks for, and what it claims to hold from an earlier stream.

use crate::messages::{DeltaDiscoveryRequest, Resource};
use crate::resources::{self, ResourceCache};
use rushcourse_policy::interface::ClassId;
use std::collections::{BTreeMap, BTreeSet};

/// Stands for all resources.
const WILDCARD: &str = "*";
/// Names that a stream may subscribe to, and versions that it may claim.
const MAX_NAMES: usize = 256;
/// Characters of a name that doesn't exist which are told back.
const MAX_UNKNOWN_NAME: usize = 120;

/// The names of one stream's subscription.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    names: BTreeSet<String>,
    has_wildcard: bool,
    /// Names that don't exist, to be told as removed (delta streams only).
    unknown: BTreeSet<String>,
    /// It was changed, and no response has answered that (state-of-the-world streams only).
    is_unanswered: bool,
}

/// What a change of a delta subscription leaves to do.
#[derive(Debug, Default)]
pub(super) struct SubscriptionChange {
    /// Classes that are subscribed to once more: they are sent, whatever was sent before.
    pub(super) repeated: Vec<ClassId>,
    /// How many names don't exist.
    pub(super) unknown_count: usize,
}

impl Subscription {
    /// Whether there are more names than a stream may have.
    pub(super) fn is_too_large(&self) -> bool {
        self.names.len() > MAX_NAMES
    }

    /// Classes that are subscribed to and exist.
    pub(super) fn classes(&self, cache: &ResourceCache) -> Vec<ClassId> {
        let names = cache.class_names();
        (0..names.len())
            .filter(|class| self.has_wildcard || self.names.contains(&names[*class]))
            .collect()
    }

    /// State of the world: a request names the subscription as a whole. A name that is new, or was left out for a
    /// while, is answered, and so is the first request.
    pub(super) fn replace(&mut self, resource_names: &[String], is_first: bool) {
        let (wildcards, names): (Vec<&String>, Vec<&String>) =
            resource_names.iter().partition(|name| *name == WILDCARD);
        let has_wildcard = !wildcards.is_empty();
        let names: BTreeSet<String> = names.into_iter().cloned().collect();
        let has_grown = has_wildcard && !self.has_wildcard || !names.is_subset(&self.names);
        (self.names, self.has_wildcard) = (names, has_wildcard);
        self.is_unanswered |= has_grown || is_first;
    }

    /// Delta: a request adds names and removes others.
    pub(super) fn change(
        &mut self,
        request: &DeltaDiscoveryRequest,
        cache: &ResourceCache,
    ) -> SubscriptionChange {
        let mut change = SubscriptionChange::default();
        for name in &request.resource_names_subscribe {
            if name == WILDCARD {
                self.has_wildcard = true;
                continue;
            }
            match cache.class(name) {
                Some(class) => {
                    let is_new = self.names.insert(name.clone());
                    if !is_new {
                        change.repeated.push(class);
                    }
                }
                None => {
                    change.unknown_count += 1;
                    self.unknown
                        .insert(name.chars().take(MAX_UNKNOWN_NAME).collect());
                }
            }
        }
        for name in &request.resource_names_unsubscribe {
            self.has_wildcard &= name != WILDCARD;
            self.names.remove(name);
            self.unknown.remove(name);
        }
        change
    }

    /// Whether a response is owed though nothing has changed.
    pub(super) fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }

    /// A response has answered it, or none is needed.
    pub(super) fn mark_answered(&mut self) {
        self.is_unanswered = false;
    }

    /// Whether there are names to be told as removed.
    pub(super) fn has_unknown_names(&self) -> bool {
        !self.unknown.is_empty()
    }

    /// The names to be told as removed; they are told once.
    pub(super) fn take_unknown_names(&mut self) -> Vec<String> {
        std::mem::take(&mut self.unknown).into_iter().collect()
    }
}

/// Versions that a proxy says it holds from an earlier stream, until they can be compared.
#[derive(Debug, Default)]
pub(super) struct ClaimedVersions {
    /// By resource name (delta streams).
    by_name: BTreeMap<String, String>,
    /// Of all resources together (state-of-the-world streams).
    combined: Option<String>,
}

impl ClaimedVersions {
    /// Whether there are more claims than a stream may make.
    pub(super) fn is_too_large(&self) -> bool {
        self.by_name.len() > MAX_NAMES
    }

    /// A delta stream's first request makes these claims.
    pub(super) fn add(&mut self, initial_resource_versions: &BTreeMap<String, String>) {
        self.by_name.extend(initial_resource_versions.clone());
    }

    /// A state-of-the-world stream's first request makes this claim.
    pub(super) fn set_combined(&mut self, version_info: &str) {
        self.combined = Some(version_info.into());
    }

    /// Whether all resources together are just what was claimed. The claim is compared once.
    pub(super) fn take_combined_match<'a>(
        &mut self,
        incarnation: u64,
        versions: impl Iterator<Item = &'a str>,
    ) -> bool {
        self.combined
            .take()
            .is_some_and(|claim| claim == resources::combined_version(incarnation, versions))
    }

    /// Whether a resource is just what was claimed. The claim is compared once.
    pub(super) fn take_match(&mut self, resource: &Resource) -> bool {
        self.by_name
            .remove(&resource.assignment.cluster_name)
            .is_some_and(|claim| claim == resource.version)
    }
}
