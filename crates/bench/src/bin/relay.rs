//! Streams through an instance against streams straight from the engines, in
//! turn in one run: time to first token, time between tokens, and the
//! processor time of the instance per relayed token.

use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::Method;
use iristhread_api::CompletionRequest;
use iristhread_api::DONE_MARK;
use iristhread_api::GenerateRequest;
use iristhread_api::HttpClient;
use iristhread_bench::ProcessCost;
use iristhread_testbed::CALLER_KEY;
use iristhread_testbed::QUOTE_MODEL;
use iristhread_testbed::Scene;
use serde::Serialize;

/// Tokens of each stream.
const TOKENS: u32 = 100;

/// Time of one step of the engines: 20 tokens a second per stream.
const STEP_MS: &str = "50";

/// Longest time that is recorded.
const MAX_MICROS: u64 = 60_000_000;

const ENGINES: usize = 4;
const ROUNDS: usize = 3;
const MAX_ANSWER_BYTES: usize = 1 << 20;

type Failure = Box<dyn std::error::Error>;

/// Microseconds.
struct Times {
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self, Failure> {
        Ok(Times {
            first: Histogram::new_with_bounds(1, MAX_MICROS, 3)?,
            between: Histogram::new_with_bounds(1, MAX_MICROS, 3)?,
        })
    }

    fn add(&mut self, moments: &[Duration]) {
        if let Some(first) = moments.first() {
            self.first.saturating_record(first.as_micros() as u64);
        }
        for pair in moments.windows(2) {
            let gap = pair[1].saturating_sub(pair[0]);
            self.between.saturating_record(gap.as_micros() as u64);
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let flags = [
        "--step-ms",
        STEP_MS,
        "--max-batch",
        "2000",
        "--memory-tokens",
        "100000000",
    ];
    let builder = Scene::builder(1)
        .engines_per_zone(ENGINES)
        .engine_flags(&flags);
    let mut scene = builder.settings("traffic_threads = 2").start().await?;
    println!(
        "{ENGINES} engines, one token each {STEP_MS} ms, {TOKENS} tokens a stream, {ROUNDS} rounds in turn"
    );
    println!(
        "\n| streams | direct first p50/p99 ms | through first p50/p99 ms | ratio p50/p99 | direct gap p50/p99 ms | through gap p50/p99 ms | ratio p50/p99 | tokens/s per core | in the system % | KiB per stream |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for streams in [1, 100, 1_000] {
        measure(&mut scene, streams).await?;
    }
    Ok(())
}

async fn measure(scene: &mut Scene, streams: usize) -> Result<(), Failure> {
    let (mut direct, mut through) = (Times::new()?, Times::new()?);
    let pid = scene.process("a1").id();
    let mut cost = ProcessCost::default();
    let mut kib_per_stream = 0;
    for round in 0..ROUNDS {
        run(scene, streams, round, false, &mut direct).await?;
        let before = ProcessCost::of(pid);
        let sampled = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(3)).await;
            ProcessCost::of(pid).resident_kib
        });
        run(scene, streams, round, true, &mut through).await?;
        cost.add_since(before, ProcessCost::of(pid));
        kib_per_stream = sampled.await?.saturating_sub(before.resident_kib) / streams as u64;
    }
    let tokens = (streams * ROUNDS) as f64 * f64::from(TOKENS);
    let per_core = tokens / cost.cpu().as_secs_f64().max(0.01);
    let in_system = cost.system.as_secs_f64() * 100.0 / cost.cpu().as_secs_f64().max(0.01);
    println!(
        "| {streams} | {} | {} | {} | {} | {} | {} | {per_core:.0} | {in_system:.0} | {kib_per_stream} |",
        pair(&direct.first),
        pair(&through.first),
        ratios(&through.first, &direct.first),
        pair(&direct.between),
        pair(&through.between),
        ratios(&through.between, &direct.between),
    );
    Ok(())
}

async fn run(
    scene: &Scene,
    streams: usize,
    round: usize,
    through: bool,
    times: &mut Times,
) -> Result<(), Failure> {
    let client = HttpClient::pooled(MAX_ANSWER_BYTES);
    let one = |number: usize| {
        let prompt = format!("bench {round} {number} {through} [tokens={TOKENS}]");
        let engine = scene.standin_address(&format!("engine-a{}", number % ENGINES + 1));
        let url = scene.caller_url("a1");
        let client = client.clone();
        async move {
            // Arrivals spread over a step, as they are in use.
            tokio::time::sleep(Duration::from_micros((number * 50) as u64)).await;
            if through {
                stream(
                    &client,
                    &format!("{url}/v1/completions"),
                    &completion(prompt),
                )
                .await
            } else {
                stream(
                    &client,
                    &format!("http://{engine}/generate"),
                    &generate(prompt, number),
                )
                .await
            }
        }
    };
    for moments in join_all((0..streams).map(one)).await {
        let moments = moments?;
        if moments.len() != TOKENS as usize {
            return Err(format!("a stream had {} tokens", moments.len()).into());
        }
        times.add(&moments);
    }
    Ok(())
}

async fn stream<Body: Serialize>(
    client: &HttpClient,
    uri: &str,
    body: &Body,
) -> Result<Vec<Duration>, Failure> {
    let request = HttpClient::request(Method::POST, uri, Some(CALLER_KEY), Some(body))?;
    let start = Instant::now();
    let (_, mut events) = client.events(request).await?;
    let mut moments = Vec::new();
    while let Some(event) = events.next().await {
        let data = event?.data;
        let is_last = data == DONE_MARK || data.contains("\"end\"") || data.contains("\"stop\"");
        if !is_last {
            moments.push(start.elapsed());
        }
    }
    Ok(moments)
}

fn completion(prompt: String) -> CompletionRequest {
    CompletionRequest {
        model: QUOTE_MODEL.to_owned(),
        prompt,
        stream: true,
        ..CompletionRequest::default()
    }
}

fn generate(prompt: String, number: usize) -> GenerateRequest {
    GenerateRequest {
        generation: format!("{prompt}{number}").replace([' ', '[', ']', '='], "-"),
        attempt: 1,
        model: QUOTE_MODEL.to_owned(),
        prompt,
        max_tokens: TOKENS,
        reader: "bench".to_owned(),
        ..GenerateRequest::default()
    }
}

fn pair(times: &Histogram<u64>) -> String {
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
    format!("{:.1} / {:.1}", ms(0.5), ms(0.99))
}

fn ratios(through: &Histogram<u64>, direct: &Histogram<u64>) -> String {
    let ratio = |quantile| {
        through.value_at_quantile(quantile) as f64
            / direct.value_at_quantile(quantile).max(1) as f64
    };
    format!("{:.2} / {:.2}", ratio(0.5), ratio(0.99))
}
