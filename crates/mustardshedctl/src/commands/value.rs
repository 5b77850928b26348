//! Formats JSON values as text.

/// Returns each non-null field of an object as `key value`, or the value itself if it is no object.
pub(super) fn fields(value: &serde_json::Value) -> Vec<String> {
    let Some(object) = value.as_object() else {
        return vec![plain(value)];
    };
    let fields = object.iter().filter(|(_, value)| !value.is_null());
    fields
        .map(|(key, value)| format!("{key} {}", plain(value)))
        .collect()
}

/// Returns a string without its quotes, or another value as JSON.
pub(super) fn plain(value: &serde_json::Value) -> String {
    let text = value.as_str().map(str::to_owned);
    text.unwrap_or_else(|| value.to_string())
}
