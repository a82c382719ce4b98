//! Case 1: an answer without a length that is reset between a carrying peer and its server.
#[path = "../common/stage.rs"]
mod stage;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use stage::*;

const ZONES: [&str; 3] = ["caxias-norte", "bento-sala", "farroupilha-galpao"];
const PORT: u16 = 8080;
/// Requests of each kind in each part.
const CALLS: usize = 3;
const EVENTS: usize = 10;

/// What the servers saw.
#[derive(Clone, Default)]
struct Seen(Arc<Mutex<HashMap<String, Vec<Run>>>>);

#[derive(Clone)]
struct Run {
    server: String,
    is_half_sent: bool,
}

impl Seen {
    fn runs(&self, id: &str) -> Vec<Run> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}

/// The whole body that a server gives to a call, and the events of its stream.
fn body_of(id: &str) -> String {
    let mut body = format!("answer to {id}: ");
    while body.len() < 790 {
        body.push_str("0123456789");
    }
    body.truncate(790);
    body + " whole.\n"
}

fn event_of(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: piece {number} of {id}\n\n")
}

fn stream_of(id: &str) -> String {
    (1..=EVENTS).map(|number| event_of(id, number)).collect()
}

/// A server whose answers have neither a length nor chunks: they end with their connection.
fn serve(at: SocketAddr, id: &'static str, seen: Seen, record: Record) {
    let listener = TcpListener::bind(at).expect("a server listens");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, record) = (seen.clone(), record.clone());
            std::thread::spawn(move || answer(stream, id, &seen, &record));
        }
    });
}

