//===- world.cpp - Clients, upstreams and platform of a review case -------===//
//
// usage: review_world SCENARIO NET FOLDER TROUBLE
//
// Starts the processes whose settings lie in FOLDER, and plays all that is
// around them on the addresses NET.1 to NET.250: the platform's list, upstreams
// of one plain service, the operator and clients. Writes to standard output
// what was sent, answered and run. TROUBLE 0: the same without the disruption.
//
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.
//
// SCENARIO foreign-entry: the platform's list gains one entry of another
// writer, for some seconds. Clients keep connections and send requests that
// must not be repeated.
//
// SCENARIO stray-bytes: one upstream in four sends bytes that belong to no
// request after some of its answers, where the next answer is due.
//
// SCENARIO planned-stop: clients on slow links read large answers while their
// gateway gets SIGTERM.
//
//===----------------------------------------------------------------------===//

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <semaphore>
#include <spawn.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CouldNotRun = 2;

constexpr int Gateways = 4;
constexpr int FirstGatewayHost = 21;
constexpr int ControlVms = 5;
constexpr int Upstreams = 4;
constexpr int FirstUpstreamHost = 101;
constexpr int ListHost = 61;
constexpr uint16_t CallerPort = 8222;
constexpr uint16_t ReadyPort = 8225;
constexpr uint16_t OperatorPort = 8121;
constexpr uint16_t ListPort = 8223;
constexpr uint16_t UpstreamPort = 8080;
constexpr int Slots = 6;
// The bench starts a process that has ended again after a short delay.
constexpr double RestartSeconds = 0.3;

double now() {
  using std::chrono::duration;
  using std::chrono::steady_clock;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// The record of the run; one line for each event.
class recorder {
public:
  void write(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    std::printf("%9.3f  %s\n", now() - Start, Text.c_str());
  }

private:
  std::mutex Mutex;
  double Start = now();
};

recorder Record;
std::string Net;
std::atomic<bool> Interrupted = false;

std::string addressOf(int Host, uint16_t Port) {
  return Net + "." + std::to_string(Host) + ":" + std::to_string(Port);
}

sockaddr_in socketAddress(int Host, uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  std::string Ip = Net + "." + std::to_string(Host);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A blocking connection with a read buffer.
class connection {
public:
  explicit connection(int Socket) : Socket(Socket) {}
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  bool open() const { return Socket >= 0; }
  /// The last read ended as nothing came in time, not as the peer closed.
  bool timedOut() const { return TimedOut; }
  /// Bytes of the next message that have come.
  bool hasBytes() const { return !Buffer.empty(); }
  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
  }
  bool send(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      ssize_t Count = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(size_t(Count));
    }
    return true;
  }
  /// The head of the next message; empty: the connection ended before it.
  std::string readHead() {
    for (;;) {
      size_t End = Buffer.find("\r\n\r\n");
      if (End != std::string::npos) {
        std::string Head = Buffer.substr(0, End + 4);
        Buffer.erase(0, End + 4);
        return Head;
      }
      if (!fill())
        return "";
    }
  }
  /// Reads up to \p Size bytes of a body, at most \p BytesPerSecond (0: no
  /// bound). Returns how many there were before the connection ended.
  size_t readBody(size_t Size, double BytesPerSecond = 0) {
    size_t Total = 0;
    while (Total < Size) {
      if (Buffer.empty() && !fill())
        return Total;
      size_t Taken = std::min(Buffer.size(), Size - Total);
      Buffer.erase(0, Taken);
      Total += Taken;
      if (BytesPerSecond > 0)
        sleepFor(double(Taken) / BytesPerSecond);
    }
    return Total;
  }

private:
  bool fill() {
    std::array<char, 16384> Bytes{};
    ssize_t Count = ::recv(Socket, Bytes.data(), Bytes.size(), 0);
    TimedOut = Count < 0 && errno == EAGAIN;
    if (Count <= 0)
      return false;
    Buffer.append(Bytes.data(), size_t(Count));
    return true;
  }

  bool TimedOut = false;
  int Socket;
  std::string Buffer;
};

/// The value of a header; names are compared as they are written here.
std::string headerOf(const std::string &Head, const std::string &Name) {
  size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  At += Name.size() + 4;
  return Head.substr(At, Head.find("\r\n", At) - At);
}

