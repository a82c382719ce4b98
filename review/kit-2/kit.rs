//! Stand-ins for the cases 4 to 8: the platform's store, engines, plain services and clients, and
//! the start and end of the project's gateways. Standard library only; built by `build-2.sh`.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn pause(time_ms: u64) {
    thread::sleep(ms(time_ms));
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

static BEGAN: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);

/// Milliseconds since the start of the case.
pub fn at() -> u64 {
    BEGAN.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Opens `record.txt` in the folder that the first argument names.
pub fn open_record() {
    at();
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
    *RECORD.lock().unwrap() = Some(file);
}

pub fn note(text: &str) {
    let line = format!("{:>6} {text}\n", at());
    print!("{line}");
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; bytes after it stay in `rest`.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<Message> {
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head: Vec<u8> = rest.drain(..end + 4).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let body = Vec::new();
            return Ok(Message {
                first,
                headers,
                body,
            });
        }
        more(stream, rest)?;
    }
}

fn more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<()> {
    let mut buffer = [0; 16 << 10];
    match stream.read(&mut buffer)? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        count => {
            rest.extend_from_slice(&buffer[..count]);
            Ok(())
        }
    }
}

/// Reads a request with its body.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<Message> {
    let mut message = read_head(stream, rest)?;
    let length = message.header("content-length").and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or(0);
    while rest.len() < length {
        more(stream, rest)?;
    }
    message.body = rest.drain(..length).collect();
    Ok(message)
}

/// An answer of one's own making, with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

// ---------------------------------------------------------------- addresses

static NEXT_HOST: AtomicU64 = AtomicU64::new(1);
static NET: OnceLock<(u8, u8)> = OnceLock::new();

/// A host of its own in a part of 127.0.0.0/8 that this process picks.
pub fn new_host() -> IpAddr {
    let (a, b) = *NET.get_or_init(|| {
        let seed = std::process::id();
        for step in 0..200_u32 {
            let pick = seed.wrapping_mul(2_654_435_761).wrapping_add(step * 7_919);
            let net = (100 + (pick >> 8 & 0x7f) as u8, (pick >> 16 & 0xff) as u8);
            let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 1));
            if [8740, 8748, 8749, 7200].iter().all(|p| TcpListener::bind((ip, *p)).is_ok()) {
                return net;
            }
        }
        panic!("no free addresses");
    });
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed) as u8;
    IpAddr::V4(Ipv4Addr::new(127, a, b, host))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    changes: Vec<(String, Option<String>, u64)>,
}

/// The platform's store: ranges and watches.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind((new_host(), 8742)).expect("store");
        let store = Store {
            state: Arc::default(),
            address: listener.local_addr().unwrap(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|value| base64(value.as_bytes()));
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (value.clone(), revision)),
            None => state.items.remove(key),
        };
        state.changes.push((key.to_owned(), value, revision));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(request) = read_request(&mut stream, &mut rest) {
            pause(4);
            let (path, query) = request.path().split_once('?').unwrap_or(("", ""));
            let query: HashMap<&str, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name, value.replace("%2F", "/")))
                .collect();
            let body = match path {
                "/kv-range" => self.range(&query),
                "/kv-watch" => self.watch(&query),
                _ => None,
            };
            let kind = "Content-Type: application/json\r\n";
            let answered = match body {
                Some(body) => answer("200 OK", kind, &body),
                None => answer("404 Not Found", kind, ""),
            };
            if stream.write_all(&answered).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &HashMap<&str, String>) -> Option<String> {
        let prefix = query.get("pathPrefix")?;
        let after = query.get("after").cloned().unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix.as_str()) && **key > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| item(key, Some(value), *revision))
            .collect();
        let at = state.revision;
        Some(format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", items.join(",")))
    }

    fn watch(&self, query: &HashMap<&str, String>) -> Option<String> {
        let prefix = query.get("pathPrefix")?;
        let after: u64 = query.get("after")?.parse().ok()?;
        let until = Instant::now() + ms(query.get("waitMs")?.parse().ok()?);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|(key, _, at)| key.starts_with(prefix.as_str()) && *at > after);
            let events: Vec<String> = changes
                .map(|(key, value, at)| item(key, value.as_ref(), *at))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision.max(after);
                return Some(format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: Option<&String>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |n, byte| n << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= three.len() { sign } else { '=' });
        }
    }
    text
}

