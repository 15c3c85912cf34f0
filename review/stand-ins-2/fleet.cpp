//===- fleet.cpp - Processes and stand-ins of the second review -----------===//

#include "fleet.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/bin/olivevalved";
constexpr int ControlPlanePort = 889; // Added to the first internal port.
constexpr int FrontendPort = 887;
constexpr int ReadinessPort = 880;
constexpr int ListPort = 883;
constexpr double MaxWait = 0.01; // Between two tries of the operator.

sockaddr_in socketAddress(const std::string &Address) {
  sockaddr_in Result{};
  size_t Colon = Address.rfind(':');
  Result.sin_family = AF_INET;
  Result.sin_port =
      htons(uint16_t(std::strtol(Address.c_str() + Colon + 1, nullptr, 10)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  return Result;
}

int listenOn(const std::string &Address) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Where = socketAddress(Address);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) != 0 ||
      listen(Socket, 1024) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

bool isFree(const std::string &Address) {
  int Socket = listenOn(Address);
  if (Socket >= 0)
    close(Socket);
  return Socket >= 0;
}

int connectTo(const std::string &Address, double Seconds, int ReceiveBytes) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (ReceiveBytes > 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
  sockaddr_in Where = socketAddress(Address);
  int Code =
      connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where));
  pollfd Poll{.fd = Socket, .events = POLLOUT, .revents = 0};
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if ((Code != 0 && errno != EINPROGRESS) ||
      poll(&Poll, 1, int(Seconds * 1000)) != 1 ||
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
      Error != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

bool sendAll(int Socket, std::string_view Bytes, double Until) {
  while (!Bytes.empty()) {
    ssize_t Count = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count > 0) {
      Bytes.remove_prefix(size_t(Count));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR)
      return false;
    pollfd Poll{.fd = Socket, .events = POLLOUT, .revents = 0};
    double Left = Until - now();
    if (Left <= 0 || poll(&Poll, 1, int(Left * 1000) + 1) != 1)
      return false;
  }
  return true;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return char(std::tolower(C)); });
  return Text;
}

/// Reads a message from a socket: a head, and a body by length, in chunks or
/// until the end.
class message_reader {
public:
  message_reader(int Socket, double Until, double BytesPerSecond)
      : Socket(Socket), Until(Until), BytesPerSecond(BytesPerSecond) {}

  bool line(std::string &Line) {
    for (;;) {
      size_t End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        Line = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return true;
      }
      if (!more())
        return false;
    }
  }
  bool head(std::string &First, std::map<std::string, std::string> &Lines) {
    std::string Line;
    if (!line(First))
      return false;
    while (line(Line)) {
      if (Line.empty())
        return true;
      size_t Colon = Line.find(':');
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Lines[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    return false;
  }
  bool bytes(size_t Count, std::string &Out) {
    for (;;) {
      size_t Taken = std::min(Count, Buffer.size());
      Out.append(Buffer, 0, Taken);
      Buffer.erase(0, Taken);
      Count -= Taken;
      if (Count == 0)
        return true;
      if (!more())
        return false;
    }
  }
  bool body(const std::map<std::string, std::string> &Lines, bool IsAnswer,
            std::string &Out) {
    if (lower(valueOf(Lines, "transfer-encoding")) == "chunked")
      return chunks(Out);
    std::string Length = valueOf(Lines, "content-length");
    if (!Length.empty())
      return bytes(std::strtoull(Length.c_str(), nullptr, 10), Out);
    while (IsAnswer && more()) {
    }
    if (IsAnswer)
      Out = std::move(Buffer);
    return true;
  }

private:
  bool chunks(std::string &Out) {
    for (;;) {
      std::string Line;
      if (!line(Line))
        return false;
      size_t Size = std::strtoull(Line.c_str(), nullptr, 16);
      if (!bytes(Size, Out) || !line(Line))
        return false;
      if (Size == 0)
        return true;
    }
  }
  bool more() {
    std::string Chunk(16 << 10, '\0');
    pollfd Poll{.fd = Socket, .events = POLLIN, .revents = 0};
    double Left = Until - now();
    if (Left <= 0 || poll(&Poll, 1, int(Left * 1000) + 1) != 1)
      return false;
    ssize_t Count = recv(Socket, Chunk.data(), Chunk.size(), 0);
    if (Count <= 0)
      return false;
    if (BytesPerSecond > 0)
      pause(double(Count) / BytesPerSecond);
    Buffer.append(Chunk, 0, size_t(Count));
    return true;
  }

  int Socket;
  double Until;
  double BytesPerSecond;
  std::string Buffer;
};

std::string headOf(const std::string &First, const headers &Lines) {
  std::string Text = First + "\r\n";
  for (const auto &[Name, Value] : Lines)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text;
}

void serveConnection(
    int Socket,
    const std::function<void(const request &, responder &)> &Handler) {
  message_reader Reader(Socket, now() + 1e6, 0);
  for (;;) {
    request Request;
    std::string First;
    if (!Reader.head(First, Request.Lines) ||
        !Reader.body(Request.Lines, false, Request.Body))
      break;
    size_t Space = First.find(' ');
    Request.Method = First.substr(0, Space);
    Request.Path =
        First.substr(Space + 1, First.find(' ', Space + 1) - Space - 1);
    responder Responder(Socket);
    Handler(Request, Responder);
  }
  close(Socket);
}

} // namespace