int statusOf(const std::string &Head) {
  return Head.size() > 12 ? std::atoi(Head.c_str() + 9) : 0;
}

size_t lengthOf(const std::string &Head) {
  return size_t(
      std::strtoul(headerOf(Head, "Content-Length").c_str(), nullptr, 10));
}

struct connect_options {
  double TimeoutSeconds = 2;
  /// As of a caller on a slow link: small packets and a small window.
  bool SlowLink = false;
};

int connectTo(int Host, uint16_t Port, connect_options Options) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Timeout{.tv_sec = time_t(Options.TimeoutSeconds), .tv_usec = 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  if (Options.SlowLink) {
    int Window = 64 << 10;
    int SegmentBytes = 1400;
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
    setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
               sizeof(SegmentBytes));
  }
  sockaddr_in Address = socketAddress(Host, Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

/// Accepts connections and serves each by a thread of its own, until the
/// program ends. False: the address is in use.
bool serve(int Host, uint16_t Port,
           const std::function<void(connection &)> &Serve) {
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = socketAddress(Host, Port);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      listen(Listener, 256) != 0)
    return false;
  std::thread([Listener, Serve] {
    for (;;) {
      int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      std::thread([Socket, Serve] {
        connection Connection(Socket);
        Serve(Connection);
      }).detach();
    }
  }).detach();
  return true;
}

std::string answer(int Status, const std::string &Headers,
                   const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's list of upstreams.
class platform_list {
public:
  bool start() {
    return serve(ListHost, ListPort, [this](connection &Connection) {
      while (!Connection.readHead().empty())
        if (!Connection.send(
                answer(200, "Content-Type: application/json\r\n", body())))
          return;
    });
  }
  /// An entry of another writer, as it stands in the list; empty: none.
  void setForeignEntry(const std::string &Entry) {
    std::lock_guard Lock(Mutex);
    ForeignEntry = Entry;
  }

private:
  std::string body() {
    std::string Entries;
    for (int I = 0; I < Upstreams; ++I)
      Entries += (I ? "," : "") + std::string(R"({"id":"i-)") +
                 std::to_string(I) + R"(","service":"desk","address":")" +
                 addressOf(FirstUpstreamHost + I, UpstreamPort) +
                 R"(","data_hall":"hall-laval","version":"v1","slots":)" +
                 std::to_string(Slots) + R"(,"state":"ready","cold_ms":0})";
    std::lock_guard Lock(Mutex);
    if (!ForeignEntry.empty())
      Entries += "," + ForeignEntry;
    return R"({"upstreams":[)" + Entries + R"(],"next_page":null})";
  }

  std::mutex Mutex;
  std::string ForeignEntry;
};

/// The upstreams of the plain service, which do what they are sent and answer.
class upstream_pool {
public:
  /// Each answer takes \p WorkSeconds and has \p Bytes.
  upstream_pool(double WorkSeconds, size_t Bytes)
      : WorkSeconds(WorkSeconds), Bytes(Bytes) {}

  bool start() {
    for (int I = 0; I < Upstreams; ++I)
      if (!serve(FirstUpstreamHost + I, UpstreamPort,
                 [this, I](connection &Connection) { work(Connection, I); }))
        return false;
    return true;
  }
  /// From now on the first upstream sends stray bytes after one in StrayEvery
  /// of its answers, or no longer.
  void setStrays(bool On) { Strays = On; }
  int strays() const { return StrayCount; }
  /// How often an upstream has begun the request with this id.
  int runs(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    auto It = Runs.find(Id);
    return It == Runs.end() ? 0 : It->second;
  }

private:
  static constexpr const char *NotRun = "X-Not-Executed: 1\r\n";
  /// Under 0.03 of its answers.
  static constexpr int StrayEvery = 34;

  struct upstream {
    std::counting_semaphore<Slots> Free{Slots};
    std::atomic<int> Running = 0;
    std::atomic<int> Waiting = 0;
  };

  static std::string idOf(int Number) { return "i-" + std::to_string(Number); }

  // They belong to no request: they name none and are not signed.
  bool sendStray(const connection &Connection) {
    bool IsSuccess = StrayCount++ % 2 == 0;
    Record.write(std::string("stray     bytes like a ") +
                 (IsSuccess ? "200" : "408") + " from i-0");
    return Connection.send(
        answer(IsSuccess ? 200 : 408, "Content-Type: text/plain\r\n", "ok\n"));
  }