/// The entry of a server.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    born_ms: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{}}}",
        1_790_000_000_000 + born_ms
    )
}

// ---------------------------------------------------------------- gateways

/// The gateways of a case, ended when it ends.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Signals that cases send.
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Lets a child end with this process, however that ends.
fn ends_with_this(command: &mut Command) -> &mut Command {
    const SET_SIGNAL_OF_PARENTS_END: i32 = 1;
    const SIGKILL: usize = 9;
    unsafe {
        command.pre_exec(|| {
            prctl(SET_SIGNAL_OF_PARENTS_END, SIGKILL, 0, 0, 0);
            Ok(())
        })
    }
}

/// Ends all processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = TEMPORARY.get()
        && std::env::var_os("KEEP_LOGS").is_none()
    {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// Ends the case with 2 if it takes too long or panics.
pub fn guard_time() {
    std::panic::set_hook(Box::new(|panic| {
        note(&format!("the case could not run: {panic}"));
        finish(2);
    }));
    thread::spawn(|| {
        pause(115_000);
        note("the case took too long");
        finish(2);
    });
}

static TEMPORARY: OnceLock<PathBuf> = OnceLock::new();

fn temporary() -> &'static PathBuf {
    TEMPORARY.get_or_init(|| {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        folder
    })
}

#[derive(Clone, Debug)]
pub struct Gateway {
    pub name: String,
    pub pid: u32,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
}

/// Addresses for a gateway that is not started yet.
pub fn gateway_hosts(count: usize) -> Vec<IpAddr> {
    (0..count).map(|_| new_host()).collect()
}

/// Starts a gateway with the command of the deploy file and the settings of its template.
pub fn start_gateway(name: &str, zone: &str, zones: &[&str], ip: IpAddr, seeds: &[IpAddr], store: &Store) -> Gateway {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8748\"")).collect();
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}=bangkok\"")).collect();
    let text = format!(
        "instance = \"{name}\"\navailability_zone = \"{zone}\"\ncaller_address = \"{ip}:8740\"\n\
         operator_address = \"{ip}:8749\"\npeer_address = \"{ip}:8748\"\ndetour_address = \"{ip}:7200\"\n\
         metrics_address = \"{ip}:9464\"\ndirectory_address = \"{}\"\nprocessor_share = 0.25\n\
         seed_peers = [{}]\nzone_regions = [{}]\n\
         peer_keys = [\"6972697374687265616420706c6174666f726d20706565722073656372657421\"]\n\
         stop_grace_ms = 8000\nretry_ratio = 0.2\nretry_extra = 52\nlearn_speeds = true\nrank_reserve = true\n",
        store.address,
        seeds.join(","),
        zones.join(",")
    );
    let settings = temporary().join(format!("{name}.toml"));
    std::fs::write(&settings, text).expect("settings");
    spawn_gateway(name, ip, settings)
}

fn spawn_gateway(name: &str, ip: IpAddr, settings: PathBuf) -> Gateway {
    let log = File::options().append(true).create(true).open(temporary().join(format!("{name}.log")));
    let log = log.expect("log");
    let mut command = Command::new("target/release/iristhreadd-gateway");
    let child = ends_with_this(&mut command)
        .arg("--settings")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the gateway starts");
    let pid = child.id();
    CHILDREN.lock().unwrap().push(child);
    Gateway {
        name: name.to_owned(),
        pid,
        callers: SocketAddr::new(ip, 8740),
        operators: SocketAddr::new(ip, 8749),
        settings,
    }
}

