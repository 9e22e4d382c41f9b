//! Stand-ins for the platform, the operator, workers and clients, from the standard library only.
//! Each case of the review includes this file with `mod stand`.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes what was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or("").to_owned()
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at the end of the connection before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if let Some(length) = message.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
        message.is_whole = true;
    } else if message.header("transfer-encoding").is_some() {
        // A chunked body that breaks off is kept as far as it came.
        message.is_whole = read_chunks(reader, &mut message.body).is_ok();
    } else if is_answer && message.status() != 204 {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends one HTTP request on a new connection; `None` without a whole answer.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true).ok()?.filter(|message| message.is_whole)
}

/// Calls `control` as the pages say: picks among the daemons, follows a 307 twice, moves on to
/// another one after a failure or a 5xx.
pub fn control(addresses: &[SocketAddr], method: &str, path: &str, body: &str, tries: usize) -> Option<Message> {
    for number in 0..tries {
        let mut address = addresses[number % addresses.len()];
        for _ in 0..3 {
            let Some(answer) = call(address, method, path, body, ms(1000)) else { break };
            if answer.status() == 307 {
                let location = answer.header("location").unwrap_or("");
                let host = location.trim_start_matches("http://").split('/').next().unwrap_or("");
                match host.parse() {
                    Ok(next) => address = next,
                    Err(_) => break,
                }
                continue;
            }
            if answer.status() < 500 && answer.status() != 429 && answer.status() != 408 {
                return Some(answer);
            }
            break;
        }
        thread::sleep(ms(50 + 50 * number.min(6) as u64));
    }
    None
}

/// A connection that a worker serves.
pub struct Conn {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
    /// Id of the request that was answered last on this connection.
    pub last_id: Option<String>,
    pub served: u64,
}

impl Conn {
    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let is_closed = match self.stream.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        is_closed
    }
}

/// Answers one request. `Ok(false)` closes the connection.
pub type Handler = Arc<dyn Fn(&Message, &mut Conn) -> io::Result<bool> + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born: u64,
}

fn serve(worker: Worker, handler: Handler, stop: Arc<AtomicBool>) {
    let listener = TcpListener::bind(worker.address).expect("a worker's address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (worker, handler) = (worker.clone(), Arc::clone(&handler));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut conn = Conn { reader: BufReader::new(copy), stream, last_id: None, served: 0 };
                while let Ok(Some(request)) = read_message(&mut conn.reader, false) {
                    let id = request.id();
                    if request.path() == "/health" {
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                            worker.id
                        );
                        if conn.write(&text).is_err() {
                            return;
                        }
                        continue;
                    }
                    let expected = request.header("x-expect-instance");
                    if expected.is_some_and(|expected| expected != worker.id) {
                        let text = format!(
                            "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        if conn.write(&text).is_err() {
                            return;
                        }
                        continue;
                    }
                    match handler(&request, &mut conn) {
                        Ok(true) => {
                            conn.last_id = Some(id);
                            conn.served += 1;
                        }
                        _ => return,
                    }
                }
            });
        }
    });
}

/// The machines of a small deployment: processes of the system on loopback addresses.
pub struct Platform {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub net: String,
    pub base: u16,
    pub core: usize,
    pub fronts: usize,
    pub control: Vec<SocketAddr>,
    pub front: Vec<SocketAddr>,
    children: Mutex<HashMap<String, Child>>,
    pub stop: Arc<AtomicBool>,
    next_worker: AtomicU64,
}

