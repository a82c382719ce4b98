//! The demo: the whole system as processes on loopback, with an engine killed
//! under a stream. Exits with 1 and a clear word if anything was lost.

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

/// Token at which the engine under the quote dies.
const DIES_AT: u32 = 50;

type Failure = Box<dyn std::error::Error>;

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

async fn demo() -> Result<(), Failure> {
    println!(
        "Starting a platform, two availability zones with two instances and two engines each, and a service …"
    );
    let scene = Scene::builder(2)
        .instances_per_zone(2)
        .engines_per_zone(2)
        .start()
        .await?;
    chat(&scene).await?;
    book(&scene).await?;
    let request = quote(&scene).await?;
    tell(&scene, &request).await?;
    stop(scene).await
}

async fn chat(scene: &Scene) -> Result<(), Failure> {
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
    let outcome = caller.stream("/v1/chat/completions", body, print).await?;
    println!();
    let prompt = body(Vec::new()).into_completion().prompt;
    whole(&outcome, &prompt)
}

async fn book(scene: &Scene) -> Result<(), Failure> {
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

async fn quote(scene: &Scene) -> Result<String, Failure> {
    println!("\nA narrated quote at instance a1; its engine dies at token {DIES_AT}:");
    // Whichever engine gets the quote dies under it; the others stay.
    for engine in scene.engine_names() {
        scene
            .fault(&engine, serde_json::json!({ "die_at_token": DIES_AT }))
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
        if printed == DIES_AT - 5 {
            print!("\n  [the engine is about to die] ");
        }
        print(token);
    };
    let watch = spare_the_rest(scene);
    let (outcome, spared) = tokio::join!(caller.stream("/v1/completions", body, on_token), watch);
    spared?;
    let outcome = outcome?;
    println!();
    whole(&outcome, QUOTE_PROMPT)?;
    println!(
        "{} tokens over {} connection(s)",
        outcome.tokens.len(),
        outcome.connections
    );
    Ok(outcome.request)
}

/// Once the quote runs on one engine, the fault is taken off all others.
async fn spare_the_rest(scene: &Scene) -> Result<(), Failure> {
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

async fn tell(scene: &Scene, request: &str) -> Result<(), Failure> {
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

async fn stop(mut scene: Scene) -> Result<(), Failure> {
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

fn whole(outcome: &CompletionOutcome, prompt: &str) -> Result<(), Failure> {
    let expected = expected_answer(prompt, MAX_TOKENS);
    if outcome.tokens == expected {
        return Ok(());
    }
    let (got, wanted) = (outcome.tokens.len(), expected.len());
    Err(format!("the stream is not what was generated: {got} tokens of {wanted}").into())
}

fn print(token: &str) {
    print!("{token}");
    // Somebody who stopped reading is found out at the next line.
    let _ = std::io::stdout().flush();
}
