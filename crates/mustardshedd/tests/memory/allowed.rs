//! Memory that control groups allow a process.

use std::{fs, path};

use googletest::prelude::*;
use mustardshedd::forward::memory::allowed;

/// Files of a system, which are removed when dropped.
struct System {
    root: path::PathBuf,
}

impl System {
    fn with(name: &str, files: &[(&str, &str)]) -> Self {
        let root = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        for (file, text) in files {
            let file = root.join(file);
            fs::create_dir_all(file.parent().unwrap()).unwrap();
            fs::write(file, text).unwrap();
        }
        Self { root }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.root));
    }
}

// Guards against a budget beyond the memory of a control group around that of the process.
#[gtest]
fn least_limit_of_nested_control_groups_counts() {
    let system = System::with(
        "nested-groups",
        &[
            ("proc/self/cgroup", "0::/shed/entry-1\n"),
            ("sys/fs/cgroup/shed/memory.max", "160000000\n"),
            ("sys/fs/cgroup/shed/entry-1/memory.max", "max\n"),
        ],
    );

    let limit = allowed::control_group(&system.root);

    expect_that!(limit, some(eq(160_000_000)));
}

// Guards against the same with the first version of control groups.
#[gtest]
fn limit_of_the_memory_controller_counts() {
    let system = System::with(
        "memory-controller",
        &[
            ("proc/self/cgroup", "5:cpu,cpuacct:/a\n4:memory:/b\n0::/\n"),
            ("sys/fs/cgroup/cpu,cpuacct/a/memory.max", "1\n"),
            (
                "sys/fs/cgroup/memory/b/memory.limit_in_bytes",
                "260000000\n",
            ),
        ],
    );

    let limit = allowed::control_group(&system.root);

    expect_that!(limit, some(eq(260_000_000)));
}

#[gtest]
fn system_without_control_groups_sets_no_limit() {
    let system = System::with("no-groups", &[("proc/self/status", "")]);

    let limit = allowed::control_group(&system.root);

    expect_that!(limit, none());
}
