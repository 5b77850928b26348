//! The process that a request's identifier names.

use crate::ids;

/// VM and incarnation of the process that admitted a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Owner {
    /// VM.
    pub vm: ids::VmId,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
}

/// Returns the owner named by an identifier `VM.INCARNATION.SEQUENCE[.CLAIM]`; `None` for other
/// forms.
///
/// ```
/// use mustardshed_core::request::owner;
///
/// let owner = owner::of("e1.7.42").unwrap();
/// assert_eq!((owner.vm.as_str(), owner.incarnation), ("e1", 7));
/// assert_eq!(owner::of("e1"), None);
/// ```
pub fn of(request: &str) -> Option<Owner> {
    let mut parts = request.split('.');
    let vm = parts.next().filter(|vm| !vm.is_empty())?;
    let incarnation = parts.next()?.parse().ok()?;
    parts.next()?.parse::<u64>().ok()?;
    Some(Owner {
        vm: vm.to_owned(),
        incarnation,
    })
}