/// Bounds of the small site `kds-waxline`.
const VALUES: [(&str, &str); 8] = [
    ("bounds.retryBudgetRatio", "0.9"),
    ("bounds.retryBudgetSlack", "52"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.revokeMs", "5000"),
    ("bounds.sessionS", "5"),
    ("bounds.graceS", "8"),
    ("bounds.exposureShare", "0.15"),
    ("faultTolerance.machines", "2"),
];
pub const ZONES: [&str; 3] = ["sapporo", "asahikawa", "obihiro"];

impl Platform {
    /// Finds free loopback addresses and makes a temporary folder. Ports are the same on all machines.
    pub fn new(case: &str, core: usize, fronts: usize) -> Option<Arc<Self>> {
        let case_folder = PathBuf::from(case);
        let file = File::create(case_folder.join("record.txt")).ok()?;
        let record = Arc::new(Record { file: Mutex::new(file), started: Instant::now() });
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("chestnutloft-review-{pid}"));
        std::fs::create_dir_all(&folder).ok()?;
        for attempt in 0..50_u32 {
            let seed = pid.wrapping_mul(31).wrapping_add(attempt * 977);
            let net = format!("127.{}.{}", 20 + seed % 200, 1 + seed / 200 % 250);
            let base = 21_000 + (seed % 9_000) as u16;
            let hosts = (1..=core).chain(11..11 + fronts).chain(21..40);
            let is_free = hosts.into_iter().all(|host| {
                let ports = [base, base + 1, base + 2, base + 3, 9464];
                ports.iter().all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
            });
            if !is_free {
                continue;
            }
            let address = |host: usize, port: u16| format!("{net}.{host}:{port}").parse().unwrap();
            return Some(Arc::new(Self {
                control: (1..=core).map(|host| address(host, base)).collect(),
                front: (0..fronts).map(|host| address(11 + host, base + 2)).collect(),
                record,
                folder,
                base,
                core,
                fronts,
                children: Mutex::default(),
                stop: Arc::default(),
                next_worker: AtomicU64::new(0),
                net,
            }));
        }
        None
    }

    /// Ends the case with exit status 2 if it takes too long.
    pub fn limit(self: &Arc<Self>, seconds: u64) {
        let platform = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(seconds));
            platform.record.line("the case took too long");
            platform.end(2);
        });
    }

    /// Ends all processes and exits.
    pub fn end(&self, code: i32) -> ! {
        self.stop.store(true, Ordering::Relaxed);
        let mut children = self.children.lock().unwrap();
        for child in children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code);
    }

    fn settings(&self, name: &str, is_bootstrap: bool) -> String {
        let (class, number) = name.split_once('-').unwrap();
        let number: usize = number.parse().unwrap();
        let host = if class == "core" { number } else { 10 + number };
        let ip = format!("{}.{host}", self.net);
        let template = if class == "core" { "deploy/keeper.yaml" } else { "deploy/entry.yaml" };
        let mut text = std::fs::read_to_string(template).expect("the template");
        let seeds: Vec<String> = self.control.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let data = self.folder.join(format!("data-{name}"));
        let mut values: Vec<(String, String)> = vec![
            ("nodeName|json".into(), format!("\"{name}\"")),
            ("zone|json".into(), format!("\"{}\"", ZONES[(number - 1) % ZONES.len()])),
            ("listen.front|json".into(), format!("\"{ip}:{}\"", self.base + 2)),
            ("listen.readyAddr|json".into(), format!("\"{ip}:{}\"", self.base + 3)),
            ("listen.control|json".into(), format!("\"{ip}:{}\"", self.base)),
            ("ip".into(), ip.clone()),
            ("internalPorts.0".into(), (self.base + 1).to_string()),
            ("seeds|json".into(), format!("[{}]", seeds.join(", "))),
            ("dataDir|json".into(), format!("\"{}\"", data.display())),
            ("bootstrap".into(), is_bootstrap.to_string()),
        ];
        values.extend(VALUES.iter().map(|(key, value)| (key.to_string(), value.to_string())));
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is not filled in: {text}");
        text
    }

    /// Starts the process of the machine `name` (`core-N` or `front-N`) with the command of the deploy file.
    pub fn start(&self, name: &str, is_bootstrap: bool) {
        let settings = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, self.settings(name, is_bootstrap)).expect("the settings file");
        if name.starts_with("core") {
            std::fs::create_dir_all(self.folder.join(format!("data-{name}"))).expect("the data folder");
        }
        let program = if name.starts_with("core") {
            "target/release/chestnutloft-platform-keeper"
        } else {
            "target/release/chestnutloft-platform-entry"
        };
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("the log file");
        // `end` holds this lock until the exit, so that no process starts after it has ended the others.
        let mut children = self.children.lock().unwrap();
        if self.stop.load(Ordering::Relaxed) {
            return;
        }
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .env_clear()
            .env("CHESTNUTLOFT_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(format!("platform: started {name}"));
                children.insert(name.to_owned(), child);
            }
            Err(error) => {
                self.record.line(format!("platform: cannot start {program}: {error}"));
                drop(children);
                self.end(2);
            }
        }
    }

    pub fn start_all(&self) {
        for number in 1..=self.core {
            self.start(&format!("core-{number}"), true);
        }
        for number in 1..=self.fronts {
            self.start(&format!("front-{number}"), false);
        }
    }

    /// Sends a signal (`KILL`, `STOP`, `CONT`, `TERM`) to the process of a machine, by its id.
    pub fn signal(&self, name: &str, signal: &str) {
        let children = self.children.lock().unwrap();
        let Some(pid) = children.get(name).map(|child| child.id().to_string()) else { return };
        self.record.line(format!("platform: SIG{signal} to {name}"));
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
    }

    /// Exit status text of a machine's process that has ended by itself.
    pub fn ended(&self, name: &str) -> Option<String> {
        let mut children = self.children.lock().unwrap();
        let status = children.get_mut(name)?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Resident memory of a machine's process; 0 if it does not run.
    pub fn memory_mb(&self, name: &str) -> u64 {
        let children = self.children.lock().unwrap();
        let Some(child) = children.get(name) else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// Forgets a process that has ended.
    pub fn forget(&self, name: &str) {
        self.children.lock().unwrap().remove(name);
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, config: &str) -> bool {
        let answer = control(&self.control, "POST", "/v1/config/put", config, 60);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(format!("operator: config/put answered {status}"));
        status == 200
    }

    /// Starts a worker that sends heartbeats.
    pub fn add_worker(self: &Arc<Self>, service: &str, slots: u32, handler: Handler) -> Worker {
        self.add_versioned(service, "v1", slots, handler).0
    }

    /// Starts a worker of a version. Its heartbeats end once the returned flag is set.
    pub fn add_versioned(
        self: &Arc<Self>,
        service: &str,
        version: &str,
        slots: u32,
        handler: Handler,
    ) -> (Worker, Arc<AtomicBool>) {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let number = self.next_worker.fetch_add(1, Ordering::Relaxed);
        let worker = Worker {
            id: format!("i-{}{number}", service),
            service: service.to_owned(),
            zone: ZONES[number as usize % ZONES.len()].to_owned(),
            version: version.to_owned(),
            slots,
            address: format!("{}.{}:{}", self.net, 21 + number, self.base + 3).parse().unwrap(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
        };
        serve(worker.clone(), handler, Arc::clone(&self.stop));
        let platform = Arc::clone(self);
        let beating = worker.clone();
        let ends = Arc::clone(&is_leaving);
        thread::spawn(move || {
            let mut sequence = 0;
            while !platform.stop.load(Ordering::Relaxed) && !ends.load(Ordering::Relaxed) {
                sequence += 1;
                platform.heartbeat(&beating, sequence, "ready");
                thread::sleep(ms(1200));
            }
        });
        (worker, is_leaving)
    }

    pub fn heartbeat(&self, worker: &Worker, sequence: u64, state: &str) -> u16 {
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","coldLeftMs":0,"sequence":{sequence},"born":{}}}"#,
            worker.service, worker.address, worker.zone, worker.version, worker.slots, worker.born
        );
        let path = format!("/v1/instances/{}/heartbeat", worker.id);
        control(&self.control, "POST", &path, &body, 20).map_or(0, |answer| answer.status())
    }

    /// Waits until all fronts answer the readiness check with 200.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..200 {
            let is_ready = self.front.iter().all(|front| {
                let ready = SocketAddr::new(front.ip(), self.base + 3);
                call(ready, "GET", "/v1/ready", "", ms(500)).is_some_and(|answer| answer.status() == 200)
            });
            if is_ready {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }
}

/// What workers have run, by request id: the names of the workers.
#[derive(Default)]
pub struct Runs(Mutex<BTreeMap<String, Vec<String>>>);

impl Runs {
    pub fn add(&self, id: &str, worker: &str) {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().push(worker.to_owned());
    }

    pub fn of(&self, id: &str) -> Vec<String> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub fn all(&self) -> BTreeMap<String, Vec<String>> {
        self.0.lock().unwrap().clone()
    }
}

/// A client that keeps its connection for many requests.
pub struct Client {
    pub address: SocketAddr,
    conn: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, conn: None }
    }

    /// Sends a request with a length and reads the answer; `None` if the connection ended without one.
    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str, timeout: Duration) -> Option<Message> {
        if self.conn.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, ms(1000)).ok()?;
            stream.set_nodelay(true).ok()?;
            self.conn = Some(BufReader::new(stream));
        }
        let reader = self.conn.as_mut().unwrap();
        reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        let sent = reader.get_mut().write_all(text.as_bytes());
        let answer = sent.and_then(|()| read_message(reader, true)).ok().flatten();
        let is_kept = answer.as_ref().is_some_and(|answer| {
            let connection = answer.header("connection").unwrap_or("");
            answer.is_whole && !connection.contains("close")
        });
        if !is_kept {
            self.conn = None;
        }
        answer
    }
}
