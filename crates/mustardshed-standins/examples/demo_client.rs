//! The demo's caller: registers VMs, waits for entries, sends requests and checks the responses.

use std::{process, time};

use mustardshed_standins::{
    caller::{self, fate},
    demo::{check, decisions, prompt},
    json_client,
};

mod flags {
    use std::path;

    type File = path::PathBuf;

    xflags::xflags! {
        /// Caller of the demo.
        cmd demo-client {
            /// Adds a VM to the platform's list.
            cmd register {
                /// Base URL of the platform.
                required --platform url: String
                /// Item of the list, in JSON.
                required --vm item: String
            }
            /// Waits until entries answer a path with 200.
            cmd wait {
                /// Path.
                required --path path: String
                /// Base URL of an entry.
                repeated --entry url: String
            }
            /// Sends the demo's requests and checks the responses.
            cmd run {
                /// Base URL of an entry.
                repeated --entry url: String
                /// Key of the client account.
                required --key key: String
                /// Base URL of the plain service.
                required --service url: String
                /// Log of an entry.
                repeated --log file: File
            }
        }
    }
}

/// Output of each completion, in tokens.
const OUTPUT_TOKENS: u64 = 24;
/// Timeout for an entry to become ready, in steps of [`WAIT_STEP`].
const WAIT_STEPS: u32 = 300;
const WAIT_STEP: time::Duration = time::Duration::from_millis(100);

/// A completion of the demo.
struct Scene {
    title: &'static str,
    model: &'static str,
    prompt_tokens: u64,
    servers: usize,
}

const SCENES: [Scene; 3] = [
    Scene {
        title: "A short draft",
        model: "drafts",
        prompt_tokens: 1_000,
        servers: 1,
    },
    Scene {
        title: "A chapter of 200,000 tokens",
        model: "chapter-comparisons",
        prompt_tokens: 200_000,
        servers: 1,
    },
    Scene {
        title: "A book of 1,000,000 tokens, more than twice the memory of an engine",
        model: "book-collations",
        prompt_tokens: 1_000_000,
        servers: 3,
    },
];

#[tokio::main]
async fn main() -> process::ExitCode {
    let outcome = match flags::DemoClient::from_env_or_exit().subcommand {
        flags::DemoClientCmd::Register(flags) => register(&flags).await,
        flags::DemoClientCmd::Wait(flags) => wait(&flags).await,
        flags::DemoClientCmd::Run(flags) => run(&flags).await,
    };
    match outcome {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("demo: {e}");
            process::ExitCode::FAILURE
        }
    }
}

async fn register(flags: &flags::Register) -> Result<(), String> {
    let item: serde_json::Value = serde_json::from_str(&flags.vm).map_err(|e| e.to_string())?;
    let id = item["id"].as_str().unwrap_or_default();
    let url = format!("{}/admin/vms/{id}", flags.platform);
    let answer = json_client::JsonClient::open().put(&url, &item).await;
    match answer.map_err(|e| e.to_string())? {
        answer if answer.status == 200 => Ok(()),
        answer => Err(format!("{id}: {} {}", answer.status, answer.body)),
    }
}

async fn wait(flags: &flags::Wait) -> Result<(), String> {
    let client = json_client::JsonClient::open();
    for entry in &flags.entry {
        let url = format!("{entry}{}", flags.path);
        let mut steps = 0;
        while !client.get(&url).await.is_ok_and(|a| a.status == 200) {
            steps += 1;
            if steps > WAIT_STEPS {
                return Err(format!("{url} is not answered with 200"));
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
    }
    Ok(())
}

async fn run(flags: &flags::Run) -> Result<(), String> {
    let open = |url: &String| caller::Caller::open(url, &flags.key);
    let callers: Vec<caller::Caller> = flags.entry.iter().map(open).collect();
    if callers.len() < 2 {
        return Err("at least two entries are needed".to_owned());
    }
    for (i, scene) in SCENES.iter().enumerate() {
        let at = &callers[i % callers.len()];
        let elsewhere = &callers[(i + 1) % callers.len()];
        play(scene, at, elsewhere, flags).await?;
    }
    charge_twice(&callers[0], &callers[1], flags).await
}

async fn play(
    scene: &Scene,
    at: &caller::Caller,
    elsewhere: &caller::Caller,
    flags: &flags::Run,
) -> Result<(), String> {
    println!("\n== {}, through {}", scene.title, at.url());
    let prompt = prompt::of_tokens(scene.title, scene.prompt_tokens);
    let on_text = |text: &str| print_now(text);
    let completion = at
        .complete(scene.model, &prompt, OUTPUT_TOKENS, on_text)
        .await
        .map_err(|e| e.to_string())?;
    println!();
    check::completion(&prompt, OUTPUT_TOKENS, &completion)?;
    println!(
        "   whole and its own; first token after {} ms, all {OUTPUT_TOKENS} after {} ms",
        completion.first_token_after.as_millis(),
        completion.whole_after.as_millis(),
    );
    let fate = fate_at(elsewhere, &completion.request_id).await?;
    check::fate(&fate, scene.servers)?;
    print_fate(&fate, elsewhere, flags);
    Ok(())
}

async fn charge_twice(
    first: &caller::Caller,
    second: &caller::Caller,
    flags: &flags::Run,
) -> Result<(), String> {
    println!(
        "\n== A charge sent twice with one key, through {} and {}",
        first.url(),
        second.url()
    );
    let body = serde_json::json!({ "church": "grace-chapel", "deposit": 120 });
    let path = "/services/payments/charge";
    let one = first.charge(path, "deposit-1", &body).await;
    let one = one.map_err(|e| e.to_string())?;
    let two = second.charge(path, "deposit-1", &body).await;
    let two = two.map_err(|e| e.to_string())?;
    println!("   first answer:  {}", one.answer);
    println!("   second answer: {}", two.answer);
    let records = format!("{}/admin/records", flags.service);
    let records = json_client::JsonClient::open().get(&records).await;
    let executions = records.map_err(|e| e.to_string())?.body;
    check::charged_once(&one, &two, &executions)?;
    println!("   one execution: {}", executions[0]);
    let fate = fate_at(second, &one.request_id).await?;
    check::fate(&fate, 1)?;
    print_fate(&fate, second, flags);
    Ok(())
}

async fn fate_at(entry: &caller::Caller, request_id: &str) -> Result<fate::Fate, String> {
    entry.fate(request_id).await.map_err(|e| e.to_string())
}

fn print_fate(fate: &fate::Fate, entry: &caller::Caller, flags: &flags::Run) {
    println!(
        "   {} says of {}: {} on {}",
        entry.url(),
        fate.id,
        fate.outcome,
        fate.servers.join(", ")
    );
    for line in decisions::of_request(&flags.log, &fate.id) {
        println!("   {line}");
    }
}

/// Prints text as it arrives.
fn print_now(text: &str) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    // A closed standard output is reported when the next line is printed.
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}