double now() {
  using namespace std::chrono;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}

void pause(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::strcmp(Value, "0") != 0;
}

record::record(const std::string &Path)
    : File(std::fopen(Path.c_str(), "w")), Start(now()) {}

record::~record() {
  if (File)
    std::fclose(File);
}

void record::line(const std::string &Text) {
  std::lock_guard Lock(Mutex);
  std::printf("%8.3f %s\n", now() - Start, Text.c_str());
  std::fflush(stdout);
  if (!File)
    return;
  std::fprintf(File, "%8.3f %s\n", now() - Start, Text.c_str());
  std::fflush(File);
}

std::string valueOf(const std::map<std::string, std::string> &Lines,
                    const std::string &Name) {
  auto It = Lines.find(Name);
  return It == Lines.end() ? "" : It->second;
}

namespace {

answer exchange(int Socket, const call_options &Options, double Until) {
  answer Answer;
  std::string Text =
      headOf(Options.Method + " " + Options.Path + " HTTP/1.1", Options.Lines);
  if (!Options.Body.empty() || Options.Method == "POST")
    Text += "Content-Length: " + std::to_string(Options.Body.size()) + "\r\n";
  Text += "\r\n" + Options.Body;
  if (!sendAll(Socket, Text, Until))
    return Answer;
  message_reader Reader(Socket, Until, Options.ReadBytesPerSecond);
  std::string First;
  if (Reader.head(First, Answer.Lines)) {
    Answer.Status = int(std::strtol(First.c_str() + 9, nullptr, 10));
    Answer.Whole = Reader.body(Answer.Lines, true, Answer.Body);
  }
  return Answer;
}

} // namespace

answer call(const std::string &Address, const call_options &Options) {
  double Begun = now();
  int ReceiveBytes = Options.ReadBytesPerSecond > 0 ? 64 << 10 : 0;
  int Socket = connectTo(Address, Options.TimeoutSeconds, ReceiveBytes);
  if (Socket < 0)
    return {};
  answer Answer = exchange(Socket, Options, Begun + Options.TimeoutSeconds);
  close(Socket);
  Answer.Seconds = now() - Begun;
  return Answer;
}

kept_connection::~kept_connection() {
  if (Socket >= 0)
    close(Socket);
}

answer kept_connection::call(const std::string &Address,
                             const call_options &Options) {
  double Begun = now();
  if (Socket < 0)
    Socket = connectTo(Address, Options.TimeoutSeconds, 0);
  if (Socket < 0)
    return {};
  answer Answer = exchange(Socket, Options, Begun + Options.TimeoutSeconds);
  if (!Answer.Whole || lower(valueOf(Answer.Lines, "connection")) == "close") {
    close(Socket);
    Socket = -1;
  }
  Answer.Seconds = now() - Begun;
  return Answer;
}

void responder::write(std::string_view Bytes) {
  sendAll(Socket, Bytes, now() + 60);
}

void responder::whole(int Status, const headers &Lines, std::string_view Body) {
  std::string Text = headOf("HTTP/1.1 " + std::to_string(Status) + " X", Lines);
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  write(Text.append(Body));
}

