//! Case 3: the second try of a request goes to a server that began to leave after the first one.
#[path = "../common/stage.rs"]
mod stage;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use stage::*;

const ZONES: [&str; 3] = ["bang-na", "lat-krabang", "chatuchak"];
const PORT: u16 = 8080;
const ROUNDS: usize = 4;
const EVENTS: usize = 10;
/// `drainMs` of the small deployments.
const DRAIN: Duration = Duration::from_millis(2000);
/// How much longer than `drainMs` a leaving engine serves ("a little longer").
const A_LITTLE: Duration = Duration::from_millis(900);
/// An engine reads a prompt for so long before its first token.
const READING: Duration = Duration::from_millis(400);

/// An engine: one thread for each connection.
#[derive(Clone)]
struct Engine {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    is_up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// The requests that it got, and when.
    seen: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Whether it gives no answer, as a grey server does to a part of its requests.
    is_mute: Arc<AtomicBool>,
    record: Record,
}

impl Engine {
    fn start(id: &str, address: SocketAddr, zone: &'static str, record: &Record) -> Engine {
        let engine = Engine {
            id: id.to_owned(),
            address,
            zone,
            is_up: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
            seen: Arc::default(),
            is_mute: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(address).expect("an engine listens");
        listener.set_nonblocking(true).expect("an engine listens");
        let serving = engine.clone();
        std::thread::spawn(move || {
            while serving.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(kept) = stream.try_clone() {
                            serving.open.lock().unwrap().push(kept);
                        }
                        let engine = serving.clone();
                        std::thread::spawn(move || engine.answer(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        engine
    }

    fn answer(&self, mut stream: TcpStream) {
        let Ok(Some((head, _, _))) = read_request(&mut stream, Vec::new()) else {
            return;
        };
        if head.words().get(1).copied() == Some("/report") || head.words().get(1).copied() == Some("/health") {
            let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":2,\"waiting\":0,\
                        \"running\":0,\"kvUsed\":0,\"kvTotal\":34287,\"handles\":0}";
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: {}\r\n\r\n{body}", self.id, body.len());
            return;
        }
        if head.get("expect-instance") != Some(self.id.as_str()) {
            let _ = write!(stream, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return;
        }
        let request = head.get("request-id").unwrap_or("").to_owned();
        self.seen.lock().unwrap().push((request.clone(), Instant::now()));
        self.record.line(format!("engine {} gets {request}", self.id));
        if self.is_mute.load(Ordering::SeqCst) {
            // It holds the request and never answers; the caller closes at last.
            let mut byte = [0; 1];
            let _ = std::io::Read::read(&mut stream, &mut byte);
            return;
        }
        std::thread::sleep(READING);
        let top = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: 3e1b.07.{}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
            self.id
        );
        let mut sent = stream.write_all(top.as_bytes());
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {request}\n\n");
            sent = sent.and_then(|()| write!(stream, "{:x}\r\n{event}\r\n", event.len()));
            std::thread::sleep(Duration::from_millis(20));
        }
        sent = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
        self.record.line(match sent {
            Ok(()) => format!("engine {} has answered {request}", self.id),
            Err(error) => format!("engine {} could not answer {request}: {error}", self.id),
        });
    }

    /// Ends the engine: nothing listens any more, and its connections end.
    fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(10));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(format!("engine {} has ended", self.id));
    }

    /// Begins to leave, by its entry.
    fn leave(&self, store: &Store) {
        if self.leaves_unsaid() {
            store.remove(&format!("servers/{}", self.id));
            self.record.line(format!("the entry of engine {} is gone: acked by the store", self.id));
        } else {
            self.list(store, "draining");
        }
    }

    fn got(&self, request: &str) -> Option<Instant> {
        let seen = self.seen.lock().unwrap();
        seen.iter().find(|(id, _)| id == request).map(|(_, at)| *at)
    }

    /// Whether its entry states its start, and goes when it leaves. The others' entries state none,
    /// and say `draining`.
    fn leaves_unsaid(&self) -> bool {
        self.id.ends_with(['1', '3', '5'])
    }

    fn list(&self, store: &Store, state: &str) {
        let mut entry = entry(ENGINES, self.address, self.zone, 24, state);
        if self.leaves_unsaid() {
            entry = entry.replace("\"sequence\"", "\"born\":1780000000000,\"sequence\"");
        }
        store.put(&format!("servers/{}", self.id), vec![entry]);
        self.record.line(format!("engine {} is {state}: acked by the store", self.id));
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let trouble = with_trouble();
    let record = Record::create("review/3");
    let folder = Folder::create();
    let net = Net::new();
    let store = Store::default();
    // As `cloud-label`: a stream that may be resumed, with two attempts.
    let label = route("r-label", "/kago761/", "streaming", ENGINES, 6000, 1500, 2);
    let label = label.replace("\"resumeStreams\":false", "\"resumeStreams\":true");
    store.put("op/config", vec![configuration(7, &[&label])]);
    let mut engines: Vec<Engine> = Vec::new();
    for number in 0..2 {
        let engine = Engine::start(&format!("i-7f3a91c{number}"), net.at(11 + number, PORT), ZONES[number as usize], &record);
        engine.list(&store, "ready");
        engines.push(engine);
    }
    let store_at = net.at(200, 8742);
    if let Err(error) = store.serve(store_at, 0) {
        record.line(format!("the store can't listen at {store_at}: {error}"));
        return COULD_NOT_RUN;
    }
    let mut gateways = Vec::new();
    for number in 0..3_u8 {
        let machine = Machine {
            name: format!("front-{}-1", ZONES[number as usize]),
            zone: ZONES[number as usize].to_owned(),
            host: number + 1,
            store: store_at,
            detours: DETOUR,
        };
        match Gateway::start(&net, &folder.0, &machine, &[1, 2, 3]) {
            Ok(gateway) => gateways.push(gateway),
            Err(error) => {
                record.line(format!("a gateway can't be started: {error}"));
                return COULD_NOT_RUN;
            }
        }
    }
    if !eventually(15, || gateways.iter().all(Gateway::is_ready)) {
        record.line("the gateways don't become ready");
        return COULD_NOT_RUN;
    }
    // Everything has to be in touch: `contactMs` is 3 s.
    std::thread::sleep(Duration::from_millis(3500));
    let (mut late, mut lost, mut served) = (0, 0, 0);
    for round in 0..ROUNDS {
        let id = format!("{:016x}", 0x5618_0000_0000_0000_u64 + round as u64);
        let front = gateways[round % 3].callers;
        record.line(format!("round {round}: client sends {id} (streaming, may be resumed, two attempts) to front {}", 1 + round % 3));
        engines.iter().for_each(|engine| engine.is_mute.store(trouble, Ordering::SeqCst));
        let request = Ask {
            method: "POST",
            path: "/kago761/hu8/",
            id: &id,
            deadline_ms: 6000,
            more: "Model: m\r\nToken-Usage: 2550,12\r\nPrompt-Prefix: 5c1e07a2:350,91bd3f06:2200\r\n",
            body: b"a tile",
        }
        .bytes();
        let asking = std::thread::spawn(move || call(front, &request, Duration::from_secs(8)));
        if !eventually(3, || engines.iter().any(|engine| engine.got(&id).is_some())) {
            record.line("no engine got the request");
            return COULD_NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(50));
        // Only that one request meets a mute engine.
        engines.iter().for_each(|engine| engine.is_mute.store(false, Ordering::SeqCst));
        let first = engines.iter().position(|engine| engine.got(&id).is_some()).unwrap_or(0);
        // The other engine is replaced: the new one starts first, then the old one leaves.
        let old = engines.remove(1 - first);
        let number = 2 + round as u8;
        let new = Engine::start(&format!("i-7f3a91c{number}"), net.at(11 + number, PORT), old.zone, &record);
        new.list(&store, "ready");
        std::thread::sleep(Duration::from_millis(300));
        old.leave(&store);
        let acked = Instant::now();
        let leaving = old.clone();
        let gone = store.clone();
        let end = std::thread::spawn(move || {
            std::thread::sleep(DRAIN + A_LITTLE);
            leaving.end();
            if !leaving.leaves_unsaid() {
                gone.remove(&format!("servers/{}", leaving.id));
            }
        });
        let answer = asking.join().expect("the client ends");
        let _ = end.join();
        let whole = (1..=EVENTS).all(|number| answer.text().contains(&format!("piece {number} of {id}\n")));
        let is_served = answer.status == 200 && answer.ending == Ending::Whole && whole;
        record.line(format!("round {round}: client gets status {}, {:?}, {} bytes for {id}", answer.status, answer.ending, answer.body.len()));
        if let Some(at) = old.got(&id).filter(|at| *at > acked + DRAIN) {
            late += 1;
            record.line(format!(
                "BROKEN (DRAIN): {id} reached {} {} ms after the store acked that it leaves (bound {} ms); {} was ready all the while",
                old.id, (at - acked).as_millis(), DRAIN.as_millis(), new.id
            ));
            lost += usize::from(!is_served);
        }
        served += usize::from(is_served);
        engines.push(new);
        std::thread::sleep(Duration::from_millis(1500));
    }
    for gateway in &mut gateways {
        if let Some(status) = gateway.has_ended() {
            record.line(format!("{} has ended by itself: {status}", gateway.name));
        }
    }
    record.line(format!("{ROUNDS} requests: {late} reached a leaving engine too late, {lost} of these were lost; {served} were served"));
    if late > 0 { BROKEN } else { HELD }
}
