//! The stage of a case: the platform's store, backend servers, paths between machines and servers,
//! clients, and gateways as processes. Standard library only; loopback addresses only.
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
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption happens; `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(path).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
        let _ = file.flush();
        println!("{at:9.3} {}", text.as_ref());
    }
}

/// Addresses of this run: 127.A.B.HOST, with A and B from the process id, so that two runs differ.
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    pub fn new() -> Net {
        let pid = std::process::id();
        Net {
            a: 10 + (pid / 200 % 90) as u8,
            b: 1 + (pid % 200) as u8,
        }
    }

    pub fn host(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, host))
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(host), port)
    }
}

/// Closes a connection with a reset: linger of 0 s.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8);
    }
}

// ---------------------------------------------------------------- HTTP, as far as it is needed

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn words(&self) -> Vec<&str> {
        self.first.split(' ').collect()
    }
}

/// Reads a head; returns it with the bytes that came after it. `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream, before: Vec<u8>) -> std::io::Result<Option<(Head, Vec<u8>)>> {
    let mut bytes = before;
    let mut buffer = [0_u8; 8192];
    loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some((Head { first, headers }, bytes[end + 4..].to_vec())));
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Reads a request with its body; returns also what came after it.
pub fn read_request(
    stream: &mut TcpStream,
    before: Vec<u8>,
) -> std::io::Result<Option<(Head, Vec<u8>, Vec<u8>)>> {
    let Some((head, mut rest)) = read_head(stream, before)? else {
        return Ok(None);
    };
    let length: usize = head
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut buffer = [0_u8; 8192];
    while rest.len() < length {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..count]);
    }
    let after = rest.split_off(length);
    Ok(Some((head, rest, after)))
}

/// How a client's answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// By its length or its last chunk.
    Whole,
    /// The connection ended before.
    Cut,
    /// Nothing came in time.
    Silent,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub ending: Ending,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    fn none(ending: Ending) -> Answer {
        Answer {
            status: 0,
            head: Head::default(),
            body: Vec::new(),
            ending,
        }
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return Answer::none(Ending::Cut);
    };
    let _ = stream.set_read_timeout(Some(wait));
    let _ = stream.set_nodelay(true);
    if stream.write_all(request).is_err() {
        return Answer::none(Ending::Cut);
    }
    read_answer(&mut stream)
}

pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let (head, rest) = match read_head(stream, Vec::new()) {
        Ok(Some(read)) => read,
        Ok(None) => return Answer::none(Ending::Cut),
        Err(error) => return Answer::none(ending_of(&error)),
    };
    let status = head.words().get(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let (body, ending) = if let Some(length) = head.get("content-length") {
        read_length(stream, rest, length.parse().unwrap_or(0))
    } else if head.get("transfer-encoding").is_some() {
        read_chunks(stream, rest)
    } else {
        read_to_end(stream, rest)
    };
    Answer {
        status,
        head,
        body,
        ending,
    }
}

fn ending_of(error: &std::io::Error) -> Ending {
    match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Ending::Silent,
        _ => Ending::Cut,
    }
}

fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Ending> {
    let mut buffer = [0_u8; 8192];
    match stream.read(&mut buffer) {
        Ok(0) => Some(Ending::Cut),
        Ok(count) => {
            bytes.extend_from_slice(&buffer[..count]);
            None
        }
        Err(error) => Some(ending_of(&error)),
    }
}

fn read_length(stream: &mut TcpStream, mut bytes: Vec<u8>, length: usize) -> (Vec<u8>, Ending) {
    while bytes.len() < length {
        if let Some(ending) = more(stream, &mut bytes) {
            return (bytes, ending);
        }
    }
    (bytes, Ending::Whole)
}

