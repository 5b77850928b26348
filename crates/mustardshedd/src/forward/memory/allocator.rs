//! Settings of the process's allocator.

/// Size from which an allocation has pages of its own, in bytes.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MMAP_THRESHOLD: libc::c_int = 128 * 1024;

/// Lets large buffers return their pages to the system when they are freed. By default glibc raises
/// the size from which it does so with each large buffer that is freed, and the gaps between the
/// buffers in its heap then take half as much again as the memory budget. Call it before other
/// threads start.
pub fn return_large_buffers() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        #[expect(unsafe_code, reason = "the allocator has no safe interface")]
        // SAFETY: no other thread runs yet, and the arguments are plain numbers.
        let accepted = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD) };
        debug_assert_eq!(accepted, 1, "mallopt");
    }
}