impl Gateway {
    /// Kills the process and starts it again after `down_ms`.
    pub fn restart(&self, down_ms: u64) -> Gateway {
        self.kill();
        pause(down_ms);
        spawn_gateway(&self.name, self.callers.ip(), self.settings.clone())
    }

    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(child) = children.iter_mut().find(|child| child.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.retain(|child| child.id() != self.pid);
    }

    pub fn await_ready(&self) {
        for _ in 0..1_500 {
            if get(self.operators, "/ready") == Some(200) {
                return;
            }
            pause(10);
        }
        panic!("{} is not ready", self.name);
    }
}

fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ms(300)).ok()?;
    stream.set_read_timeout(Some(ms(500))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    Some(read_head(&mut stream, &mut Vec::new()).ok()?.status())
}

// ---------------------------------------------------------------- engines

/// What an engine does with the requests that it gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Runs them.
    Well,
    /// Takes them, and never answers.
    Hang,
}

/// One run of a request at an engine.
pub struct Run {
    pub engine: String,
    pub request: String,
    began: Instant,
    base: u64,
    total: u64,
    step: Duration,
    /// Number of events made when it was stopped.
    stopped: Mutex<Option<u64>>,
    connection: TcpStream,
}

impl Run {
    fn made(&self) -> u64 {
        if let Some(made) = *self.stopped.lock().unwrap() {
            return made;
        }
        let steps = self.began.elapsed().as_micros() / self.step.as_micros();
        (self.base + steps as u64).min(self.total)
    }

    /// Stops the run; its stream is closed without its end.
    fn stop(&self) -> u64 {
        let made = self.made();
        *self.stopped.lock().unwrap() = Some(made);
        let _ = self.connection.shutdown(Shutdown::Write);
        made
    }
}

/// An arrival of a request at an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub engine: String,
    pub request: String,
    pub continues: bool,
}

enum KvCopy {
    /// The last state that was copied.
    Made(u64),
    /// Grows along with a run.
    Grows(Arc<Run>),
}

pub struct EngineState {
    pub mode: Mode,
    runs: HashMap<String, Arc<Run>>,
    copies: HashMap<String, KvCopy>,
    moved: HashMap<String, u64>,
    /// Number of requests and orders that it took.
    pub taken: u64,
    /// Number of answers to orders to stop and copy a run that it still loses.
    pub answers_to_lose: u32,
    /// Runs whose order lost its answer.
    pub lost_answers: Vec<String>,
    /// Number of runs that began here with no copy of theirs elsewhere.
    pub without_copy: usize,
}

pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub state: Mutex<EngineState>,
    is_up: AtomicBool,
    /// Time of its start since that of the case.
    born_ms: u64,
    connections: Mutex<Vec<TcpStream>>,
    terms: EngineTerms,
}

/// How fast engines are, and how long the streams of the case.
#[derive(Clone, Copy, Debug)]
pub struct EngineTerms {
    pub first_ms: u64,
    pub step_ms: u64,
    pub events: u64,
    pub event_bytes: usize,
    pub first_copy_ms: u64,
    pub next_copy_ms: u64,
    /// Whether streams have neither a length nor chunks and end with their connections.
    pub is_unframed: bool,
}

static ENGINES: Mutex<Vec<Arc<Engine>>> = Mutex::new(Vec::new());
pub static ARRIVALS: Mutex<Vec<Arrival>> = Mutex::new(Vec::new());

fn engine_at(address: &str) -> Option<Arc<Engine>> {
    let engines = ENGINES.lock().unwrap();
    engines.iter().find(|engine| engine.address.to_string() == address).cloned()
}

impl Engine {
    pub fn start(id: &str, zone: &str, service: &str, store: &Store, terms: EngineTerms) -> Arc<Engine> {
        let address = SocketAddr::new(new_host(), 8743);
        Engine::start_at(address, id, zone, service, store, terms)
    }