fn read_chunks(stream: &mut TcpStream, mut raw: Vec<u8>) -> (Vec<u8>, Ending) {
    let mut body = Vec::new();
    loop {
        while let Some(line) = find(&raw, b"\r\n") {
            let size = String::from_utf8_lossy(&raw[..line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let end = line + 2 + size + 2;
            if raw.len() < end {
                break;
            }
            if size == 0 {
                return (body, Ending::Whole);
            }
            body.extend_from_slice(&raw[line + 2..line + 2 + size]);
            raw.drain(..end);
        }
        if let Some(ending) = more(stream, &mut raw) {
            return (body, ending);
        }
    }
}

/// An answer without a length is whole for a client if its connection ends in order.
fn read_to_end(stream: &mut TcpStream, mut bytes: Vec<u8>) -> (Vec<u8>, Ending) {
    let mut buffer = [0_u8; 8192];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (bytes, Ending::Whole),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => return (bytes, ending_of(&error)),
        }
    }
}

/// A request of a client.
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub more: &'a str,
    pub body: &'a [u8],
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let length = match (self.method, self.body.len()) {
            ("GET", 0) => String::new(),
            (_, length) => format!("Content-Length: {length}\r\n"),
        };
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {KEY}\r\n{}{length}\r\n",
            self.method, self.path, self.id, self.deadline_ms, self.more,
        )
        .into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const TENANT: &str = "huka270";
/// Names of the two services in the configuration.
pub const ENGINES: &str = "huvo11a";
pub const SERVICE: &str = "wuno96b";

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Kept {
    revision: u64,
    /// Key, values by view, revision.
    items: BTreeMap<String, (Vec<String>, u64)>,
    /// Key, new values by view (`None`: removed), revision.
    history: Vec<(String, Option<Vec<String>>, u64)>,
}

/// The store. A view is what one machine reads: it differs only in the addresses of the servers,
/// since each machine reaches them over paths of its own.
#[derive(Clone, Default)]
pub struct Store {
    kept: Arc<(Mutex<Kept>, Condvar)>,
}

impl Store {
    pub fn put(&self, key: &str, by_view: Vec<String>) {
        self.write(key, Some(by_view));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<Vec<String>>) {
        let (kept, changed) = &*self.kept;
        let mut kept = kept.lock().unwrap();
        kept.revision += 1;
        let revision = kept.revision;
        match &value {
            Some(value) => {
                kept.items.insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                kept.items.remove(key);
            }
        }
        kept.history.push((key.to_owned(), value, revision));
        changed.notify_all();
    }

    /// Serves one view at an address.
    pub fn serve(&self, at: SocketAddr, view: usize) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.answer_all(stream, view));
            }
        });
        Ok(())
    }

    fn answer_all(&self, mut stream: TcpStream, view: usize) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some((head, _, after))) = read_request(&mut stream, rest) {
            rest = after;
            let (status, body) = self.answer(&head, view);
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, view: usize) -> (u16, String) {
        let target = head.words().get(1).copied().unwrap_or("/").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, value.replace("%2F", "/").replace("%2f", "/")))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (kept, changed) = &*self.kept;
        let mut kept = kept.lock().unwrap();
        match path {
            "/kv-range" => {
                let (prefix, after) = (text("pathPrefix"), text("after"));
                let found = kept.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found
                    .map(|(key, (value, revision))| item(key, Some(&value[view.min(value.len() - 1)]), *revision))
                    .collect();
                let at = kept.revision;
                (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", items.join(",")))
            }
            "/kv-watch" => {
                let prefix = text("pathPrefix");
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let news: Vec<String> = kept
                        .history
                        .iter()
                        .filter(|(key, _, revision)| key.starts_with(&prefix) && *revision > after)
                        .map(|(key, value, revision)| {
                            let value = value.as_ref().map(|v| v[view.min(v.len() - 1)].as_str());
                            item(key, value, *revision)
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !news.is_empty() || left.is_zero() {
                        let at = kept.revision;
                        return (200, format!("{{\"events\":[{}],\"at\":{at}}}", news.join(",")));
                    }
                    kept = changed.wait_timeout(kept, left).unwrap().0;
                }
            }
            _ => (404, String::new()),
        }
    }
}

fn item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |sum, index| {
            sum << 8 | u32::from(part.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { sign as char } else { '=' });
        }
    }
    text
}

