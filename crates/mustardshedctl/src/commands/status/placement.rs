//! Shows the placement lease: which entry orders engines to load models.

use mustardshed::{
    core::{boundary::platform, process::placement::record},
    wire::placement,
};

use crate::commands::context;

/// Reads the lease object; `None` if it cannot be read or decoded, or does not exist.
pub async fn read(cx: &context::Context) -> Option<record::Record> {
    let platform = cx.platform().ok()?;
    let object = platform
        .get(
            platform::Purpose::Lease,
            platform::ObjectKind::Lease,
            placement::LEASE_NAME,
        )
        .await
        .ok()??;
    placement::decode(&object.value).ok()
}

/// Returns a line on the last holder, and one on each load that may be in progress.
pub fn text(lease: Option<&record::Record>) -> String {
    let Some(lease) = lease else {
        return "placement: no holder known\n".to_owned();
    };
    let mut text = format!(
        "placement: last held by {}, fencing number {}\n",
        lease.holder, lease.fence
    );
    for load in &lease.loads {
        text.push_str(&format!("  {}: {}\n", load.server, load.order));
    }
    text
}