    /// Starts another life of an engine that has ended, under its id and at its address.
    pub fn start_again(&self, service: &str, store: &Store) -> Arc<Engine> {
        ENGINES.lock().unwrap().retain(|engine| engine.address != self.address);
        Engine::start_at(self.address, &self.id, &self.zone, service, store, self.terms)
    }

    fn start_at(
        address: SocketAddr,
        id: &str,
        zone: &str,
        service: &str,
        store: &Store,
        terms: EngineTerms,
    ) -> Arc<Engine> {
        let listener = TcpListener::bind(address).expect("engine");
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Mutex::new(EngineState {
                mode: Mode::Well,
                runs: HashMap::new(),
                copies: HashMap::new(),
                moved: HashMap::new(),
                taken: 0,
                answers_to_lose: 0,
                lost_answers: Vec::new(),
                without_copy: 0,
            }),
            is_up: AtomicBool::new(true),
            born_ms: at(),
            connections: Mutex::default(),
            terms,
        });
        ENGINES.lock().unwrap().push(engine.clone());
        engine.list(service, store, "ready");
        let serving = engine.clone();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while serving.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let engine = serving.clone();
                        engine.connections.lock().unwrap().push(stream.try_clone().unwrap());
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => pause(1),
                }
            }
        });
        engine
    }

    pub fn list(&self, service: &str, store: &Store, state: &str) {
        let value = entry(service, self.address, &self.zone, 24, state, self.born_ms);
        store.put(&format!("servers/{}", self.id), &value);
    }

    /// Ends the engine: its listener is closed and its connections break.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        pause(5);
        let mut state = self.state.lock().unwrap();
        for run in state.runs.values() {
            run.stop();
        }
        state.runs.clear();
        drop(state);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Requests that run here.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.keys().cloned().collect()
    }

    fn serve(self: Arc<Engine>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(request) = read_request(&mut stream, &mut rest) {
            let answered = match request.path() {
                "/kv-move" => match self.copy(&String::from_utf8_lossy(&request.body)) {
                    Some(answered) => answered,
                    None => {
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    }
                },
                "/report" => answer(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    "{\"stage\":\"both\",\"state\":\"ready\",\"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":34322,\"handles\":0}",
                ),
                "/health" => answer("200 OK", &format!("Instance-Id: {}\r\n", self.id), ""),
                path if path.starts_with("/kv-handle/") => {
                    let name = path.rsplit('/').next().unwrap_or("");
                    self.state.lock().unwrap().copies.remove(name);
                    answer("200 OK", "", "")
                }
                _ => return self.run(request, stream),
            };
            if stream.write_all(&answered).is_err() {
                return;
            }
        }
    }

    /// Copies a run; `None` if the answer is lost.
    fn copy(&self, body: &str) -> Option<Vec<u8>> {
        self.state.lock().unwrap().taken += 1;
        let request = text_field(body, "id");
        let last = body.replace(' ', "").contains("\"last\":true");
        let target = engine_at(&text_field(body, "targetVersion"));
        let find = || self.state.lock().unwrap().runs.get(&request).cloned();
        let (Some(run), Some(target)) = (find(), target) else {
            return Some(answer("404 Not Found", "", ""));
        };
        let is_first = self.state.lock().unwrap().moved.insert(request.clone(), 1).is_none();
        let made = match last {
            true => run.stop(),
            false => run.made(),
        };
        pause(match is_first {
            true => self.terms.first_copy_ms,
            false => self.terms.next_copy_ms,
        });
        if last {
            self.state.lock().unwrap().runs.remove(&request);
        } else if find().is_none() {
            return Some(answer("404 Not Found", "", ""));
        }
        let handle = format!("h-{request}");
        let mut state = target.state.lock().unwrap();
        state.copies.insert(handle.clone(), KvCopy::Made(made));
        drop(state);
        let mut own = self.state.lock().unwrap();
        if last && own.answers_to_lose > 0 {
            own.answers_to_lose -= 1;
            own.lost_answers.push(request.clone());
            note(&format!("{} stopped {request} after {made} events; the answer to the order is lost", self.id));
            return None;
        }
        drop(own);
        let body = format!("{{\"handle\":\"{handle}\",\"made\":{made}}}");
        Some(answer("200 OK", "Content-Type: application/json\r\n", &body))
    }

    fn run(self: Arc<Engine>, message: Message, mut stream: TcpStream) {
        let request = message.header("request-id").unwrap_or("").to_owned();
        let from = message.header("kv-from").map(str::to_owned);
        ARRIVALS.lock().unwrap().push(Arrival {
            at: at(),
            engine: self.id.clone(),
            request: request.clone(),
            continues: from.is_some() || message.header("last-event-id").is_some(),
        });
        if message.header("expect-instance") != Some(&self.id) {
            let _ = stream.write_all(&answer("421 Misdirected Request", "", ""));
            return;
        }
        self.state.lock().unwrap().taken += 1;
        if self.state.lock().unwrap().mode == Mode::Hang {
            // Until the caller closes the connection.
            let _ = stream.read(&mut [0; 64]);
            return;
        }
        let after = message.header("last-event-id").and_then(|id| id.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let mut base = after;
        if let Some(from) = &from {
            let name = from.rsplit('/').next().unwrap_or("");
            match self.state.lock().unwrap().copies.remove(name) {
                Some(KvCopy::Made(made)) => base = base.max(made),
                Some(KvCopy::Grows(run)) => base = base.max(run.made()),
                None => {
                    let header = "Not-Executed: 1\r\n";
                    let _ = stream.write_all(&answer("503 Service Unavailable", header, ""));
                    return;
                }
            }
        }
        pause(self.terms.first_ms);
        let run = Arc::new(Run {
            engine: self.id.clone(),
            request: request.clone(),
            began: Instant::now(),
            base,
            total: self.terms.events,
            step: ms(self.terms.step_ms),
            stopped: Mutex::new(None),
            connection: stream.try_clone().unwrap(),
        });
        self.state.lock().unwrap().runs.insert(request.clone(), run.clone());
        if message.header("kv-backup").is_none() {
            self.state.lock().unwrap().without_copy += 1;
        }
        if let Some(backup) = message.header("kv-backup").and_then(engine_at) {
            let mut state = backup.state.lock().unwrap();
            state.copies.insert(request.clone(), KvCopy::Grows(run.clone()));
        }
        let _ = self.send_events(&run, after, &mut stream);
        let mut state = self.state.lock().unwrap();
        if state.runs.get(&request).is_some_and(|own| Arc::ptr_eq(own, &run)) {
            state.runs.remove(&request);
        }
        drop(state);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn send_events(&self, run: &Run, after: u64, stream: &mut TcpStream) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {}\r\n\
             Server-Stamp: stamp.{}.{}\r\n{}\r\n",
            run.request,
            self.id,
            run.request,
            match self.terms.is_unframed {
                true => "Connection: close\r\n",
                false => "Transfer-Encoding: chunked\r\n",
            }
        );
        stream.write_all(head.as_bytes())?;
        let mut sent = after;
        loop {
            while sent < run.made() && run.stopped.lock().unwrap().is_none() {
                sent += 1;
                let event = event_text(&run.request, sent, self.terms.event_bytes);
                let chunk = match self.terms.is_unframed {
                    true => event,
                    false => format!("{:x}\r\n{event}\r\n", event.len()),
                };
                stream.write_all(chunk.as_bytes())?;
            }
            if run.stopped.lock().unwrap().is_some() {
                return Ok(());
            }
            if sent >= run.total && self.terms.is_unframed {
                return Ok(());
            }
            if sent >= run.total {
                return stream.write_all(b"0\r\n\r\n");
            }
            pause(2);
        }
    }
}

