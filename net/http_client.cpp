//===- http_client.cpp - HTTP client on the event loop --------------------===//

#include "net/http_client.h"
#include "net/http_reader.h"
#include "net/status_line.h"
#include <utility>

namespace olivevalve {

namespace {

// Connections that libcurl keeps open for reuse.
constexpr long MaxCachedConnections = 64;
// Bounds the heads of one response and of interim responses before it.
constexpr size_t MaxHeadBytes = 256 << 10;

} // namespace

struct http_client::fetch {
  http_client *Client = nullptr;
  fetch_id Id = 0;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  fetch_options Options;
  bool HeadReported = false;
  /// The response head announces a length or chunks.
  bool Framed = false;
  size_t HeadBytes = 0;
  size_t BodyBytes = 0;
  /// The status line begins no response.
  bool IsNoResponse = false;
  /// Why this client has ended the transfer; empty: it has not.
  std::string_view Fault;

  ~fetch() {
    if (Easy)
      curl_easy_cleanup(Easy);
    curl_slist_free_all(Headers);
  }
};

http_client::http_client(struct ev_loop *Loop)
    : Loop(Loop), Multi(curl_multi_init()),
      Timer(Loop, [this] { socketAction(CURL_SOCKET_TIMEOUT, 0); }),
      Prepare(Loop, [this] { cleanUp(); }) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &http_client::onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &http_client::onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
}

http_client::~http_client() {
  for (auto &[Id, Fetch] : Fetches)
    curl_multi_remove_handle(Multi, Fetch->Easy);
  Fetches.clear();
  curl_multi_cleanup(Multi);
}

http_client::fetch_id http_client::start(fetch_options Options) {
  auto Fetch = std::make_unique<fetch>();
  Fetch->Client = this;
  Fetch->Id = NextId++;
  Fetch->Options = std::move(Options);
  Fetch->Easy = curl_easy_init();
  CURL *Easy = Fetch->Easy;
  const fetch_options &O = Fetch->Options;
  curl_easy_setopt(Easy, CURLOPT_URL, O.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, O.Method.c_str());
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   long(O.ConnectSeconds * 1e3));
  if (O.TimeoutSeconds > 0)
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, long(O.TimeoutSeconds * 1e3));
  if (!O.Body.empty() || O.Method == "POST" || O.Method == "PUT") {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, O.Body.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     curl_off_t(O.Body.size()));
  }
  Fetch->Headers = curl_slist_append(Fetch->Headers, "Expect:");
  for (const std::string &Header : O.Headers)
    Fetch->Headers = curl_slist_append(Fetch->Headers, Header.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Fetch->Headers);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &http_client::onBytes);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, Fetch.get());
  if (O.MaySend) {
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &http_client::onConnected);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, Fetch.get());
  }
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &http_client::onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, Fetch.get());
  if (O.SentOnce) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, Fetch.get());
  fetch_id Id = Fetch->Id;
  Fetches.emplace(Id, std::move(Fetch));
  curl_multi_add_handle(Multi, Easy);
  return Id;
}

void http_client::cancel(fetch_id Id) {
  auto It = Fetches.find(Id);
  if (It == Fetches.end())
    return;
  // A handle must not be removed inside a libcurl callback: drop the user's
  // callbacks now and remove the handle before the loop waits again.
  It->second->Options.OnHead = nullptr;
  It->second->Options.OnBytes = nullptr;
  It->second->Options.OnDone = nullptr;
  if (InLibrary) {
    ToCancel.push_back(Id);
    return;
  }
  std::unique_ptr<fetch> Fetch = std::move(It->second);
  Fetches.erase(It);
  curl_multi_remove_handle(Multi, Fetch->Easy);
}

void http_client::resume(fetch_id Id) {
  auto It = Fetches.find(Id);
  if (It != Fetches.end())
    curl_easy_pause(It->second->Easy, CURLPAUSE_CONT);
}

int http_client::onSocket(CURL *, curl_socket_t Socket, int What, void *Context,
                          void *) {
  auto *Self = static_cast<http_client *>(Context);
  auto &Watch = Self->Watches[Socket];
  if (What == CURL_POLL_REMOVE) {
    if (Watch) {
      Watch->stop();
      Self->StoppedWatches.push_back(std::move(Watch));
    }
    Self->Watches.erase(Socket);
    return 0;
  }
  if (!Watch)
    Watch = std::make_unique<descriptor_watch>(
        Self->Loop, [Self, Socket](int Events) {
          int Mask = (Events & EV_READ ? CURL_CSELECT_IN : 0) |
                     (Events & EV_WRITE ? CURL_CSELECT_OUT : 0);
          Self->socketAction(Socket, Mask);
        });
  int Events = (What & CURL_POLL_IN ? EV_READ : 0) |
               (What & CURL_POLL_OUT ? EV_WRITE : 0);
  Watch->start(int(Socket), Events);
  return 0;
}