/// The entry of a backend server.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":4}}"
    )
}

/// A configuration like that of the small deployments: their routes, times and limits.
pub fn configuration(version: u64, routes: &[&str]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"{ENGINES}\",\"healthPath\":\"/health\",\"maxConnections\":242,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":24,\"kvCapacityTokens\":34322,\"kvTokenBytes\":327680,\"linkMbps\":47000.0,\
         \"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"holdMs\":2000.0,\
         \"handleTtlS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// One route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64, target_ms: u64, attempts: u32) -> String {
    let gap = if kind == "streaming" { ",\"gap_aim_ms\":180" } else { "" };
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"allowAnonymous\":false,\"resumeStreams\":false{gap}}}"
    )
}

// ---------------------------------------------------------------- paths

struct PathState {
    open: Vec<(TcpStream, TcpStream)>,
}

/// The path of one machine to one server, as a proxy: it forwards bytes, and can reset its open
/// connections and refuse new ones.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    to: SocketAddr,
    state: Arc<Mutex<PathState>>,
    listening: Arc<AtomicBool>,
    /// While it holds, nothing is forwarded, and nobody is told.
    holding: Arc<AtomicBool>,
}

impl Path {
    pub fn start(at: SocketAddr, to: SocketAddr) -> std::io::Result<Path> {
        let path = Path {
            address: at,
            to,
            state: Arc::new(Mutex::new(PathState {
                open: Vec::new(),
            })),
            listening: Arc::new(AtomicBool::new(false)),
            holding: Arc::new(AtomicBool::new(false)),
        };
        path.listen()?;
        Ok(path)
    }

    fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let path = self.clone();
        path.listening.store(true, Ordering::SeqCst);
        std::thread::spawn(move || {
            while path.listening.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => path.carry(stream),
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn carry(&self, near: TcpStream) {
        let _ = near.set_nonblocking(false);
        let _ = near.set_nodelay(true);
        let Ok(far) = TcpStream::connect(self.to) else {
            reset(&near);
            return;
        };
        let _ = far.set_nodelay(true);
        let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        self.state.lock().unwrap().open.push((near, far));
        let (to_far, to_near) = (self.holding.clone(), self.holding.clone());
        std::thread::spawn(move || forward(near_in, far_out, &to_far));
        std::thread::spawn(move || forward(far_in, near_out, &to_near));
    }

    /// Number of connections through this path that are open at both ends.
    pub fn open_now(&self) -> usize {
        let state = self.state.lock().unwrap();
        let is_open = |stream: &TcpStream| {
            let mut byte = [0_u8; 1];
            let _ = stream.set_nonblocking(true);
            let peeked = stream.peek(&mut byte);
            let _ = stream.set_nonblocking(false);
            !matches!(peeked, Ok(0)) && stream.peer_addr().is_ok()
        };
        state.open.iter().filter(|(near, far)| is_open(near) && is_open(far)).count()
    }

    /// Cuts the path in silence: open connections and new ones hang.
    pub fn hold(&self) {
        self.holding.store(true, Ordering::SeqCst);
    }

    /// Ends the cut; what was held is reset, since its far end has given it up.
    pub fn release(&self) {
        if self.holding.load(Ordering::SeqCst) {
            self.reset_open();
            self.holding.store(false, Ordering::SeqCst);
        }
    }

    /// Gives up the far ends of the held connections, as their keep-alive probes would.
    pub fn give_up_far(&self) {
        for (_, far) in &self.state.lock().unwrap().open {
            abort(far);
        }
    }

    /// Resets the open connections towards both ends; returns how many there were.
    pub fn reset_open(&self) -> usize {
        let open = std::mem::take(&mut self.state.lock().unwrap().open);
        let mut count = 0;
        for (near, far) in open {
            // A connection that has already ended is not counted.
            if near.peer_addr().is_ok() && far.peer_addr().is_ok() {
                count += 1;
            }
            abort(&near);
            abort(&far);
        }
        count
    }

    /// Refuses new connections and resets the open ones.
    pub fn cut(&self) {
        self.listening.store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20));
        self.reset_open();
    }