/// An engine that is a process of its own. It keeps no copies of the runs of others.
pub struct EngineProcess {
    pub id: String,
    pub address: SocketAddr,
    pid: u32,
    born_ms: u64,
    /// Requests that have arrived there.
    pub arrived: Arc<Mutex<Vec<String>>>,
}

impl EngineProcess {
    /// Starts this program once more, as an engine, and lists it.
    pub fn start(id: &str, address: SocketAddr, zone: &str, service: &str, store: &Store) -> EngineProcess {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        let mut child = ends_with_this(&mut command)
            .args(["engine", id, &address.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the engine starts");
        let arrived: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = std::io::BufReader::new(child.stdout.take().expect("its output"));
        let seen = arrived.clone();
        thread::spawn(move || {
            for line in std::io::BufRead::lines(lines).map_while(Result::ok) {
                seen.lock().unwrap().push(line);
            }
        });
        let engine = EngineProcess {
            id: id.to_owned(),
            address,
            pid: child.id(),
            born_ms: at(),
            arrived,
        };
        CHILDREN.lock().unwrap().push(child);
        for _ in 0..500 {
            if TcpStream::connect_timeout(&address, ms(100)).is_ok() {
                break;
            }
            pause(2);
        }
        let value = entry(service, address, zone, 24, "ready", engine.born_ms);
        store.put(&format!("servers/{id}"), &value);
        engine
    }

    /// Kills the process.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(child) = children.iter_mut().find(|child| child.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.retain(|child| child.id() != self.pid);
    }
}

/// Runs as an engine until the process is killed, if the command line says so.
pub fn serve_if_engine(terms: EngineTerms) {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).map(String::as_str) != Some("engine") {
        return;
    }
    let store = Store::start();
    let address = words[3].parse().expect("an address");
    Engine::start_at(address, &words[2], "", "", &store, terms);
    let mut told = 0;
    loop {
        pause(20);
        let arrivals = ARRIVALS.lock().unwrap();
        for arrival in &arrivals[told..] {
            println!("{}", arrival.request);
        }
        told = arrivals.len();
    }
}