  void work(connection &Connection, int Number) {
    bool StrayDue = false;
    for (;;) {
      std::string Head = Connection.readHead();
      if (Head.empty())
        return;
      double ArrivedAt = now();
      Connection.readBody(lengthOf(Head));
      if (std::exchange(StrayDue, false) && !sendStray(Connection))
        return;
      if (!Connection.send(answerTo(Head, Number, ArrivedAt)))
        return;
      StrayDue = Number == 0 && Strays && ++Answers % StrayEvery == 0;
    }
  }

  std::string answerTo(const std::string &Head, int Number, double ArrivedAt) {
    if (Head.starts_with("GET /healthz "))
      return answer(200, "X-Instance-Id: " + idOf(Number) + "\r\n", "");
    std::string Id = headerOf(Head, "X-Attempt-Id");
    std::string Echo = "X-Attempt-Id: " + Id + "\r\n";
    std::string Meant = headerOf(Head, "X-Expect-Instance");
    if (!Meant.empty() && Meant != idOf(Number))
      return answer(421, Echo + NotRun, "");
    double Deadline = std::atof(headerOf(Head, "X-Deadline-Ms").c_str()) / 1e3;
    auto Left = [&] { return ArrivedAt + Deadline - now(); };
    upstream &Upstream = All[size_t(Number)];
    ++Upstream.Waiting;
    bool Begins = Upstream.Free.try_acquire_for(
        std::chrono::duration<double>(std::max(0.0, Left())));
    --Upstream.Waiting;
    if (!Begins)
      return answer(503, Echo + NotRun, "");
    {
      std::lock_guard Lock(Mutex);
      ++Runs[Id];
    }
    ++Upstream.Running;
    Record.write("run       " + Id + " at " + idOf(Number));
    bool InTime = WorkSeconds < Left();
    sleepFor(std::max(0.0, std::min(WorkSeconds, Left())));
    std::string Load = std::to_string(Upstream.Running) + "," +
                       std::to_string(Upstream.Waiting) + "," +
                       std::to_string(Slots);
    --Upstream.Running;
    Upstream.Free.release();
    return answer(InTime ? 200 : 504,
                  Echo + "X-Response-Seal: 3e1b." + Id +
                      "\r\nX-Server-Load: " + Load + "\r\n",
                  std::string(InTime ? Bytes : 0, 'a'));
  }

  double WorkSeconds;
  size_t Bytes;
  std::mutex Mutex;
  std::map<std::string, int> Runs;
  std::array<upstream, Upstreams> All;
  std::atomic<bool> Strays = false;
  std::atomic<int> StrayCount = 0;
  std::atomic<int> Answers = 0; ///< Of the first upstream, with strays on.
};

/// One of the project's processes. It is started again whenever it ends.
struct process {
  std::string Name;
  std::string FirstSettings; ///< Of its first start.
  std::string Settings;      ///< Of later starts.
  pid_t Pid = 0;
  double StartAt = 0;
  bool Stopped = false; ///< By a signal of this test: not started again.
  int OwnEnds = 0;
};

class supervisor {
public:
  explicit supervisor(std::string Folder) : Folder(std::move(Folder)) {}
  ~supervisor() { stop(); }
  supervisor(const supervisor &) = delete;
  supervisor &operator=(const supervisor &) = delete;