    /// Accepts connections again.
    pub fn restore(&self) {
        if !self.listening.load(Ordering::SeqCst) {
            self.listen().expect("the path listens again");
        }
    }
}

/// Aborts a connection that other threads of this process still hold: connecting the socket to an
/// unspecified address makes Linux reset it at once.
fn abort(stream: &TcpStream) {
    #[repr(C)]
    struct Unspecified {
        family: u16,
        rest: [u8; 14],
    }
    unsafe extern "C" {
        fn connect(fd: i32, address: *const Unspecified, length: u32) -> i32;
    }
    let nowhere = Unspecified {
        family: 0,
        rest: [0; 14],
    };
    reset(stream);
    unsafe {
        connect(stream.as_raw_fd(), &nowhere, 16);
    }
}

/// Forwards until the end; passes an end on as an end, and a reset as a reset.
fn forward(mut from: TcpStream, mut to: TcpStream, holding: &AtomicBool) {
    let mut buffer = [0_u8; 16384];
    loop {
        let read = from.read(&mut buffer);
        while holding.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                if to.write_all(&buffer[..count]).is_err() {
                    abort(&from);
                    return;
                }
            }
            Err(_) => {
                abort(&to);
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- gateways

/// Settings of one gateway, like those that the platform fills in for a small deployment.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub host: u8,
    pub store: SocketAddr,
    /// Port of the connections that peers carry: the same on all machines, unless paths between
    /// machines lie behind it.
    pub detours: u16,
}

pub const FRONT: u16 = 8740;
pub const READY: u16 = 8749;
pub const CONTROL: u16 = 8748;
pub const DETOUR: u16 = 7200;
pub const METRICS: u16 = 9464;

/// A gateway process of the build of the deploy file.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Set by a case that has killed the process.
    pub was_killed: bool,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Gateway {
    pub fn start(net: &Net, folder: &std::path::Path, machine: &Machine, seeds: &[u8]) -> std::io::Result<Gateway> {
        let at = |port| net.at(machine.host, port);
        let seeds: Vec<String> = seeds.iter().map(|host| format!("\"{}\"", net.at(*host, CONTROL))).collect();
        let text = format!(
            "instance = \"{}\"\navailability_zone = \"{}\"\ncaller_address = \"{}\"\noperator_address = \"{}\"\n\
             peer_address = \"{}\"\ndetour_address = \"{}\"\nmetrics_address = \"{}\"\ndirectory_address = \"{}\"\n\
             processor_share = 0.25\nseed_peers = [{}]\n\
             zone_regions = [\"caxias-norte=serra-gaucha\",\"bento-sala=serra-gaucha\",\"farroupilha-galpao=serra-gaucha\"]\n\
             peer_keys = [\"6972697374687265616420706c6174666f726d20706565722073656372657421\"]\n\
             stop_grace_ms = 8000\nretry_ratio = 0.2\nretry_extra = 58\nlearn_speeds = true\nrank_reserve = true\n",
            machine.name, machine.zone, at(FRONT), at(READY), at(CONTROL), at(machine.detours), at(METRICS), machine.store,
            seeds.join(",")
        );
        let settings = folder.join(format!("{}.toml", machine.name));
        std::fs::write(&settings, text)?;
        let log = folder.join(format!("{}.log", machine.name));
        let child = Gateway::spawn(&settings, &log)?;
        Ok(Gateway {
            name: machine.name.clone(),
            callers: at(FRONT),
            ready: at(READY),
            was_killed: false,
            child,
            settings,
            log,
        })
    }

    fn spawn(settings: &std::path::Path, log: &std::path::Path) -> std::io::Result<Child> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        Command::new("target/release/iristhreadd-gateway")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = Gateway::spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Sends a signal by its number.
    pub fn signal(&self, number: i32) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        unsafe {
            kill(self.pid() as i32, number);
        }
    }

    pub fn has_ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).status == 200
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds.
pub fn eventually(seconds: u64, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() { let _ = std::fs::remove_dir_all(&self.0); }
    }
}
