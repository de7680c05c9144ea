//! The resource names that a stream subscribes to, and the versions that the proxy holds from an earlier stream.

use crate::messages::{DeltaDiscoveryRequest, Resource};
use crate::resources::{self, ResourceCache};
use rushcourse_policy::interface::ClassId;
use std::collections::{BTreeMap, BTreeSet};

/// Subscribes to all resources.
const WILDCARD: &str = "*";
/// Limit on the subscribed names of a stream, and on the initial versions in its first request.
const MAX_NAMES: usize = 256;
/// Longest unknown name that is returned in `removed_resources`, in characters.
const MAX_UNKNOWN_NAME: usize = 120;

/// The subscription of one stream.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    names: BTreeSet<String>,
    has_wildcard: bool,
    /// Subscribed names that don't exist, to be returned in `removed_resources` (delta streams only).
    unknown_names: BTreeSet<String>,
    /// Set while a changed subscription has no response (state-of-the-world streams only).
    is_unanswered: bool,
}

/// Consequences of a changed delta subscription.
#[derive(Debug, Default)]
pub(super) struct SubscriptionChange {
    /// Classes that were already subscribed to: the protocol has them sent again.
    pub(super) resubscribed: Vec<ClassId>,
    /// Number of names in the request that don't exist.
    pub(super) unknown_count: usize,
}

impl Subscription {
    pub(super) fn is_too_large(&self) -> bool {
        self.names.len() > MAX_NAMES
    }

    /// Existing classes that the subscription covers.
    pub(super) fn classes(&self, cache: &ResourceCache) -> Vec<ClassId> {
        let names = cache.class_names();
        (0..names.len())
            .filter(|class| self.has_wildcard || self.names.contains(&names[*class]))
            .collect()
    }

    /// Replaces the names of a state-of-the-world subscription. A response is required if the names were extended, or
    /// if the request is the stream's first.
    pub(super) fn replace(&mut self, resource_names: &[String], is_first: bool) {
        let (wildcards, names): (Vec<&String>, Vec<&String>) =
            resource_names.iter().partition(|name| *name == WILDCARD);
        let has_wildcard = !wildcards.is_empty();
        let names: BTreeSet<String> = names.into_iter().cloned().collect();
        let has_grown = has_wildcard && !self.has_wildcard || !names.is_subset(&self.names);
        (self.names, self.has_wildcard) = (names, has_wildcard);
        self.is_unanswered |= has_grown || is_first;
    }

    /// Applies the added and removed names of a delta request.
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
                        change.resubscribed.push(class);
                    }
                }
                None => {
                    change.unknown_count += 1;
                    self.unknown_names
                        .insert(name.chars().take(MAX_UNKNOWN_NAME).collect());
                }
            }
        }
        for name in &request.resource_names_unsubscribe {
            self.has_wildcard &= name != WILDCARD;
            self.names.remove(name);
            self.unknown_names.remove(name);
        }
        change
    }

    /// Whether a response is required even if no resource has changed.
    pub(super) fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }

    pub(super) fn mark_answered(&mut self) {
        self.is_unanswered = false;
    }

    /// Whether unknown names have to be returned in `removed_resources`.
    pub(super) fn has_unknown_names(&self) -> bool {
        !self.unknown_names.is_empty()
    }

    /// Returns the unknown names for `removed_resources` and clears them.
    pub(super) fn take_unknown_names(&mut self) -> Vec<String> {
        std::mem::take(&mut self.unknown_names)
            .into_iter()
            .collect()
    }
}

/// Versions that the proxy reports to hold from an earlier stream. Each is compared once, with the first current
/// version of its resource.
#[derive(Debug, Default)]
pub(super) struct InitialVersions {
    /// Versions by resource name (delta streams).
    by_name: BTreeMap<String, String>,
    /// Combined version of all resources (state-of-the-world streams).
    combined: Option<String>,
}

impl InitialVersions {
    pub(super) fn is_too_large(&self) -> bool {
        self.by_name.len() > MAX_NAMES
    }

    /// Stores the versions of a delta stream's first request.
    pub(super) fn add(&mut self, initial_resource_versions: &BTreeMap<String, String>) {
        self.by_name.extend(initial_resource_versions.clone());
    }

    /// Stores the version of a state-of-the-world stream's first request.
    pub(super) fn set_combined(&mut self, version_info: &str) {
        self.combined = Some(version_info.into());
    }

    /// Removes the combined version and returns whether it equals that of the current resources.
    pub(super) fn take_combined_match<'a>(
        &mut self,
        incarnation: u64,
        versions: impl Iterator<Item = &'a str>,
    ) -> bool {
        self.combined
            .take()
            .is_some_and(|version| version == resources::combined_version(incarnation, versions))
    }

    /// Removes the version stored for a resource and returns whether it equals the current one.
    pub(super) fn take_match(&mut self, resource: &Resource) -> bool {
        self.by_name
            .remove(&resource.assignment.cluster_name)
            .is_some_and(|version| version == resource.version)
    }
}
