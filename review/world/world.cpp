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
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <map>
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
    if (Count <= 0)
      return false;
    Buffer.append(Bytes.data(), size_t(Count));
    return true;
  }

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
    return Runs[Id];
  }

private:
  // They belong to no request: they name none and are not signed.
  bool sendStray(connection &Connection) {
    bool IsSuccess = StrayCount++ % 2 == 0;
    Record.write(std::string("stray     bytes like a ") +
                 (IsSuccess ? "200" : "408") + " from i-0");
    return Connection.send(
        answer(IsSuccess ? 200 : 408, "Content-Type: text/plain\r\n", "ok\n"));
  }

  void work(connection &Connection, int Number) {
    std::string Body(Bytes, 'a');
    bool StrayDue = false;
    for (;;) {
      std::string Head = Connection.readHead();
      if (Head.empty())
        return;
      Connection.readBody(lengthOf(Head));
      std::string Id = headerOf(Head, "X-Attempt-Id");
      if (std::exchange(StrayDue, false) && !sendStray(Connection))
        return;
      Free[size_t(Number)].acquire();
      {
        std::lock_guard Lock(Mutex);
        ++Runs[Id];
      }
      Record.write("run       " + Id + " at i-" + std::to_string(Number));
      sleepFor(WorkSeconds);
      Free[size_t(Number)].release();
      std::string Headers =
          "X-Attempt-Id: " + Id + "\r\nX-Response-Seal: 3e1b." + Id +
          "\r\nX-Server-Load: 1,0," + std::to_string(Slots) + "\r\n";
      if (!Connection.send(answer(200, Headers, Body)))
        return;
      StrayDue = Number == 0 && Strays && ++Answers % StrayEvery == 0;
    }
  }

  /// Under 0.03 of its answers.
  static constexpr int StrayEvery = 34;

  std::atomic<bool> Strays = false;
  std::atomic<int> StrayCount = 0;
  std::atomic<int> Answers = 0; ///< Of the first upstream, with strays on.
  double WorkSeconds;
  size_t Bytes;
  std::mutex Mutex;
  std::map<std::string, int> Runs;
  using slots = std::counting_semaphore<Slots>;
  std::array<slots, Upstreams> Free = {slots(Slots), slots(Slots), slots(Slots),
                                       slots(Slots)};
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
  double GiveUpAt = now() + 20;
  for (int Try = 0; now() < GiveUpAt && !Interrupted; ++Try) {
    int Host = 1 + Try % ControlVms;
    connection Connection(connectTo(Host, OperatorPort, {}));
    std::string Request = "POST /v1/routing HTTP/1.1\r\nHost: control\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body;
    bool Sent = Connection.open() && Connection.send(Request);
    if (Sent && statusOf(Connection.readHead()) == 200) {
      Record.write("configuration 3 acknowledged by control VM " +
                   std::to_string(Host));
      return true;
    }
    sleepFor(0.1);
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

/// What clients saw.
struct client_counts {
  std::atomic<int> Sent = 0;
  std::atomic<int> Answered = 0; ///< With status 200 and the whole body.
  std::atomic<int> Refused = 0;  ///< With another status.
  std::atomic<int> Unanswered = 0;
  /// Requests from kept connections that an upstream had begun and whose
  /// connection the gateway then closed with no answer, by gateway.
  std::array<std::atomic<int>, Gateways> Lost = {};
};

/// A client that keeps its connection to one gateway and sends one request
/// after the other, each of them once.
void bookUntil(const std::atomic<bool> &Done, int Gateway, int Client,
               upstream_pool &Pool, client_counts &Counts) {
  constexpr int DeadlineMs = 3000;
  int Number = 0;
  while (!Done) {
    connection Connection(connectTo(FirstGatewayHost + Gateway, CallerPort,
                                    {.TimeoutSeconds = DeadlineMs / 1000.0}));
    bool Kept = false;
    while (!Done && Connection.open()) {
      std::string Id = "c" + std::to_string(Gateway) + "x" +
                       std::to_string(Client) + "x" + std::to_string(Number++);
      ++Counts.Sent;
      Record.write("sent      " + Id + " to edge-" + std::to_string(Gateway));
      bool Sent = Connection.send(
          requestOf("POST", Id, DeadlineMs, std::string(600, 'b')));
      std::string Head = Sent ? Connection.readHead() : "";
      size_t Length = lengthOf(Head);
      bool Whole = !Head.empty() && Connection.readBody(Length) == Length;
      if (!Whole) {
        bool Began = Pool.runs(Id) > 0;
        ++Counts.Unanswered;
        Counts.Lost[size_t(Gateway)] += Kept && Began;
        Record.write("no answer " + Id + (Kept ? ", kept connection" : "") +
                     (Began ? ", an upstream had begun it" : ""));
        break;
      }
      ++(statusOf(Head) == 200 ? Counts.Answered : Counts.Refused);
      Record.write("answered  " + Id + " " + std::to_string(statusOf(Head)));
      Kept = true;
      if (statusOf(Head) != 200)
        sleepFor(0.3);
      if (headerOf(Head, "Connection") == "close")
        break;
    }
    sleepFor(0.2);
  }
}

int playForeignEntry(supervisor &Supervisor, platform_list &List,
                     upstream_pool &Pool, bool Trouble) {
  constexpr int ClientsPerGateway = 5;
  client_counts Counts;
  std::atomic<bool> Done = false;
  std::vector<std::thread> Clients;
  for (int Gateway = 0; Gateway < Gateways; ++Gateway)
    for (int Client = 0; Client < ClientsPerGateway; ++Client)
      Clients.emplace_back([&, Gateway, Client] {
        bookUntil(Done, Gateway, Client, Pool, Counts);
      });
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
  Done = true;
  for (std::thread &Client : Clients)
    Client.join();
  int Lost = 0;
  for (int Gateway = 0; Gateway < Gateways; ++Gateway) {
    int Count = Counts.Lost[size_t(Gateway)];
    Lost += Count;
    Record.write("edge-" + std::to_string(Gateway) + ": " +
                 std::to_string(Count) +
                 " requests from kept connections begun by an upstream and "
                 "then closed with no answer");
  }
  for (const auto &[Name, Ends] : Supervisor.ownEnds())
    Record.write(Name + " ended by itself " + std::to_string(Ends) + " times");
  Record.write("sent " + std::to_string(Counts.Sent) + ", answered " +
               std::to_string(Counts.Answered) + ", refused " +
               std::to_string(Counts.Refused) + ", not answered " +
               std::to_string(Counts.Unanswered));
  constexpr int AllowedLosses = 3;
  bool LostTooMany = Lost > AllowedLosses;
  Record.write(std::string("LOST: ") + (LostTooMany ? "broken, " : "held, ") +
               std::to_string(Lost) + " lost, 3 allowed");
  return LostTooMany ? Broken : Held;
}

/// What clients saw of a service whose answers are signed.
struct answer_counts {
  std::atomic<int> Sent = 0;
  std::atomic<int> Good = 0;
  std::atomic<int> Wrong = 0; ///< Successes without the upstream's signature.
  std::atomic<int> FalseRefusals = 0; ///< 408, and an upstream ran it.
  std::atomic<int> Doubled = 0;       ///< Bookings that ran for two attempts.
  std::atomic<int> Other = 0;
};

/// One try of a booking. Returns whether its client may send it again.
bool tryBooking(connection &Connection, const std::string &Id,
                upstream_pool &Pool, answer_counts &Counts) {
  ++Counts.Sent;
  Record.write("sent      " + Id);
  std::string Head;
  if (Connection.send(requestOf("POST", Id, 3000, std::string(600, 'b'))))
    Head = Connection.readHead();
  size_t Length = lengthOf(Head);
  bool Whole = !Head.empty() && Connection.readBody(Length) == Length;
  int Status = Whole ? statusOf(Head) : 0;
  std::string Signature = headerOf(Head, "X-Response-Seal");
  Record.write("answered  " + Id + " " + std::to_string(Status) +
               (Signature.empty() ? ", no signature" : ""));
  if (Status == 200) {
    ++(Signature == "3e1b." + Id ? Counts.Good : Counts.Wrong);
    return false;
  }
  if (Status != 408) {
    ++Counts.Other;
    return false;
  }
  // An upstream that has the request begins it within this time.
  sleepFor(0.3);
  Counts.FalseRefusals += Pool.runs(Id) > 0;
  return true;
}

/// A client that keeps its connection. After a 408, which says that the request
/// has not run, it sends the booking once more, on a new connection.
void bookSigned(const std::atomic<bool> &Done, int Gateway, int Client,
                upstream_pool &Pool, answer_counts &Counts) {
  std::string Name =
      "c" + std::to_string(Gateway) + "x" + std::to_string(Client) + "x";
  connect_options Options{.TimeoutSeconds = 3};
  int Number = 0;
  while (!Done) {
    connection Connection(
        connectTo(FirstGatewayHost + Gateway, CallerPort, Options));
    bool Again = false;
    std::string Id;
    while (!Done && !Again && Connection.open()) {
      Id = Name + std::to_string(Number++);
      Again = tryBooking(Connection, Id, Pool, Counts);
    }
    if (!Again)
      continue;
    connection Second(
        connectTo(FirstGatewayHost + Gateway, CallerPort, Options));
    tryBooking(Second, Id + "r", Pool, Counts);
    Counts.Doubled += Pool.runs(Id) > 0 && Pool.runs(Id + "r") > 0;
  }
}

int playStrayBytes(upstream_pool &Pool, bool Trouble) {
  constexpr int ClientsPerGateway = 3;
  answer_counts Counts;
  std::atomic<bool> Done = false;
  std::vector<std::thread> Clients;
  for (int Gateway = 0; Gateway < Gateways; ++Gateway)
    for (int Client = 0; Client < ClientsPerGateway; ++Client)
      Clients.emplace_back([&, Gateway, Client] {
        bookSigned(Done, Gateway, Client, Pool, Counts);
      });
  sleepFor(2);
  Pool.setStrays(Trouble);
  sleepFor(5);
  Pool.setStrays(false);
  sleepFor(2);
  Done = true;
  for (std::thread &Client : Clients)
    Client.join();
  bool IsBroken = Counts.Wrong > 0 || Counts.FalseRefusals > 0;
  Record.write("stray messages " + std::to_string(Pool.strays()) + ", sent " +
               std::to_string(Counts.Sent) + ", good " +
               std::to_string(Counts.Good) + ", other " +
               std::to_string(Counts.Other));
  Record.write(std::string("MIXED: ") +
               (Counts.Wrong > 0 ? "broken, " : "held, ") +
               std::to_string(Counts.Wrong) +
               " successes without the signature of a replica, 0 allowed");
  Record.write(std::string("REFUSED: ") +
               (Counts.FalseRefusals > 0 ? "broken, " : "held, ") +
               std::to_string(Counts.FalseRefusals) +
               " answered 408 and run, 0 allowed; bookings run twice: " +
               std::to_string(Counts.Doubled));
  return IsBroken ? Broken : Held;
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
  Record.write(std::string("LOST: ") + (CutShort > 0 ? "broken, " : "held, ") +
               std::to_string(CutShort) + " of " + std::to_string(Callers) +
               " answers cut short around a planned stop, 0 allowed");
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