int http_client::onTimer(CURLM *, long Milliseconds, void *Context) {
  auto *Self = static_cast<http_client *>(Context);
  if (Milliseconds < 0)
    Self->Timer.stop();
  else
    Self->Timer.startOnce(double(Milliseconds) * 1e-3);
  return 0;
}

int http_client::onConnected(void *Context, char *, char *, int, int) {
  auto *Fetch = static_cast<fetch *>(Context);
  bool Allowed = !Fetch->Options.MaySend || Fetch->Options.MaySend();
  return Allowed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

size_t http_client::onHeader(char *Data, size_t Size, size_t Count,
                             void *Context) {
  auto *Fetch = static_cast<fetch *>(Context);
  std::string_view Line(Data, Size * Count);
  std::string_view Name = Line.substr(0, Line.find(':'));
  Fetch->HeadBytes += Line.size();
  if (Fetch->HeadBytes > MaxHeadBytes) {
    Fetch->Fault = "the response heads are larger than 256 KiB";
    return 0;
  }
  if (Name.starts_with("HTTP/")) {
    Fetch->Framed = false; // The head of another response.
    if (responseKindOf(Line) == response_kind::None) {
      Fetch->Fault = "the status line begins no response";
      Fetch->IsNoResponse = true;
      return 0;
    }
  }
  if (sameHeader(Name, "Content-Length") ||
      sameHeader(Name, "Transfer-Encoding"))
    Fetch->Framed = true;
  if (Fetch->Options.OnHeader)
    Fetch->Options.OnHeader(Line);
  return Size * Count;
}

size_t http_client::onBytes(char *Data, size_t Size, size_t Count,
                            void *Context) {
  auto *Fetch = static_cast<fetch *>(Context);
  if (!Fetch->Options.OnBytes)
    return 0;
  size_t Limit = Fetch->Options.MaxBodyBytes;
  if (Limit > 0 && Fetch->BodyBytes + Size * Count > Limit) {
    Fetch->Fault = "the response body is larger than allowed";
    return 0;
  }
  if (!Fetch->HeadReported) {
    Fetch->HeadReported = true;
    long Status = 0;
    const char *Type = nullptr;
    curl_easy_getinfo(Fetch->Easy, CURLINFO_RESPONSE_CODE, &Status);
    curl_easy_getinfo(Fetch->Easy, CURLINFO_CONTENT_TYPE, &Type);
    if (Fetch->Options.OnHead)
      Fetch->Options.OnHead(int(Status), Type ? Type : "");
  }
  if (!Fetch->Options.OnBytes)
    return 0;
  if (!Fetch->Options.OnBytes({Data, Size * Count}))
    return size_t(CURL_WRITEFUNC_PAUSE);
  Fetch->BodyBytes += Size * Count;
  return Size * Count;
}

void http_client::socketAction(curl_socket_t Socket, int Mask) {
  int Running = 0;
  InLibrary = true;
  curl_multi_socket_action(Multi, Socket, Mask, &Running);
  InLibrary = false;
  finishTransfers();
}

void http_client::cleanUp() {
  StoppedWatches.clear();
  for (fetch_id Id : std::exchange(ToCancel, {}))
    cancel(Id);
}

void http_client::finishTransfers() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Code = Message->data.result;
    fetch *Raw = nullptr;
    curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Raw);
    auto It = Fetches.find(Raw->Id);
    std::unique_ptr<fetch> Fetch = std::move(It->second);
    Fetches.erase(It);
    curl_multi_remove_handle(Multi, Fetch->Easy);
    long Status = 0;
    const char *Type = nullptr;
    curl_easy_getinfo(Fetch->Easy, CURLINFO_RESPONSE_CODE, &Status);
    curl_easy_getinfo(Fetch->Easy, CURLINFO_CONTENT_TYPE, &Type);
    if (Code == CURLE_OK && !Fetch->HeadReported && Fetch->Options.OnHead)
      Fetch->Options.OnHead(int(Status), Type ? Type : "");
    if (!Fetch->Options.OnDone)
      continue;
    fetch_result Result{.Status = Fetch->IsNoResponse ? 0 : int(Status)};
    if (Code != CURLE_OK)
      Result.Error = curl_easy_strerror(Code);
    if (!Fetch->Fault.empty())
      Result.Error = Fetch->Fault;
    Result.NeverSent = Code == CURLE_COULDNT_CONNECT;
    Result.TimedOut = Code == CURLE_OPERATION_TIMEDOUT;
    bool NoBody =
        Status == 204 || Status == 304 || Fetch->Options.Method == "HEAD";
    if (!Fetch->Framed && !NoBody)
      Result.End = transfer_end::Closed;
    Fetch->Options.OnDone(Result);
  }
}

} // namespace olivevalve