void responder::begin(int Status, const headers &Lines) {
  write(headOf("HTTP/1.1 " + std::to_string(Status) + " X", Lines) +
        "Transfer-Encoding: chunked\r\n\r\n");
}

void responder::piece(std::string_view Bytes) {
  char Size[24];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  write(std::string(Size).append(Bytes).append("\r\n"));
}

void responder::finish() { write("0\r\n\r\n"); }

bool serve(const std::string &Address,
           std::function<void(const request &, responder &)> Handler) {
  int Listener = listenOn(Address);
  if (Listener < 0)
    return false;
  std::thread([Listener, Handler = std::move(Handler)] {
    for (;;) {
      int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([Socket, Handler] {
        serveConnection(Socket, Handler);
      }).detach();
    }
  }).detach();
  return true;
}

bool platform_list::start(const std::string &Address) {
  return serve(Address, [this](const request &, responder &Responder) {
    std::string Text;
    std::lock_guard Lock(Mutex);
    for (const replica &Each : Replicas)
      Text += std::string(Text.empty() ? "" : ",") + R"({"id":")" + Each.Id +
              R"(","service":"svc","address":")" + Each.Address +
              R"(","data_hall":")" + Each.Hall + R"(","version":")" +
              Each.Version + R"(","slots":)" + std::to_string(Each.Slots) +
              R"(,"state":"ready","cold_ms":0})";
    Responder.whole(200, {{"Content-Type", "application/json"}},
                    R"({"upstreams":[)" + Text + R"(],"next_page":null})");
  });
}

void platform_list::put(const replica &Replica) {
  std::lock_guard Lock(Mutex);
  Replicas.push_back(Replica);
}

fleet::fleet(std::string NewBase, size_t CoreMachines)
    : Base(std::move(NewBase)), CoreMachines(CoreMachines) {
  std::signal(SIGPIPE, SIG_IGN);
  const char *Temporary = std::getenv("TMPDIR");
  Folder = std::string(Temporary ? Temporary : "/tmp") + "/olivevalve-review-" +
           std::to_string(getpid());
  std::filesystem::create_directories(Folder);
  for (Port = 20000 + getpid() * 10 % 8000;; Port += 10) {
    bool Free = isFree(listAddress());
    for (size_t I = 1; I <= CoreMachines; ++I)
      Free = Free && isFree(core(I)) && isFree(controlPlane(I));
    for (size_t I = 1; I <= 4; ++I)
      Free = Free && isFree(frontend(I)) && isFree(readiness(I));
    if (Free)
      break;
  }
}

void fleet::stop() {
  for (const auto &[Name, Id] : Processes) {
    kill(Id, SIGCONT);
    kill(Id, SIGKILL);
    waitpid(Id, nullptr, 0);
  }
  Processes.clear();
  std::error_code Ignored;
  const char *Keep = std::getenv("KEEP");
  if (!Keep)
    std::filesystem::remove_all(Folder, Ignored);
}

void fleet::leave(int Code) {
  stop();
  std::fflush(nullptr);
  std::_Exit(Code);
}

std::string fleet::portText(int Offset) const {
  return ":" + std::to_string(Port + Offset);
}

std::string fleet::core(size_t Number) const {
  return Base + "." + std::to_string(Number) + portText(0);
}

std::string fleet::edge(size_t Number) const {
  return Base + "." + std::to_string(100 + Number) + portText(0);
}

std::string fleet::other(size_t Number) const {
  return Base + "." + std::to_string(210 + Number) + portText(ListPort + 1);
}

std::string fleet::controlPlane(size_t Number) const {
  return Base + "." + std::to_string(Number) + portText(ControlPlanePort);
}

std::string fleet::frontend(size_t Number) const {
  return Base + "." + std::to_string(100 + Number) + portText(FrontendPort);
}

std::string fleet::readiness(size_t Number) const {
  return Base + "." + std::to_string(100 + Number) + portText(ReadinessPort);
}

std::string fleet::listAddress() const {
  return Base + ".200" + portText(ListPort);
}

size_t fleet::machineAt(const std::string &Location) const {
  for (size_t I = 1; I <= CoreMachines; ++I)
    if (Location.starts_with("http://" + controlPlane(I) + "/"))
      return I;
  return 0;
}