  void add(const std::string &Name) {
    process Process;
    Process.Name = Name;
    Process.Settings = Folder + "/" + Name + ".json";
    std::string First = Folder + "/" + Name + ".first.json";
    Process.FirstSettings =
        std::filesystem::exists(First) ? First : Process.Settings;
    Processes.push_back(std::move(Process));
  }
  void start() {
    for (process &Process : Processes)
      launch(Process, Process.FirstSettings);
    Watcher = std::thread([this] { watch(); });
  }
  /// Sends a signal of the platform to a process, which then ends.
  void signal(const std::string &Name, int Signal) {
    std::lock_guard Lock(Mutex);
    for (process &Process : Processes)
      if (Process.Name == Name && Process.Pid > 0) {
        Process.Stopped = true;
        kill(Process.Pid, Signal);
        Record.write("signal " + std::to_string(Signal) + " to " + Name);
      }
  }
  void stop() {
    if (Ending.exchange(true))
      return;
    if (Watcher.joinable())
      Watcher.join();
    for (process &Process : Processes)
      if (Process.Pid > 0) {
        kill(Process.Pid, SIGKILL);
        waitpid(Process.Pid, nullptr, 0);
      }
  }
  /// Ends of their own, by process.
  std::map<std::string, int> ownEnds() {
    std::lock_guard Lock(Mutex);
    std::map<std::string, int> Ends;
    for (const process &Process : Processes)
      if (Process.OwnEnds > 0)
        Ends[Process.Name] = Process.OwnEnds;
    return Ends;
  }

private:
  // The command of the deploy file.
  void launch(process &Process, const std::string &Settings) {
    std::string Program = "target/bin/olivevalved";
    std::string Option = "--settings-env";
    std::string Variable = "OLIVEVALVE_BOOT";
    std::string Setting = Variable + "=" + Settings;
    std::string Path = "PATH=/usr/bin:/bin";
    std::array<char *, 4> Arguments = {Program.data(), Option.data(),
                                       Variable.data(), nullptr};
    std::array<char *, 3> Environment = {Setting.data(), Path.data(), nullptr};
    std::string Log = Folder + "/" + Process.Name + ".log";
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&Actions, 1, 2);
    if (posix_spawn(&Process.Pid, Program.c_str(), &Actions, nullptr,
                    Arguments.data(), Environment.data()) != 0)
      Process.Pid = 0;
    posix_spawn_file_actions_destroy(&Actions);
    // For run.sh, should this program be ended from outside.
    if (std::FILE *Pids = std::fopen((Folder + "/pids").c_str(), "a")) {
      std::fprintf(Pids, "%d\n", int(Process.Pid));
      std::fclose(Pids);
    }
  }

  void watch() {
    while (!Ending) {
      sleepFor(0.01);
      std::lock_guard Lock(Mutex);
      for (process &Process : Processes)
        check(Process);
    }
  }

  void check(process &Process) {
    int Status = 0;
    if (Process.Pid > 0 && waitpid(Process.Pid, &Status, WNOHANG) > 0) {
      Process.Pid = 0;
      std::string How = WIFSIGNALED(Status)
                            ? "signal " + std::to_string(WTERMSIG(Status))
                            : "code " + std::to_string(WEXITSTATUS(Status));
      Record.write(Process.Name +
                   (Process.Stopped ? " has stopped, " : " ended by itself, ") +
                   How);
      if (Process.Stopped)
        return;
      ++Process.OwnEnds;
      Process.StartAt = now() + RestartSeconds;
    }
    if (Process.Pid == 0 && !Process.Stopped && now() >= Process.StartAt)
      launch(Process, Process.Settings);
  }

  std::string Folder;
  std::mutex Mutex;
  std::vector<process> Processes;
  std::thread Watcher;
  std::atomic<bool> Ending = false;
};

/// Sends the first configuration until a control VM acknowledges it.
bool configure(const std::string &RouteKind) {
  std::string Body =
      R"({"version":3,"routes":[{"name":"r-1","host":"desk.example",)"
      R"("path_prefix":"/desk/","kind":")" +
      RouteKind +
      R"(","timeout_ms":20000,"target_ms":300,"priority":2,)"
      R"("max_attempts":1,"public":false,"service":"desk"}],)"
      R"("services":[{"name":"desk","health_path":"/healthz",)"
      R"("max_connections":100}],"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"accounts":[{"name":"school",)"
      R"("keys":["n2ctnfzs989anu6wsjnb"]}]})";
  std::string Request = "POST /v1/routing HTTP/1.1\r\nHost: control\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body;
  double GiveUpAt = now() + 20;
  double Pause = 0.05;
  for (int Try = 0; now() < GiveUpAt && !Interrupted; ++Try) {
    int Host = 1 + Try % ControlVms;
    // The first answer and two redirects.
    for (int Hop = 0; Hop < 3 && Host > 0; ++Hop) {
      connection Connection(
          connectTo(Host, OperatorPort, {.TimeoutSeconds = 1}));
      bool Sent = Connection.open() && Connection.send(Request);
      std::string Head = Sent ? Connection.readHead() : "";
      if (statusOf(Head) == 200) {
        Record.write("configuration 3 acknowledged by control VM " +
                     std::to_string(Host));
        return true;
      }
      std::string Prefix = "http://" + Net + ".";
      std::string To = headerOf(Head, "Location");
      bool Redirects = statusOf(Head) == 307 && To.starts_with(Prefix);
      Host = Redirects ? std::atoi(To.c_str() + Prefix.size()) : 0;
    }
    sleepFor(Pause);
    Pause = std::min(2 * Pause, 1.0);
  }
  return false;
}