/// An event of a stream, the same at every engine.
pub fn event_text(request: &str, id: u64, bytes: usize) -> String {
    let start = format!("id: {id}\ndata: {request}/{id} ");
    let fill = bytes.saturating_sub(start.len() + 2);
    format!("{start}{}\n\n", "x".repeat(fill))
}

fn text_field(body: &str, name: &str) -> String {
    let after = body.split(&format!("\"{name}\":\"")).nth(1).unwrap_or("");
    after.split('"').next().unwrap_or("").to_owned()
}

// ---------------------------------------------------------------- clients

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, one: usize, two: usize, three: usize, four: usize) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with the segments and the window of a machine behind an ordinary link: the loopback
/// interface takes segments of 64 KB, and with them the sender's kernel keeps megabytes.
pub fn connect_over_link(address: SocketAddr, window: i32) -> TcpStream {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("an IPv4 address");
    };
    let mut name = [0_u8; 16];
    name[0] = 2;
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&ip.octets());
    let (segment, size) = (1_448_i32, 4);
    unsafe {
        let fd = socket(2, 1, 0);
        assert!(fd >= 0, "socket");
        setsockopt(fd, 6, 2, &segment, size);
        setsockopt(fd, 1, 8, &window, size);
        let stream = TcpStream::from_raw_fd(fd);
        assert_eq!(connect(fd, name.as_ptr(), 16), 0, "connect");
        stream
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub status: u16,
    pub events: Vec<u64>,
    pub is_complete: bool,
    pub longest_gap_ms: u64,
    pub error: String,
}