void fleet::launch(const std::string &Name, const std::string &Settings,
                   int LogTo) {
  std::string Path = Folder + "/" + Name + ".json";
  std::ofstream(Path) << Settings;
  std::string Log = Folder + "/" + Name + ".log";
  std::string Boot = "OLIVEVALVE_BOOT=" + Path;
  pid_t Id = fork();
  if (Id == 0) {
    // If the script ends in any other way, its processes end with it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Out = LogTo >= 0
                  ? LogTo
                  : open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(Out, 1);
    dup2(Out, 2);
    for (int File = 3; File < 1024; ++File)
      close(File);
    const char *Arguments[] = {Program, "--settings-env", "OLIVEVALVE_BOOT",
                               nullptr};
    const char *Environment[] = {Boot.c_str(), "HOME=/tmp", "LANG=C", nullptr};
    execve(Program, const_cast<char **>(Arguments),
           const_cast<char **>(Environment));
    _exit(127);
  }
  Processes[Name] = Id;
}

// As deploy/control.json.in.
void fleet::startControl(size_t Number, bool First) {
  std::string Seeds;
  for (size_t I = 1; I <= std::min<size_t>(3, CoreMachines); ++I)
    Seeds += std::string(I == 1 ? "" : ",") + "\"" + controlPlane(I) + "\"";
  std::string Name = "core-" + std::to_string(Number);
  launch(Name,
         R"({"node":")" + Name + R"(","data_hall":"hall-)" +
             std::string(1, char('a' + (Number - 1) % 3)) +
             R"(","health_address":")" + Base + "." + std::to_string(Number) +
             portText(1) + R"(","drain_seconds":4,"control_seeds":)" +
             R"({"operator_addresses":[)" + Seeds + R"(],"port":)" +
             std::to_string(Port) + R"(},"control":{"address":")" +
             core(Number) + R"(","operator_address":")" + controlPlane(Number) +
             R"(","upstream_list":")" + listAddress() + R"(","data_folder":")" +
             Folder + "/" + Name + R"(-data",)" +
             R"("exposure_share":0.15,"exposure_slack":30,"retry_slack":54,)" +
             R"("retry_window_seconds":10,"may_start_group":)" +
             (First ? "true" : "false") +
             R"(,"tolerated_losses":2,"replace_after_seconds":1.5}})",
         -1);
}

// As deploy/gateway.json.in.
void fleet::startGateway(size_t Number, int LogTo) {
  std::string Seeds;
  for (size_t I = 1; I <= std::min<size_t>(3, CoreMachines); ++I)
    Seeds += std::string(I == 1 ? "" : ",") + "\"" + controlPlane(I) + "\"";
  std::string Name = "edge-" + std::to_string(Number);
  launch(Name,
         R"({"node":")" + Name + R"(","data_hall":"hall-)" +
             std::string(1, char('a' + (Number - 1) % 3)) +
             R"(","health_address":")" + readiness(Number) +
             R"(","unready_seconds":2.7,"drain_seconds":4.8,)" +
             R"("control_seeds":{"operator_addresses":[)" + Seeds +
             R"(],"port":)" + std::to_string(Port) +
             R"(},"gateway":{"address":")" + frontend(Number) +
             R"(","news_address":")" + edge(Number) + R"(","upstream_list":")" +
             listAddress() + R"(","retry_ratio":0.9,"retry_slack":54,)" +
             R"("retry_window_seconds":10,"account_shares":true,)" +
             R"("engine_memory":true,"session_seconds":5}})",
         LogTo);
}

void fleet::signal(const std::string &Name, int Signal) {
  auto It = Processes.find(Name);
  if (It != Processes.end())
    kill(It->second, Signal);
}

void fleet::signalControl(size_t Number, int Signal) {
  signal("core-" + std::to_string(Number), Signal);
}

void fleet::signalGateway(size_t Number, int Signal) {
  signal("edge-" + std::to_string(Number), Signal);
}

bool fleet::awaitGateway(size_t Number, double Seconds) {
  auto It = Processes.find("edge-" + std::to_string(Number));
  for (double Until = now() + Seconds; now() < Until; pause(0.01))
    if (waitpid(It->second, nullptr, WNOHANG) == It->second) {
      Processes.erase(It);
      return true;
    }
  return false;
}