bool awaitReady() {
  double GiveUpAt = now() + 20;
  int Ready = 0;
  while (Ready < Gateways && now() < GiveUpAt && !Interrupted) {
    connection Connection(connectTo(FirstGatewayHost + Ready, ReadyPort, {}));
    bool Sent = Connection.open() &&
                Connection.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    if (Sent && statusOf(Connection.readHead()) == 200)
      ++Ready;
    else
      sleepFor(0.1);
  }
  return Ready == Gateways;
}

std::string requestOf(const std::string &Method, const std::string &Id,
                      int DeadlineMs, const std::string &Body) {
  return Method +
         " /desk/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nX-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// One try of a booking, which must not run twice, as its client saw it.
struct booking_try {
  std::string Id;
  int Gateway = 0;
  bool Kept = false; ///< The connection had given an answer before.
  int Status = 0;    ///< 0: there was no whole answer.
  /// The connection ended before any byte of an answer.
  bool EndedWithNothing = false;
  std::string Signature;
  double RetryAfter = 0;
  bool Closes = false;

  /// The status says that the request has not run and never will.
  bool saysNotRun() const {
    return Status == 408 || Status == 421 || Status == 429 || Status == 503;
  }
};

class try_log {
public:
  void add(booking_try Try) {
    std::lock_guard Lock(Mutex);
    Tries.push_back(std::move(Try));
  }
  /// All tries, once the clients have ended.
  const std::vector<booking_try> &all() const { return Tries; }
  int count(const std::function<bool(const booking_try &)> &Matches) const {
    return int(std::count_if(Tries.begin(), Tries.end(), Matches));
  }

private:
  std::mutex Mutex;
  std::vector<booking_try> Tries;
};

constexpr double BookingSeconds = 3;
constexpr std::string_view SecondTry = "r";

void tryBooking(connection &Connection, double SecondsLeft, booking_try &Try) {
  Record.write("sent      " + Try.Id + " to edge-" +
               std::to_string(Try.Gateway));
  bool Sent = Connection.send(requestOf("POST", Try.Id, int(1000 * SecondsLeft),
                                        std::string(600, 'b')));
  std::string Head = Sent ? Connection.readHead() : "";
  Try.EndedWithNothing =
      Head.empty() && !Connection.hasBytes() && !Connection.timedOut();
  size_t Length = lengthOf(Head);
  if (!Head.empty() && Connection.readBody(Length) == Length)
    Try.Status = statusOf(Head);
  Try.Signature = headerOf(Head, "X-Response-Seal");
  Try.RetryAfter = std::atof(headerOf(Head, "Retry-After").c_str());
  Try.Closes = headerOf(Head, "Connection") == "close";
  if (Try.Status != 0)
    Record.write("answered  " + Try.Id + " " + std::to_string(Try.Status) +
                 (Try.Signature.empty() ? ", no signature" : ""));
  else
    Record.write("no answer " + Try.Id + (Try.Kept ? ", kept connection" : "") +
                 (Try.EndedWithNothing ? ", closed" : ", given up"));
}

/// A client that keeps its connection to one gateway and sends one booking
/// after the other. After an answer which says that a booking has not run it
/// sends it once more, on a new connection, with an id of its own.
void book(const std::atomic<bool> &Done, int Gateway, int Client,
          try_log &Log) {
  std::string Name =
      "c" + std::to_string(Gateway) + "x" + std::to_string(Client) + "x";
  std::unique_ptr<connection> Connection;
  bool Kept = false;
  for (int Number = 0; !Done; ++Number) {
    double EndsAt = now() + BookingSeconds;
    for (std::string_view Suffix : {std::string_view(), SecondTry}) {
      if (!Connection) {
        Connection = std::make_unique<connection>(
            connectTo(FirstGatewayHost + Gateway, CallerPort,
                      {.TimeoutSeconds = BookingSeconds}));
        Kept = false;
      }
      if (!Connection->open()) {
        Connection = nullptr;
        sleepFor(0.2);
        break;
      }
      booking_try Try;
      Try.Id = Name + std::to_string(Number);
      Try.Id.append(Suffix);
      Try.Gateway = Gateway;
      Try.Kept = Kept;
      tryBooking(*Connection, EndsAt - now(), Try);
      Kept = Try.Status != 0 && !Try.Closes && !Try.saysNotRun();
      if (!Kept)
        Connection = nullptr;
      bool Again = Try.saysNotRun();
      double Pause = std::min(Try.RetryAfter, (EndsAt - now()) / 3);
      Log.add(std::move(Try));
      if (!Again)
        break;
      sleepFor(std::max(0.0, Pause));
    }
  }
}

/// Runs clients, beside them \p Events, and ends the clients.
void runClients(int ClientsPerGateway, try_log &Log,
                const std::function<void()> &Events) {
  std::atomic<bool> Done = false;
  std::vector<std::thread> Clients;
  for (int Gateway = 0; Gateway < Gateways; ++Gateway)
    for (int Client = 0; Client < ClientsPerGateway; ++Client)
      Clients.emplace_back(
          [&, Gateway, Client] { book(Done, Gateway, Client, Log); });
  Events();
  Done = true;
  for (std::thread &Client : Clients)
    Client.join();
}

void recordTotals(const try_log &Log) {
  auto Has = [&](int Status) {
    return std::to_string(Log.count(
        [=](const booking_try &Try) { return Try.Status == Status; }));
  };
  Record.write("tries " + std::to_string(Log.all().size()) + ": answered 200 " +
               Has(200) + ", 503 " + Has(503) + ", 408 " + Has(408) +
               ", not answered " + Has(0));
}

std::string verdict(const std::string &Rule, int Count, int Allowed,
                    const std::string &What) {
  return Rule + ": " + (Count > Allowed ? "broken, " : "held, ") +
         std::to_string(Count) + " " + What + ", " + std::to_string(Allowed) +
         " allowed";
}

int playForeignEntry(supervisor &Supervisor, platform_list &List,
                     upstream_pool &Pool, bool Trouble) {
  try_log Log;
  runClients(5, Log, [&] {
    sleepFor(4);
    if (Trouble) {
      Record.write("an entry of another writer is listed");
      List.setForeignEntry(
          R"({"id":"x-901","service":"batch-sorter","address":")" +
          addressOf(FirstUpstreamHost + Upstreams, UpstreamPort) +
          R"(","data_hall":"hall-laval","version":"v1","slots":1e999,)"
          R"("state":"ready","cold_ms":0})");
    }
    sleepFor(12);
    List.setForeignEntry("");
    if (Trouble)
      Record.write("the entry is gone");
    sleepFor(6);
  });
  recordTotals(Log);
  // Handed to a replica from a kept connection, which then ended.
  auto IsLost = [&](const booking_try &Try) {
    return Try.Kept && Try.EndedWithNothing && Pool.runs(Try.Id) > 0;
  };
  for (int Gateway = 0; Gateway < Gateways; ++Gateway)
    Record.write("edge-" + std::to_string(Gateway) + " lost " +
                 std::to_string(Log.count([&](const booking_try &Try) {
                   return Try.Gateway == Gateway && IsLost(Try);
                 })));
  int ThreeTimes = 0;
  for (const auto &[Name, Ends] : Supervisor.ownEnds()) {
    Record.write(Name + " ended by itself " + std::to_string(Ends) + " times");
    ThreeTimes += Ends >= 3;
  }
  Record.write("Fault, not judged: processes that ended by themselves three "
               "times or more: " +
               std::to_string(ThreeTimes));
  constexpr int AllowedLosses = 3;
  int Lost = Log.count(IsLost);
  Record.write(verdict("LOST", Lost, AllowedLosses,
                       "requests from kept connections handed to a replica "
                       "and closed with no answer"));
  return Lost > AllowedLosses ? Broken : Held;
}