impl Got {
    /// The events that are missing or out of place.
    pub fn faults(&self, after: u64, total: u64) -> Vec<String> {
        let mut faults = Vec::new();
        let mut last = after;
        for id in &self.events {
            if *id != last + 1 {
                faults.push(format!("{id} after {last}"));
            }
            last = *id;
        }
        if self.is_complete && last != total {
            faults.push(format!("complete after {last} of {total}"));
        }
        faults
    }
}

pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub request: String,
    pub deadline_ms: u64,
    pub tokens: (u32, u32),
    pub body: &'a [u8],
}

pub fn request_text(ask: &Ask) -> Vec<u8> {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Token k1\r\n",
        ask.method, ask.path, ask.request, ask.deadline_ms
    );
    if ask.tokens.0 > 0 {
        head += &format!(
            "Model: m\r\nToken-Usage: {},{}\r\nPrompt-Prefix: {}:{}\r\nLength-Hint: {}\r\n",
            ask.tokens.0,
            ask.tokens.1,
            hex(&ask.request),
            ask.tokens.0,
            ask.tokens.1
        );
    }
    head += &format!("Content-Length: {}\r\n\r\n", ask.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(ask.body);
    bytes
}

fn hex(text: &str) -> String {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{:08x}", hash as u32)
}

/// Reads a stream to its end, `piece` bytes each `every_ms`; 0 for as fast as it comes. Leaves when
/// `leave` is true.
pub fn read_stream(mut stream: TcpStream, piece: usize, every_ms: u64, leave: &AtomicBool) -> Got {
    let mut got = Got::default();
    let _ = stream.set_read_timeout(Some(ms(50)));
    let mut chunks = Chunks::default();
    let mut text = Vec::new();
    let mut head: Option<Message> = None;
    let mut buffer = vec![0; piece.max(1)];
    let mut heard = Instant::now();
    loop {
        if leave.load(Ordering::SeqCst) {
            got.error = "left".to_owned();
            return got;
        }
        let count = match stream.read(&mut buffer) {
            Ok(0) => {
                got.error = "closed".to_owned();
                return got;
            }
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(error) => {
                got.error = error.to_string();
                return got;
            }
        };
        got.longest_gap_ms = got.longest_gap_ms.max(heard.elapsed().as_millis() as u64);
        heard = Instant::now();
        chunks.raw.extend_from_slice(&buffer[..count]);
        if head.is_none() {
            let Some(end) = chunks.raw.windows(4).position(|four| four == b"\r\n\r\n") else {
                continue;
            };
            let mut rest = std::mem::take(&mut chunks.raw);
            let body = rest.split_off(end + 4);
            chunks.raw = body;
            let first = String::from_utf8_lossy(&rest).into_owned();
            let message = Message {
                first: first.lines().next().unwrap_or("").to_owned(),
                headers: BTreeMap::new(),
                body: Vec::new(),
            };
            got.status = message.status();
            head = Some(message);
            if got.status != 200 {
                got.error = String::from_utf8_lossy(&chunks.raw).trim().to_owned();
                return got;
            }
        }
        chunks.decode(&mut text);
        while let Some(end) = text.windows(2).position(|two| two == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).into_owned();
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            got.events.push(id.and_then(|id| id.parse().ok()).unwrap_or(0));
        }
        if chunks.has_ended {
            got.is_complete = true;
            return got;
        }
        if every_ms > 0 {
            pause(every_ms);
        }
    }
}

#[derive(Default)]
struct Chunks {
    raw: Vec<u8>,
    has_ended: bool,
}

impl Chunks {
    fn decode(&mut self, text: &mut Vec<u8>) {
        while let Some(line) = self.raw.windows(2).position(|two| two == b"\r\n") {
            let size = String::from_utf8_lossy(&self.raw[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return;
            };
            if self.raw.len() < line + 2 + size + 2 {
                return;
            }
            if size == 0 {
                self.has_ended = true;
                return;
            }
            text.extend_from_slice(&self.raw[line + 2..line + 2 + size]);
            self.raw.drain(..line + 2 + size + 2);
        }
    }
}
