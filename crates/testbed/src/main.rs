//! The demo: the whole system as processes on loopback, with an engine that crashes
//! during a stream. Exits with 1 and an error message if a token or call was lost.

use std::io::Write;
use std::process::ExitCode;

use iristhread_api::ChatMessage;
use iristhread_api::ChatRequest;
use iristhread_api::CompletionRequest;
use iristhread_cli::CallRequest;
use iristhread_cli::CompletionOutcome;
use iristhread_cli::explain;
use iristhread_core::HybridTime;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;
use iristhread_standin::expected_answer;
use iristhread_testbed::CHAT_MODEL;
use iristhread_testbed::QUOTE_MODEL;
use iristhread_testbed::SLOT_SERVICE;
use iristhread_testbed::Scene;

const QUOTE_PROMPT: &str = "Explain the quote for drawing 4711 to the estimator [tokens=120]";
const CHAT_MESSAGE: &str = "Which finishes suit an oak table of 180 cm? [tokens=40]";
const MAX_TOKENS: u32 = 8_000;

/// Token at which the engine that generates the quote crashes.
const CRASH_AT_TOKEN: u32 = 50;

type DemoError = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    match demo().await {
        Ok(()) => {
            println!("\nNothing was lost.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("\nThe demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> Result<(), DemoError> {
    println!(
        "Starting a platform, two availability zones with two instances and two engines each, and a service …"
    );
    let scene = Scene::builder(2)
        .instances_per_zone(2)
        .engines_per_zone(2)
        .start()
        .await?;
    stream_chat(&scene).await?;
    book_slot(&scene).await?;
    let request = stream_quote(&scene).await?;
    print_explanation(&scene, &request).await?;
    stop_instances(scene).await
}

async fn stream_chat(scene: &Scene) -> Result<(), DemoError> {
    println!("\nA chat at instance b1:");
    let body = |received| ChatRequest {
        model: CHAT_MODEL.to_owned(),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: CHAT_MESSAGE.to_owned(),
        }],
        stream: true,
        received,
        ..ChatRequest::default()
    };
    let caller = scene.caller(&["b1"]);
    let outcome = caller
        .stream("/v1/chat/completions", body, print_token)
        .await?;
    println!();
    let prompt = body(Vec::new()).into_completion().prompt;
    check_complete(&outcome, &prompt)
}

async fn book_slot(scene: &Scene) -> Result<(), DemoError> {
    println!("\nA delivery slot, which may be booked only once:");
    let order = CallRequest {
        service: SLOT_SERVICE.to_owned(),
        path: "book".to_owned(),
        body: "tuesday 09:00".to_owned(),
    };
    let reply = scene.caller(&["a2", "b2"]).call(&order).await?;
    println!("{}", String::from_utf8_lossy(&reply.body));
    let booked = scene.executions().await?;
    match booked.by_body.get(&order.body) {
        Some(1) => Ok(()),
        other => Err(format!("the slot was booked {other:?} times").into()),
    }
}

async fn stream_quote(scene: &Scene) -> Result<String, DemoError> {
    println!("\nA narrated quote at instance a1; its engine dies at token {CRASH_AT_TOKEN}:");
    // Every engine gets the fault, since the engine that will run the quote is not known yet;
    // `clear_other_faults` then spares the others.
    for engine in scene.engine_names() {
        scene
            .fault(
                &engine,
                serde_json::json!({ "die_at_token": CRASH_AT_TOKEN }),
            )
            .await?;
    }
    let body = |received| CompletionRequest {
        model: QUOTE_MODEL.to_owned(),
        prompt: QUOTE_PROMPT.to_owned(),
        stream: true,
        received,
        ..CompletionRequest::default()
    };
    let caller = scene.caller(&["a1", "a2"]);
    let mut printed = 0;
    let on_token = |token: &str| {
        printed += 1;
        if printed == CRASH_AT_TOKEN - 5 {
            print!("\n  [the engine is about to die] ");
        }
        print_token(token);
    };
    let cleared = clear_other_faults(scene);
    let (outcome, cleared) =
        tokio::join!(caller.stream("/v1/completions", body, on_token), cleared);
    cleared?;
    let outcome = outcome?;
    println!();
    check_complete(&outcome, QUOTE_PROMPT)?;
    println!(
        "{} tokens over {} connection(s)",
        outcome.tokens.len(),
        outcome.connections
    );
    Ok(outcome.request)
}

/// Waits until the quote is placed on an engine, then clears the fault of all other engines.
async fn clear_other_faults(scene: &Scene) -> Result<(), DemoError> {
    loop {
        let timeline = scene
            .operator("a1")
            .timeline(None, HybridTime::default())
            .await?;
        let placed = timeline.records.iter().rev().find_map(quote_engine);
        if let Some(engine) = placed {
            for other in scene.engine_names().iter().filter(|name| **name != engine) {
                scene.fault(other, serde_json::json!({})).await?;
            }
            return Ok(());
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

fn quote_engine(record: &TimelineRecord) -> Option<String> {
    match &record.event {
        TimelineEvent::Placed { engine, .. } if record.instance == "a1" => Some(engine.clone()),
        _ => None,
    }
}

async fn print_explanation(scene: &Scene, request: &str) -> Result<(), DemoError> {
    println!("\nWhat happened to the quote (iristhread explain {request}), asked at instance b2:");
    let operator = scene.operator("b2");
    let timeline = operator
        .timeline(Some(request), HybridTime::default())
        .await?;
    print!("{}", explain(&timeline.records));
    let lost = |r: &TimelineRecord| matches!(r.event, TimelineEvent::AttemptLost { .. });
    if timeline.records.iter().any(lost) {
        return Ok(());
    }
    Err("no engine died under the quote, so the demo showed nothing".into())
}

async fn stop_instances(mut scene: Scene) -> Result<(), DemoError> {
    println!("\nPlanned stop of all instances:");
    for name in scene.instance_names() {
        let process = scene.process(&name);
        process.stop();
        match process.ended().await {
            Some(0) => println!("  {name} exited with 0"),
            other => return Err(format!("{name} ended with {other:?}").into()),
        }
    }
    Ok(())
}

fn check_complete(outcome: &CompletionOutcome, prompt: &str) -> Result<(), DemoError> {
    let expected = expected_answer(prompt, MAX_TOKENS);
    if outcome.tokens == expected {
        return Ok(());
    }
    let (received, generated) = (outcome.tokens.len(), expected.len());
    Err(format!("the stream is not what was generated: {received} tokens of {generated}").into())
}

fn print_token(token: &str) {
    print!("{token}");
    // A closed standard output makes the next `println!` fail.
    let _ = std::io::stdout().flush();
}
