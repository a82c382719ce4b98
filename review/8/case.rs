//! Case 8: callers whose bodies are as large as the configuration allows.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::*;

const TERMS: EngineTerms = EngineTerms {
    first_ms: 150,
    step_ms: 28,
    events: 234,
    event_bytes: 300,
    first_copy_ms: 200,
    next_copy_ms: 20,
    is_unframed: false,
};
/// `memory_mb` of the machines of the site.
const MEMORY_MB: u64 = 110;
/// Clients of the zone that has one machine.
const CLIENTS: usize = 28;
/// `maxBodyBytes` of the configuration, and the largest body that the site's own clients send.
const LARGE: usize = 4_194_304;
const USUAL: usize = 17_000;
const WAVES: usize = 3;

fn resident_mb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    let kb: Option<u64> = line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok());
    kb.unwrap_or(0) / 1_024
}

fn main() {
    open_record();
    guard_time();
    let trouble = has_trouble();
    let body: &'static [u8] = vec![b'x'; if trouble { LARGE } else { USUAL }].leak();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let zones = ["bang-na", "chatuchak"];
    let _engines: Vec<_> = (0..8)
        .map(|n| Engine::start(&format!("e{n}"), zones[n % 2], "engines", &store, TERMS))
        .collect();
    let hosts = gateway_hosts(2);
    let gateways: Vec<_> = (0..2)
        .map(|n| start_gateway(&format!("front-{n}"), zones[n], &zones, hosts[n], &hosts, &store))
        .map(|gateway| Arc::new(Mutex::new(gateway)))
        .collect();
    let ends: Vec<Arc<AtomicU64>> = (0..2).map(|_| Arc::default()).collect();
    gateways.iter().for_each(|gateway| gateway.lock().unwrap().await_ready());
    pause(1_500);
    for (gateway, ends) in gateways.iter().cloned().zip(ends.iter().cloned()) {
        thread::spawn(move || limit_memory(&gateway, &ends));
    }
    let (mut whole, mut cut) = (0, 0);
    for wave in 0..WAVES {
        gateways.iter().for_each(|gateway| {
            let gateway = gateway.lock().unwrap().clone();
            gateway.await_ready();
        });
        pause(1_000);
        note(&format!("wave {wave}: {CLIENTS} requests at each machine, each with {} bytes", body.len()));
        let clients: Vec<_> = (0..CLIENTS * 2)
            .map(|n| {
                pause(50);
                let address = gateways[n % 2].lock().unwrap().callers;
                thread::spawn(move || client(format!("w{wave}-{n:02}"), address, body))
            })
            .collect();
        for client in clients {
            match client.join().expect("client") {
                true => whole += 1,
                false => cut += 1,
            }
        }
    }
    let ended: Vec<u64> = ends.iter().map(|ends| ends.load(Ordering::SeqCst)).collect();
    note(&format!("{whole} streams complete, {cut} not; the processes ended by their memory: {ended:?} times"));
    if !trouble && cut > 0 {
        finish(2);
    }
    finish(if ended.iter().all(|ended| *ended >= 3) { 1 } else { 0 });
}

/// Ends the process of a machine when it goes over its memory, and starts it again, as the platform.
fn limit_memory(gateway: &Mutex<Gateway>, ends: &AtomicU64) {
    let mut peak = 0;
    let mut told = Instant::now();
    loop {
        pause(20);
        let now = gateway.lock().unwrap().clone();
        let used = resident_mb(now.pid);
        peak = peak.max(used);
        if told.elapsed() >= Duration::from_secs(2) {
            told = Instant::now();
            note(&format!("{} holds {used} MB, {peak} MB at most", now.name));
        }
        if used > MEMORY_MB {
            note(&format!("{} holds {used} MB, over its {MEMORY_MB} MB: it is killed", now.name));
            ends.fetch_add(1, Ordering::SeqCst);
            peak = 0;
            let mut gateway = gateway.lock().unwrap();
            *gateway = now.restart(1_000);
        }
    }
}

fn client(request: String, address: SocketAddr, body: &[u8]) -> bool {
    let ask = Ask {
        method: "POST",
        path: "/report/x",
        request,
        deadline_ms: 39_000,
        tokens: (1_900, 940),
        body,
    };
    let Ok(mut stream) = TcpStream::connect(address) else {
        note(&format!("{} found nobody", ask.request));
        return false;
    };
    if let Err(error) = stream.write_all(&request_text(&ask)) {
        note(&format!("{} could not be sent: {error}", ask.request));
        return false;
    }
    let got = read_stream(stream, 16_384, 0, &AtomicBool::new(false));
    if !got.is_complete {
        note(&format!("{} status {} ended after {} events: {}", ask.request, got.status, got.events.len(), got.error));
    }
    got.is_complete
}

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"report","hostname":"shop.example","pathPrefix":"/report/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"engines","maxAttempts":1,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":false,"gap_aim_ms":180}],
"services":[{"name":"engines","healthPath":"/health","maxConnections":242,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacityTokens":34287,"kvTokenBytes":327680,"linkMbps":47000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"serra","apiKeys":["k1"],"priority":1}]}"#;
