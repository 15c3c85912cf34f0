//===- replica.cpp - Simulated upstreams and their list -------------------===//

#include "tests/replica.h"
#include "base/clock.h"
#include <algorithm>
#include <cstdlib>

namespace olivevalve {

namespace {

constexpr double EventGapSeconds = 0.005;
// Of a slow run.
constexpr double SlowFactor = 8;
// Small, so that even short lists have several pages.
constexpr size_t EntriesOfPage = 2;
constexpr std::string_view EventStreamType = "text/event-stream";

std::string queryOf(const std::string &Target, const std::string &Name) {
  size_t Query = Target.find('?');
  size_t At =
      Query == std::string::npos ? Query : Target.find(Name + "=", Query);
  if (At == std::string::npos)
    return "";
  size_t Begin = At + Name.size() + 1;
  return Target.substr(Begin, Target.find('&', Begin) - Begin);
}

int numberOf(const std::string &Target, const std::string &Name, int Default) {
  std::string Text = queryOf(Target, Name);
  return Text.empty() ? Default : std::atoi(Text.c_str());
}

body_framing framingOf(const std::string &Target) {
  std::string Name = queryOf(Target, "frame");
  if (Name == "close")
    return body_framing::Close;
  return Name == "length" ? body_framing::Length : body_framing::Chunks;
}

std::string eventText(int Number) {
  std::string Text = std::to_string(Number);
  return "id: " + Text + "\ndata: " + Text + "\n\n";
}

std::string headerOf(const http_head &Head, const char *Name) {
  auto Value = Head.find(Name);
  return Value ? std::string(*Value) : "";
}

bool hasSharedBlock(const http_head &Head, const std::string &Block) {
  std::string Blocks = headerOf(Head, "X-Prefix-Hash");
  Blocks.resize(std::min(Blocks.rfind(','), Blocks.size()));
  return !Block.empty() &&
         ("," + Blocks).find("," + Block + ":") != std::string::npos;
}

std::string withBody(const std::string &Head, const std::string &Body) {
  return Head + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string chunk(const std::string &Bytes) {
  std::array<char, 24> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  return Size.data() + Bytes + "\r\n";
}

} // namespace

std::string eventsUpTo(int Last) {
  std::string Text;
  for (int I = 1; I <= Last; ++I)
    Text += eventText(I);
  return Text;
}

replica::connection::connection(struct ev_loop *Loop, int Socket,
                                replica &Owner)
    : Stream(Loop, Socket), Reader(http_side::Request),
      Later(Loop, [this, &Owner] { Owner.step(*this); }) {}

replica::replica(struct ev_loop *Loop, replica_options NewOptions)
    : Loop(Loop), Options(std::move(NewOptions)),
      Listener(Loop,
               [this](int Socket) {
                 connection &New =
                     Connections.emplace_back(this->Loop, Socket, *this);
                 New.Stream.OnBytes = [this, &New](std::string_view Bytes) {
                   receive(New, Bytes);
                 };
                 New.Stream.OnEnd = [this, &New](bool) {
                   Cancelled += New.Working;
                   kill(New);
                 };
                 New.Reader.OnBody = [&New](std::string_view Bytes) {
                   New.Body.append(Bytes);
                 };
               }),
      Prepare(Loop, [this] {
        Connections.remove_if([](const connection &C) { return C.Dead; });
      }) {
  Listener.bind("127.0.0.1:0");
}

replica::~replica() = default;

int replica::runs(const std::string &AttemptId) const {
  auto It = Runs.find(AttemptId);
  return It == Runs.end() ? 0 : It->second;
}

int replica::runs() const {
  int Sum = 0;
  for (const auto &[Id, Count] : Runs)
    Sum += Count;
  return Sum;
}

int replica::maxArrivals(double Since, double Seconds) const {
  int Max = 0;
  size_t Begin = 0;
  while (Begin < ArrivedAt.size() && ArrivedAt[Begin] < Since)
    ++Begin;
  size_t First = Begin;
  for (size_t I = Begin; I < ArrivedAt.size(); ++I) {
    while (ArrivedAt[I] - ArrivedAt[First] > Seconds)
      ++First;
    Max = std::max(Max, int(I - First + 1));
  }
  return Max;
}

void replica::stopListening() {
  Crashed = true;
  Listener.close();
}

void replica::exit() {
  stopListening();
  for (connection &Each : Connections)
    kill(Each);
}

void replica::crash() {
  stopListening();
  for (connection &Each : Connections) {
    // A close would end a response without a length or chunks in order.
    if (Each.Working)
      Each.Stream.setResetOnClose(true);
    kill(Each);
  }
}

void replica::kill(connection &Connection) {
  Connection.Dead = true;
  Connection.Working = false;
  Connection.Later.stop();
  Connection.Stream.close();
}

void replica::receive(connection &Connection, std::string_view Bytes) {
  Connection.Reader.feed(Bytes);
  if (Connection.Reader.failed())
    return kill(Connection);
  if (Connection.Reader.done())
    serve(Connection);
}

std::string replica::answerHead(int Status, const std::string &Id,
                                const std::string &Extra) const {
  std::string Confidence = std::to_string(int(this->Confidence * 100));
  std::string Leaving = AnnouncesShutdown ? "Server-Leaving: 1\r\n" : "";
  std::string Limit =
      RequestLimit.empty() ? "" : "Server-Limit: " + RequestLimit + "\r\n";
  return "HTTP/1.1 " + std::to_string(Status) + " Word\r\nX-Attempt-Id: " + Id +
         "\r\nX-Response-Seal: seal-of-" + Options.Id +
         "\r\nX-Server-Load: " + Load + "\r\nX-Confidence: " + Confidence +
         "\r\n" + Leaving + Limit + Extra;
}

void replica::serve(connection &Connection) {
  http_head Head = Connection.Reader.head();
  std::string Body = std::exchange(Connection.Body, {});
  Connection.Reader.next();
  ArrivedAt.push_back(steadySeconds());
  std::string Id = headerOf(Head, "X-Attempt-Id");
  bool Large = headerOf(Head, "X-Model") == "large";
  std::string Fault = queryOf(Head.Target, Large ? "large" : "do");
  if (headerOf(Head, "X-Expect-Instance") != Options.Id)
    return Connection.Stream.write(withBody(answerHead(421, Id, ""), "other"));
  if (Fault == "refuse" || Refuses) {
    std::string RetryLine =
        RetryAfter.empty() ? "" : "Retry-After: " + RetryAfter + "\r\n";
    return Connection.Stream.write(withBody(
        answerHead(RefusalStatus, Id, "X-Not-Executed: 1\r\n" + RetryLine),
        "full"));
  }
  LastHead = Head;
  LastBody = Body;
  ++Runs[Id];
  Connection.Working = true;
  if (Fault == "mute")
    return;
  if (Fault == "reset")
    return kill(Connection);
  if (Fault == "crash" && Head.Target.find("/stream/") == std::string::npos)
    return crash();
  if (CrashesBeforeHead && hasSharedBlock(Head, CrashingBlock))
    return crash();
  if (Fault != "raw" && Head.Target.find("/stream/") != std::string::npos)
    return stream(Connection, Head.Target, Id);
  std::string Text = Options.Id + " got " + Body;
  Text.append(size_t(numberOf(Head.Target, "pad", 0)), '.');
  std::string Answer = withBody(answerHead(200, Id, ""), Text);
  if (Fault == "fail" || Fails)
    Answer = withBody(answerHead(500, Id, ""), "failed");
  if (Fault == "cut")
    Answer.resize(Answer.size() - 3);
  if (Fault == "garble")
    Answer = "!!! this is not HTTP\r\n\r\n";
  if (Fault == "extra")
    Answer += withBody(answerHead(200, "somebody-else", ""), "not yours");
  if (Fault == "raw") {
    const raw_bytes &Bytes = Raw.at(queryOf(Head.Target, "bytes"));
    Answer = Bytes.Begin;
    Connection.Repeat = Bytes.Repeat;
  }
  if (Fault == "unframed") {
    Text.resize(std::min(
        Text.size(), size_t(numberOf(Head.Target, "cut", int(Text.size())))));
    Answer = answerHead(200, Id, "Connection: close\r\n") + "\r\n" + Text;
  }
  Connection.ExitAfter = numberOf(Head.Target, "exit", 0) > 0;
  Connection.CloseAfter = Fault == "cut" || Fault == "unframed" ||
                          (Fault == "raw" && Connection.Repeat.empty());
  Connection.Answer = std::move(Answer);
  Connection.Later.startOnce(numberOf(Head.Target, "late", 0) * 1e-3);
}

void replica::stream(connection &Connection, const std::string &Target,
                     const std::string &Id) {
  std::string Last = headerOf(LastHead, "Last-Event-Id");
  Connection.NextEvent = Last.empty() ? 1 : std::atoi(Last.c_str()) + 1;
  Connection.LastEvent = numberOf(Target, "events", 5);
  bool Slow = IsSlow && Runs.size() % 2 == 0;
  Connection.GapSeconds = EventGapSeconds * (Slow ? SlowFactor : 1);
  int Break = numberOf(Target, "break", -1);
  Connection.Crashes = queryOf(Target, "do") == "crash";
  if (hasSharedBlock(LastHead, CrashingBlock)) {
    Connection.Crashes = true;
    Break = 0;
  }
  Connection.BreakAfter = Last.empty() || Connection.Crashes ? Break : -1;
  int Run = RunsAnywhere ? RunsAnywhere(Id) : runs(Id);
  bool IsCut = Run <= numberOf(Target, "cut_runs", 1);
  Connection.CutAfter = IsCut ? numberOf(Target, "cut", -1) : -1;
  Connection.Proper = numberOf(Target, "proper", 0) > 0;
  Connection.Exits = numberOf(Target, "exit", 0) > 0;
  Connection.Framing = framingOf(Target);
  Connection.PlainBody = queryOf(Target, "body");
  size_t Length = Connection.PlainBody.size();
  for (int I = Connection.NextEvent;
       Connection.PlainBody.empty() && I <= Connection.LastEvent; ++I)
    Length += eventText(I).size();
  if (Connection.CutAfter >= 0 && Connection.Proper)
    Length = size_t(Connection.CutAfter);
  std::string Type = queryOf(Target, "type");
  std::string Lines;
  if (Type != "none")
    Lines += "Content-Type: " +
             (Type.empty() ? std::string(EventStreamType) : Type) + "\r\n";
  if (Connection.Framing == body_framing::Chunks)
    Lines += "Transfer-Encoding: chunked\r\n";
  if (Connection.Framing == body_framing::Length)
    Lines += "Content-Length: " + std::to_string(Length) + "\r\n";
  Connection.Answer = answerHead(200, Id, Lines) + "\r\n";
  Connection.Later.startOnce(numberOf(Target, "late", 0) * 1e-3);
}

void replica::step(connection &Connection) {
  if (!Connection.Answer.empty()) {
    Connection.Stream.write(std::exchange(Connection.Answer, {}));
    // The head must arrive before the reset of a crash.
    if (Connection.Crashes && Connection.BreakAfter == 0)
      return Connection.Later.startOnce(EventGapSeconds);
  }
  if (!Connection.Repeat.empty()) {
    if (Connection.Stream.unsent() == 0)
      Connection.Stream.write(Connection.Repeat);
    return Connection.Later.startOnce(0);
  }
  if (Connection.LastEvent < 0) {
    Connection.Working = false;
    if (Connection.ExitAfter)
      return exit();
    if (Connection.CloseAfter)
      Connection.Stream.closeWhenSent();
    return;
  }
  if (!Connection.PlainBody.empty()) {
    Connection.NextEvent = Connection.LastEvent + 1;
    return writePart(Connection, std::exchange(Connection.PlainBody, {}));
  }
  int Event = Connection.NextEvent;
  if (Connection.BreakAfter >= 0 && Event > Connection.BreakAfter) {
    if (Connection.Crashes)
      return crash();
    std::string Part = eventText(Event);
    Connection.CutAfter = int(Part.find("ta: "));
    Connection.Proper = false;
    return writePart(Connection, std::move(Part));
  }
  if (Event > Connection.LastEvent)
    return endStream(Connection);
  ++Connection.NextEvent;
  writePart(Connection, eventText(Event));
}

void replica::writePart(connection &Connection, std::string Part) {
  int &Left = Connection.CutAfter;
  bool Cut = Left >= 0 && Part.size() >= size_t(Left);
  if (Cut)
    Part.resize(size_t(Left));
  else if (Left >= 0)
    Left -= int(Part.size());
  if (!Part.empty())
    Connection.Stream.write(
        Connection.Framing == body_framing::Chunks ? chunk(Part) : Part);
  if (!Cut)
    return Connection.Later.startOnce(Connection.GapSeconds);
  if (Connection.Exits)
    return exit();
  return Connection.Proper ? endStream(Connection) : kill(Connection);
}

void replica::endStream(connection &Connection) {
  if (Connection.Framing == body_framing::Chunks)
    Connection.Stream.write("0\r\n\r\n");
  Connection.LastEvent = -1;
  Connection.Working = false;
  if (Connection.Framing == body_framing::Close)
    kill(Connection);
}

upstream_list_stand_in::upstream_list_stand_in(struct ev_loop *Loop,
                                               const std::string &At)
    : Server(Loop, {}, [this](const std::shared_ptr<http_exchange> &Exchange) {
        ++RequestCount;
        if (Refusals > 0) {
          --Refusals;
          return Exchange->reply(429, "application/json", "{}");
        }
        std::string Page = Exchange->query("pageToken");
        auto It = Page.empty() ? Entries.begin() : Entries.lower_bound(Page);
        json List = json::array();
        for (; It != Entries.end() && List.size() < EntriesOfPage; ++It)
          List.push_back(It->second);
        json Next = It == Entries.end() ? json() : json(It->first);
        std::string Body =
            json({{"upstreams", List}, {"next_page", Next}}).dump();
        Body.insert(Body.find('[') + 1, Garbage);
        Exchange->reply(200, "application/json", Body);
      }) {
  Server.bind(At);
  Address = Server.address();
}

void upstream_list_stand_in::put(const replica &Replica, const std::string &At,
                                 const std::string &State) {
  const replica_options &Options = Replica.options();
  Entries[Options.Id] = {{"id", Options.Id},
                         {"service", Options.Service},
                         {"address", At},
                         {"data_hall", Options.DataHall},
                         {"version", Options.Version},
                         {"slots", 8},
                         {"state", State},
                         {"cold_ms", 0}};
}

void upstream_list_stand_in::setCold(const std::string &Id, double Seconds) {
  Entries.at(Id)["cold_ms"] = Seconds * 1000;
}

} // namespace olivevalve
