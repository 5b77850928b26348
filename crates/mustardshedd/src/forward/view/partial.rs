//! Lists that could be read only in part.

use mustardshed::platform::{decode, objects, topic};

/// Returns whether a list leaves out objects that may be used.
pub(super) fn is_partial(topic: topic::Topic, listing: &objects::Listing) -> bool {
    // Only one object of the configuration's kind is ever used.
    let is_configuration = topic == topic::Topic::Configuration;
    let has_all = is_configuration && listing.objects.contains_key(decode::configuration::NAME);
    listing.gap.is_some() && !has_all
}

/// Adds the known objects to a partial list that stand behind what was read.
pub(super) fn keep_unread(listing: &mut objects::Listing, known: &objects::Listing) {
    let last_read = listing.objects.last_key_value().map(|(name, _)| name);
    let unread = known.objects.iter();
    let unread = unread.filter(|(name, _)| Some(*name) > last_read);
    let unread: Vec<(String, objects::Object)> = unread
        .map(|(name, object)| (name.clone(), object.clone()))
        .collect();
    listing.objects.extend(unread);
}

/// Replaces objects of a list by known ones that were read later.
pub(super) fn keep_newer(listing: &mut objects::Listing, known: &objects::Listing) {
    for (name, object) in &known.objects {
        if object.position > listing.position {
            listing.objects.insert(name.clone(), object.clone());
        }
    }
}