fn answer(mut stream: TcpStream, server: &str, seen: &Seen, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(Some((head, _, _))) = read_request(&mut stream, Vec::new()) else {
        return;
    };
    let path = head.words().get(1).copied().unwrap_or("/").to_owned();
    if path == "/health" || path == "/report" {
        let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":2,\"waiting\":0,\
                    \"running\":0,\"kvUsed\":0,\"kvTotal\":34322,\"handles\":0}";
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nInstance-Id: {server}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        return;
    }
    let id = head.get("request-id").unwrap_or("").to_owned();
    if head.get("expect-instance") != Some(server) {
        let _ = write!(stream, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {server}\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let index = {
        let mut seen = seen.0.lock().unwrap();
        let runs = seen.entry(id.clone()).or_default();
        runs.push(Run {
            server: server.to_owned(),
            is_half_sent: false,
        });
        runs.len() - 1
    };
    record.line(format!("server {server} runs {id} ({path})"));
    let is_stream = path.starts_with("/lohu930/");
    let kind = if is_stream { "text/event-stream" } else { "text/plain" };
    let top = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.{server}\r\n\
         Content-Type: {kind}\r\nConnection: close\r\n\r\n"
    );
    let half_sent = || {
        if let Some(run) = seen.0.lock().unwrap().get_mut(&id).and_then(|runs| runs.get_mut(index)) {
            run.is_half_sent = true;
        }
    };
    let mut sent = stream.write_all(top.as_bytes());
    if is_stream {
        for number in 1..=EVENTS {
            sent = sent.and_then(|()| stream.write_all(event_of(&id, number).as_bytes()));
            if number == EVENTS / 2 {
                half_sent();
            }
            std::thread::sleep(Duration::from_millis(60));
        }
    } else {
        let body = body_of(&id);
        sent = sent.and_then(|()| stream.write_all(&body.as_bytes()[..400]));
        half_sent();
        std::thread::sleep(Duration::from_millis(150));
        sent = sent.and_then(|()| stream.write_all(&body.as_bytes()[400..]));
    }
    record.line(match sent {
        Ok(()) => format!("server {server} has sent its whole answer to {id}"),
        Err(error) => format!("server {server} could not send its whole answer to {id}: {error}"),
    });
}

struct Case {
    record: Record,
    seen: Seen,
    front: SocketAddr,
    /// By machine, the paths to all servers.
    paths: Vec<Vec<Path>>,
    asked: usize,
    broken: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Unsafe,
    Safe,
    Stream,
}

impl Case {
    /// Sends a request to the first machine; `strike` happens when half of the answer is on its
    /// way. Returns whether the client got a whole answer.
    fn ask(&mut self, part: &str, kind: Kind, strike: &mut dyn FnMut(&str, &Case)) -> bool {
        self.asked += 1;
        let id = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + self.asked as u64);
        let (method, path, deadline_ms, more, name) = match kind {
            Kind::Unsafe => ("POST", "/pule252/2f", 1500, "", "unsafe"),
            Kind::Safe => ("GET", "/puxa403/2f", 1500, "", "safe"),
            Kind::Stream => ("POST", "/lohu930/2f", 6000,
                "Model: m\r\nToken-Usage: 1460,40\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n", "streaming"),
        };
        let body: &[u8] = if kind == Kind::Safe { b"" } else { b"a request body" };
        let request = Ask { method, path, id: &id, deadline_ms, more, body }.bytes();
        self.record.line(format!("{part}: client sends {id} ({name}) to front 1"));
        let front = self.front;
        let asking = std::thread::spawn(move || call(front, &request, Duration::from_secs(8)));
        let half = eventually(3, || self.seen.runs(&id).first().is_some_and(|run| run.is_half_sent) || asking.is_finished());
        if half && !asking.is_finished() {
            std::thread::sleep(Duration::from_millis(50));
            strike(&id, self);
        }
        let answer = asking.join().expect("the client ends");
        let runs: Vec<String> = self.seen.runs(&id).iter().map(|run| run.server.clone()).collect();
        let whole = if kind == Kind::Stream { stream_of(&id) } else { body_of(&id) };
        let is_success = (200..300).contains(&answer.status) && answer.ending == Ending::Whole;
        let is_whole = answer.text() == whole;
        self.record.line(format!(
            "{part}: client gets {} for {id}: status {}, {:?}, {} of {} bytes, run by {runs:?}",
            name, answer.status, answer.ending, answer.body.len(), whole.len()
        ));
        if is_success && !is_whole {
            self.broken += 1;
            self.record.line(format!(
                "BROKEN (MIXED): {id} ends as a complete success, and its body isn't the server's whole body; its last bytes: {:?}",
                answer.text().chars().rev().take(30).collect::<String>().chars().rev().collect::<String>()
            ));
        }
        is_success && is_whole
    }

    fn part(&mut self, part: &str, strike: &mut dyn FnMut(&str, &Case)) -> usize {
        let mut whole = 0;
        for kind in [Kind::Unsafe, Kind::Safe, Kind::Stream] {
            for _ in 0..CALLS {
                whole += usize::from(self.ask(part, kind, strike));
            }
        }
        self.record.line(format!("{part}: {whole} of {} requests got a whole answer", 3 * CALLS));
        whole
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let trouble = with_trouble();
    let record = Record::create("review/1");
    let folder = Folder::create();
    let net = Net::new();
    let seen = Seen::default();
    let servers: [(&str, &str, usize, u8); 5] = [
        ("i-7f3a91c2", SERVICE, 0, 11),
        ("i-02d9e6b4", SERVICE, 1, 12),
        ("i-5be1c0d7", SERVICE, 2, 13),
        ("i-91ab44f0", ENGINES, 0, 14),
        ("i-c3d05a18", ENGINES, 1, 15),
    ];
    for (id, _, _, host) in servers {
        serve(net.at(host, PORT), id, seen.clone(), record.clone());
    }
    let store = Store::default();
    let mut paths = Vec::new();
    for machine in 0..4_u8 {
        let mut own = Vec::new();
        for (index, (_, _, _, host)) in servers.iter().enumerate() {
            let at = net.at(40 + machine * 20 + index as u8, PORT);
            match Path::start(at, net.at(*host, PORT)) {
                Ok(path) => own.push(path),
                Err(error) => {
                    record.line(format!("a path can't listen at {at}: {error}"));
                    return COULD_NOT_RUN;
                }
            }
        }
        paths.push(own);
    }
    let routes = [
        route("r-px5pa2y", "/lohu930/", "streaming", ENGINES, 39000, 1800, 1),
        route("r-unsafe", "/pule252/", "unsafe", SERVICE, 1500, 150, 1),
        route("r-safe", "/puxa403/", "safe", SERVICE, 1500, 150, 2),
    ];
    let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
    store.put("op/config", vec![configuration(7, &routes)]);
    for (index, (id, service, zone, _)) in servers.iter().enumerate() {
        let slots = if *service == ENGINES { 24 } else { 6 };
        let by_view = (0..4).map(|m| entry(service, paths[m][index].address, ZONES[*zone], slots, "ready"));
        store.put(&format!("servers/{id}"), by_view.collect());
    }
    let mut gateways = Vec::new();
    for number in 0..4_u8 {
        let at = net.at(200 + number, 8742);
        if let Err(error) = store.serve(at, number as usize) {
            record.line(format!("the store can't listen at {at}: {error}"));
            return COULD_NOT_RUN;
        }
        let machine = Machine {
            name: format!("front-{}-{}", ZONES[number as usize % 3], 1 + number / 3),
            zone: ZONES[number as usize % 3].to_owned(),
            host: number + 1,
            store: at,
            detours: DETOUR,
        };
        // The first three start alone, so that each reads the addresses of its own paths; the fourth
        // machine makes them known to each other.
        let seeds: &[u8] = if number == 3 { &[1, 2, 3] } else { &[] };
        match Gateway::start(&net, &folder.0, &machine, seeds) {
            Ok(gateway) => gateways.push(gateway),
            Err(error) => {
                record.line(format!("a gateway can't be started: {error}"));
                return COULD_NOT_RUN;
            }
        }
        if !eventually(15, || gateways.iter().all(Gateway::is_ready)) {
            record.line("the gateways don't become ready");
            return COULD_NOT_RUN;
        }
    }
    std::thread::sleep(Duration::from_millis(2500));
    let mut case = Case {
        record: record.clone(),
        seen,
        front: gateways[0].callers,
        paths,
        asked: 0,
        broken: 0,
    };
    let undisturbed = case.part("undisturbed", &mut |_, _| {});
    if undisturbed < 3 * CALLS {
        record.line("undisturbed requests were not all served");
        return COULD_NOT_RUN;
    }
    if trouble {
        if !cut_off(&mut case, &record) {
            return COULD_NOT_RUN;
        }
    }
    case.part("reset on the way", &mut |id, case| {
        if trouble {
            let count: usize = case.paths[1..].iter().flatten().map(Path::reset_open).sum();
            case.record.line(format!("connections of fronts 2 to 4 to servers are reset under {id}: {count}"));
        }
    });
    peer_killed(&mut case, trouble, &mut gateways);
    if trouble {
        case.paths[0].iter().for_each(Path::restore);
    }
    gateways.retain_mut(|gateway| !gateway.was_killed);
    for gateway in &mut gateways {
        if let Some(status) = gateway.has_ended() {
            record.line(format!("{} has ended by itself: {status}", gateway.name));
        }
    }
    record.line(format!("{} requests, {} truncated answers that ended as complete successes", case.asked, case.broken));
    if case.broken > 0 { BROKEN } else { HELD }
}

/// Number of connections that a machine has opened for peers, by its log.
fn carried(gateway: &Gateway) -> usize {
    gateway.log_text().matches("\"reply\":\"connected\"").count()
}

/// A call and a stream, each under a SIGKILL of the machine that carries it.
fn peer_killed(case: &mut Case, trouble: bool, gateways: &mut [Gateway]) {
    let before = case.broken;
    for kind in [Kind::Unsafe, Kind::Stream] {
        let counts: Vec<usize> = gateways.iter().map(carried).collect();
        case.ask("peer killed", kind, &mut |id, case| {
            let carrier = (1..4).find(|number| carried(&gateways[*number]) > counts[*number]);
            if let Some(number) = carrier.filter(|_| trouble) {
                gateways[number].kill();
                gateways[number].was_killed = true;
                case.record.line(format!("{}, which carries {id}, gets SIGKILL", gateways[number].name));
            }
        });
        std::thread::sleep(Duration::from_millis(500));
    }
    case.record.line(format!("peer killed: {} of 2 truncated answers ended as complete successes", case.broken - before));
}

/// Cuts the first machine off from all servers; its requests then go through a peer.
fn cut_off(case: &mut Case, record: &Record) -> bool {
    case.paths[0].iter().for_each(Path::cut);
    record.line("front 1 is cut off from all servers: new connections are refused, open ones reset");
    let mut served = 0;
    let known = eventually(10, || {
        let id = format!("{:016x}", 0x7777_0000_0000_0000_u64 + served as u64);
        served += 1;
        let unsafe_ = Ask { method: "POST", path: "/pule252/2f", id: &id, deadline_ms: 1500, more: "", body: b"x" };
        let id2 = format!("{:016x}", 0x7778_0000_0000_0000_u64 + served as u64);
        let stream = Ask { method: "POST", path: "/lohu930/2f", id: &id2, deadline_ms: 6000,
            more: "Model: m\r\nToken-Usage: 1460,40\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n", body: b"x" };
        call(case.front, &unsafe_.bytes(), Duration::from_secs(3)).status == 200
            && call(case.front, &stream.bytes(), Duration::from_secs(7)).status == 200
    });
    if known {
        record.line("front 1 serves its clients through a peer");
    } else {
        record.line("front 1 doesn't serve its clients while it is cut off");
    }
    known
}