void fleet::awaitControl(size_t Number) {
  auto It = Processes.find("core-" + std::to_string(Number));
  waitpid(It->second, nullptr, 0);
  Processes.erase(It);
}

void fleet::wipe(size_t Number) {
  std::error_code Ignored;
  std::filesystem::remove_all(
      Folder + "/core-" + std::to_string(Number) + "-data", Ignored);
}

pid_t fleet::gatewayId(size_t Number) const {
  auto It = Processes.find("edge-" + std::to_string(Number));
  return It == Processes.end() ? -1 : It->second;
}

answer fleet::operate(const std::string &Method, const std::string &Path,
                      const std::string &Body, size_t Number,
                      size_t *Answered) const {
  std::string Address = controlPlane(Number);
  answer Answer;
  for (int Hops = 0; Hops < 3; ++Hops) {
    if (Answered)
      for (size_t I = 1; I <= CoreMachines; ++I)
        if (controlPlane(I) == Address)
          *Answered = I;
    headers Lines = {{"Host", Address}};
    if (!Body.empty())
      Lines.emplace_back("Content-Type", "application/json");
    Answer = call(Address, {.Method = Method,
                            .Path = Path,
                            .Lines = Lines,
                            .Body = Body,
                            .TimeoutSeconds = 1});
    if (Answer.Status != 307)
      return Answer;
    std::string Location = valueOf(Answer.Lines, "location");
    size_t Begin = Location.find("//") + 2;
    Address = Location.substr(Begin, Location.find('/', Begin) - Begin);
  }
  return Answer;
}

std::optional<size_t> fleet::order(const std::string &Path,
                                   const std::string &Body,
                                   double Seconds) const {
  double Wait = 0.002;
  size_t Number = 1;
  for (double Until = now() + Seconds; now() < Until;) {
    size_t Answered = Number;
    if (operate("POST", Path, Body, Number, &Answered).Status == 200)
      return Answered;
    Number = Number % CoreMachines + 1;
    pause(Wait);
    Wait = std::min(MaxWait, Wait * 1.2);
  }
  return std::nullopt;
}

bool fleet::untilReady(size_t Number, double Seconds) const {
  for (double Until = now() + Seconds; now() < Until; pause(0.05))
    if (call(readiness(Number), {.Path = "/readyz"}).Status == 200)
      return true;
  return false;
}

bool fleet::untilWhole(double Seconds) const {
  for (double Until = now() + Seconds; now() < Until; pause(0.05))
    for (size_t I = 1; I <= CoreMachines; ++I) {
      std::string Body = call(controlPlane(I), {.Path = "/v1/status"}).Body;
      size_t Voters = 0;
      for (size_t At = Body.find("\"voter\": true"); At != std::string::npos;
           At = Body.find("\"voter\": true", At + 1))
        ++Voters;
      if (Body.find("\"leads\": true") != std::string::npos &&
          Voters == CoreMachines)
        return true;
    }
  return false;
}

std::string configuration(uint64_t Version, const std::vector<route> &Routes) {
  std::string Text;
  for (const route &Each : Routes) {
    Text +=
        std::string(Text.empty() ? "" : ",") + R"({"name":"r)" +
        Each.Prefix.substr(1, Each.Prefix.size() - 2) +
        R"(","host":"a.example","path_prefix":")" + Each.Prefix +
        R"(","kind":")" + Each.Kind + R"(","timeout_ms":)" +
        std::to_string(Each.TimeoutMs) +
        R"(,"target_ms":1500,"priority":1,"service":"svc",)" +
        R"("max_attempts":3,"public":false)" +
        (Each.Model ? R"(,"sticky":true,"resumable":true,"gap_ms":1200)" : "") +
        "}";
  }
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" + Text +
         R"(],"services":[{"name":"svc","health_path":"/healthz",)" +
         R"("max_connections":600,"protocol":"h1","tls":false,)" +
         R"("engine":{"slots":64,"cache_tokens":600000,)" +
         R"("models":[{"name":"m0","cost":0.015}]}}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)" +
         R"("accounts":[{"name":"t1","keys":["k1"],"priority":1}]})";
}

} // namespace review