int playStrayBytes(upstream_pool &Pool, bool Trouble) {
  try_log Log;
  runClients(3, Log, [&] {
    sleepFor(2);
    Pool.setStrays(Trouble);
    sleepFor(5);
    Pool.setStrays(false);
    sleepFor(2);
  });
  recordTotals(Log);
  Record.write("stray messages " + std::to_string(Pool.strays()));
  int Wrong = Log.count([](const booking_try &Try) {
    return Try.Status == 200 && Try.Signature != "3e1b." + Try.Id;
  });
  int FalseRefusals = Log.count([&](const booking_try &Try) {
    return Try.saysNotRun() && Pool.runs(Try.Id) > 0;
  });
  int Doubled = Log.count([&](const booking_try &Try) {
    bool IsSecond = Try.Id.ends_with(SecondTry);
    std::string First = Try.Id.substr(0, Try.Id.size() - SecondTry.size());
    return IsSecond && Pool.runs(Try.Id) > 0 && Pool.runs(First) > 0;
  });
  Record.write("bookings run twice, not judged: " + std::to_string(Doubled));
  Record.write(verdict("REFUSED, not judged", FalseRefusals, 0,
                       "tries answered as not run that ran"));
  Record.write(verdict("MIXED", Wrong, 0,
                       "successes without the signature of a replica"));
  return Wrong > 0 ? Broken : Held;
}

