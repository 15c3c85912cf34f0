//===- http_server.cpp - HTTP server on the event loop --------------------===//

#include "net/http_server.h"
#include <algorithm>
#include <charconv>
#include <utility>

namespace olivevalve {

namespace {

// Time limit for receiving a request head, from its first byte to its last.
// Enough for 16 KiB over a slow link.
constexpr double HeaderSeconds = 10;

/// Decodes %XX escapes; invalid escapes are copied unchanged.
std::string percentDecoded(std::string_view Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    bool Escape = Text[I] == '%' && I + 2 < Text.size();
    const char *Digits = Text.data() + I + 1;
    if (Escape &&
        std::from_chars(Digits, Digits + 2, Byte, 16).ptr == Digits + 2) {
      Out.push_back(char(Byte));
      I += 2;
    } else {
      Out.push_back(Text[I]);
    }
  }
  return Out;
}

std::string_view reasonPhrase(int Status) {
  switch (Status / 100) {
  case 2:
    return "OK";
  case 3:
    return "Redirect";
  case 4:
    return "Refused";
  default:
    return "Failed";
  }
}

std::vector<header_field> withType(std::string_view ContentType,
                                   const std::vector<header_field> &Headers) {
  std::vector<header_field> Lines = {
      {"Content-Type", std::string(ContentType)}};
  Lines.insert(Lines.end(), Headers.begin(), Headers.end());
  return Lines;
}

} // namespace

http_exchange::http_exchange(http_server &Server,
                             caller_connection &NewConnection,
                             http_head NewHead, std::string NewBody)
    : Server(&Server), Connection(&NewConnection), Head(std::move(NewHead)),
      Path(percentDecoded(
          std::string_view(Head.Target).substr(0, Head.Target.find('?')))),
      Body(std::move(NewBody)) {}

std::string http_exchange::header(const char *Name) const {
  auto Value = Head.find(Name);
  return Value ? std::string(*Value) : "";
}

std::string http_exchange::query(const char *Name) const {
  size_t QueryMark = Head.Target.find('?');
  std::string_view Rest =
      QueryMark == std::string::npos
          ? std::string_view()
          : std::string_view(Head.Target).substr(QueryMark + 1);
  while (!Rest.empty()) {
    size_t End = std::min(Rest.find('&'), Rest.size());
    std::string_view Pair = Rest.substr(0, End);
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
    size_t Equals = std::min(Pair.find('='), Pair.size());
    if (percentDecoded(Pair.substr(0, Equals)) == Name)
      return percentDecoded(Pair.substr(std::min(Equals + 1, Pair.size())));
  }
  return "";
}

void http_exchange::reply(int Status, std::string_view ContentType,
                          std::string_view ReplyBody,
                          const std::vector<header_field> &Headers) {
  if (Answered || !Connection)
    return;
  Answered = Finished = true;
  Connection->writeWhole(Status, reasonPhrase(Status),
                         withType(ContentType, Headers),
                         std::string(ReplyBody));
  if (Connection && Connection->unsent() == 0)
    Server->settleSoon(*this);
}

void http_exchange::startStream(int Status, std::string_view ContentType,
                                const std::vector<header_field> &Headers) {
  if (Answered || !Connection)
    return;
  Answered = true;
  Connection->begin(Status, reasonPhrase(Status),
                    withType(ContentType, Headers));
}

void http_exchange::write(std::string_view Bytes) {
  if (!Connection || Finished || Bytes.empty())
    return;
  ++Chunks;
  Connection->write(Bytes);
  if (Connection && Connection->unsent() == 0)
    Server->settleSoon(*this);
}

void http_exchange::finish() {
  Finished = true;
  if (Connection && Connection->unsent() == 0)
    Server->settleSoon(*this);
}

void http_exchange::abort() {
  if (!Connection)
    return;
  caller_connection *Aborted = Connection;
  std::function<void()> Gone = OnGone;
  end();
  Aborted->abortResponse();
  if (Gone)
    Gone();
}

void http_exchange::onCallerGone() {
  auto Keep = shared_from_this();
  std::function<void()> Gone = OnGone;
  end();
  if (Gone)
    Gone();
}

void http_exchange::onCallerDrained() { Server->settleSoon(*this); }

// Reports that the kernel has accepted everything written, and completes the
// exchange if the response is finished. Does nothing if bytes are unsent.
void http_exchange::settle() {
  auto Keep = shared_from_this();
  if (!Connection || Connection->unsent() > 0)
    return;
  size_t Accepted = std::exchange(Chunks, 0);
  if (Accepted > 0 && OnDrained)
    OnDrained(Accepted);
  if (!Connection || !Finished || Chunks > 0)
    return;
  caller_connection *Completed = Connection;
  std::function<void()> Complete = OnComplete;
  end();
  Completed->finish();
  if (Complete)
    Complete();
}

void http_exchange::end() {
  Connection = nullptr;
  Server->Live.erase(this);
  OnGone = nullptr;
  OnDrained = nullptr;
  OnComplete = nullptr;
}

http_server::http_server(struct ev_loop *Loop, http_limits NewLimits,
                         handler Handler)
    : Loop(Loop), Limits{.HeaderBytes = NewLimits.MaxHeaderBytes,
                         .BodyBytes = NewLimits.MaxBodyBytes,
                         .HeaderSeconds = HeaderSeconds,
                         .IdleSeconds = double(NewLimits.IdleSeconds)},
      Handler(std::move(Handler)),
      Listener(Loop, [this](int Socket) { Callers.take(Socket); }),
      Callers(Loop, *this,
              {.MaxConnections = NewLimits.MaxConnections,
               .MaxHeldBytes = NewLimits.MaxHeldBytes}),
      Prepare(Loop, [this] { beforeWait(); }) {
  Listener.OnExhausted = [this] { Callers.makeRoom(); };
}

http_server::~http_server() {
  for (http_exchange *Exchange : std::set(Live)) {
    Exchange->OnGone = nullptr;
    Exchange->OnComplete = nullptr;
    Exchange->end();
  }
}

void http_server::onRequest(caller_connection &Connection, http_head Head,
                            std::string Body) {
  auto Exchange = std::make_shared<http_exchange>(
      *this, Connection, std::move(Head), std::move(Body));
  Live.insert(Exchange.get());
  Connection.setProducer(Exchange);
  Handler(Exchange);
}

void http_server::ended(caller_connection &Connection) {
  Callers.ended(Connection);
}

void http_server::settleSoon(http_exchange &Exchange) {
  Due.push_back(Exchange.weak_from_this());
}

void http_server::beforeWait() {
  // A callback may write more, and if the kernel accepts that at once, the
  // exchange is due again.
  while (!Due.empty())
    for (const auto &Weak : std::exchange(Due, {}))
      if (auto Exchange = Weak.lock())
        Exchange->settle();
}

} // namespace olivevalve
