//! Configuration and engines of the tests.

use std::collections;

use mustardshed_config::text;

use super::engine;

const TEXT: &str = r#"
[[data_centre]]
name = "a"
region = "r"

[[data_centre]]
name = "b"
region = "r"

[[engine_kind]]
name = "k"
memory_tokens = 1000
max_running = 8
cold_limit = 2
warm_after = 3
prefill_tokens_per_second = 1000
fencing = "checked"

[[engine_kind]]
name = "g"
memory_tokens = 1000
max_running = 8
cold_limit = 2
warm_after = 3
prefill_tokens_per_second = 1000
fencing = "ignored"

[[model]]
name = "m"
engine_kind = "k"
version = "1"
context_tokens = 1000

[[model]]
name = "n"
engine_kind = "k"
version = "1"
context_tokens = 1000

[[model]]
name = "o"
engine_kind = "g"
version = "1"
context_tokens = 1000
adapters = ["x"]

[[service]]
name = "top"
model = "m"
depends_on = ["base"]

[[service]]
name = "base"
model = "o"

[[service]]
name = "side"
model = "n"
depends_on = ["top"]
"#;

/// Returns a configuration where the service of model `n` depends on that of `m`, and that one on
/// the service of model `o`.
pub fn text() -> text::Text {
    text::parse(TEXT).expect("a valid text")
}

/// Returns engines `k0` to `k5` of kind `k` and `g0` to `g3` of kind `g`, in two data centres.
pub fn engines() -> collections::BTreeMap<String, engine::Engine> {
    let kinds = [("k", 6), ("g", 4)];
    let named = kinds.into_iter().flat_map(|(kind, count)| {
        (0..count).map(move |index| {
            let data_centre = ["a", "b"][index % 2];
            (
                format!("{kind}{index}"),
                engine::Engine::new(kind, data_centre),
            )
        })
    });
    named.collect()
}