int playPlannedStop(supervisor &Supervisor, upstream_pool &Pool, bool Trouble) {
  constexpr int Callers = 3;
  constexpr int DeadlineMs = 20000;
  constexpr double BytesPerSecond = 600e3;
  std::atomic<int> CutShort = 0;
  std::vector<std::thread> Clients;
  for (int Client = 0; Client < Callers; ++Client)
    Clients.emplace_back([&, Client] {
      connection Connection(
          connectTo(FirstGatewayHost, CallerPort,
                    {.TimeoutSeconds = DeadlineMs / 1000.0, .SlowLink = true}));
      std::string Id = "s" + std::to_string(Client);
      Record.write("sent      " + Id + " to edge-0");
      std::string Head;
      if (Connection.open() &&
          Connection.send(requestOf("GET", Id, DeadlineMs, "")))
        Head = Connection.readHead();
      size_t Length = lengthOf(Head);
      size_t Got = Connection.readBody(Length, BytesPerSecond);
      bool Whole = statusOf(Head) == 200 && Length > 0 && Got == Length;
      CutShort += !Whole;
      Record.write((Whole ? "answered  " : "cut short ") + Id + " status " +
                   std::to_string(statusOf(Head)) + ", " + std::to_string(Got) +
                   " of " + std::to_string(Length) + " bytes, begun " +
                   std::to_string(Pool.runs(Id)) + " times");
    });
  sleepFor(0.5);
  if (Trouble)
    Supervisor.signal("edge-0", SIGTERM);
  for (std::thread &Client : Clients)
    Client.join();
  Record.write(verdict("LOST", CutShort, 0,
                       "of " + std::to_string(Callers) +
                           " answers cut short around a planned stop"));
  return CutShort > 0 ? Broken : Held;
}

int play(const std::string &Scenario, const std::string &Folder, bool Trouble) {
  bool IsStop = Scenario == "planned-stop";
  bool IsStray = Scenario == "stray-bytes";
  // The list and the upstreams last until the program ends, as their threads
  // do.
  static platform_list List;
  static upstream_pool Pool(IsStop || IsStray ? 0.05 : 0.25,
                            IsStop ? 3'600'000 : 800);
  if (!List.start() || !Pool.start()) {
    Record.write("an address is in use");
    return CouldNotRun;
  }
  supervisor Supervisor(Folder);
  for (int I = 0; I < ControlVms; ++I)
    Supervisor.add("core-" + std::to_string(I));
  for (int I = 0; I < Gateways; ++I)
    Supervisor.add("edge-" + std::to_string(I));
  Supervisor.start();
  if (!configure(IsStop ? "safe" : "unsafe") || !awaitReady() ||
      !Supervisor.ownEnds().empty()) {
    Record.write("the processes did not start");
    return CouldNotRun;
  }
  // All gateways know of each other, and all control VMs are voters.
  sleepFor(3);
  if (IsStop)
    return playPlannedStop(Supervisor, Pool, Trouble);
  if (IsStray)
    return playStrayBytes(Pool, Trouble);
  return playForeignEntry(Supervisor, List, Pool, Trouble);
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 5) {
    std::fprintf(stderr, "usage: review_world SCENARIO NET FOLDER TROUBLE\n");
    return CouldNotRun;
  }
  std::signal(SIGTERM, [](int) { Interrupted = true; });
  Net = Values[2];
  int Code = play(Values[1], Values[3], std::string_view(Values[4]) != "0");
  std::fflush(stdout);
  std::_Exit(Code);
}
