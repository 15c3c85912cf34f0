//===- http_server.cpp - HTTP towards callers and operators ---------------===//

#include "net/http_server.h"
#include "net/ip_address.h"
#include <algorithm>
#include <cstring>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace olivevalve {

namespace {

// What one read of a stream hands to the connection at most.
// Each open stream holds one: with 16 KiB a thousand streams took 88 MB, most
// of it here and in the connections' own memory.
constexpr size_t StreamBlockBytes = 4 << 10;
// The library reads the error, closes the connection and lets go of the socket
// in turns of its own, and asks for none of them: without these a caller of an
// idle entry waited for the end of its broken stream until its own time was up.
constexpr unsigned RunsAfterAbort = 5;
constexpr double RunAgainSeconds = 1e-3;
// Connections that wait to be taken.
constexpr int Backlog = 1024;

MHD_Response *makeResponse(std::string_view ContentType,
                           const std::vector<http_header> &Headers,
                           MHD_Response *Response) {
  MHD_add_response_header(Response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          std::string(ContentType).c_str());
  for (const http_header &Header : Headers)
    MHD_add_response_header(Response, Header.Name.c_str(),
                            Header.Value.c_str());
  return Response;
}

} // namespace

std::string http_exchange::header(const char *Name) const {
  const char *Value =
      MHD_lookup_connection_value(Connection, MHD_HEADER_KIND, Name);
  return Value ? Value : "";
}

std::string http_exchange::query(const char *Name) const {
  const char *Value =
      MHD_lookup_connection_value(Connection, MHD_GET_ARGUMENT_KIND, Name);
  return Value ? Value : "";
}

void http_exchange::resume() {
  if (!Suspended || Gone)
    return;
  Suspended = false;
  MHD_resume_connection(Connection);
  Server->wake();
}

void http_exchange::reply(int Status, std::string_view ContentType,
                          std::string ReplyBody,
                          const std::vector<http_header> &Headers) {
  if (Answered || Gone)
    return;
  Answered = true;
  Finished = true;
  MHD_Response *Response = makeResponse(
      ContentType, Headers,
      MHD_create_response_from_buffer(ReplyBody.size(), ReplyBody.data(),
                                      MHD_RESPMEM_MUST_COPY));
  MHD_queue_response(Connection, unsigned(Status), Response);
  MHD_destroy_response(Response);
  resume();
}

void http_exchange::startStream(int Status, std::string_view ContentType,
                                const std::vector<http_header> &Headers) {
  if (Answered || Gone)
    return;
  Answered = true;
  MHD_Response *Response =
      makeResponse(ContentType, Headers,
                   MHD_create_response_from_callback(
                       MHD_SIZE_UNKNOWN, StreamBlockBytes,
                       &http_exchange::readChunk, this, nullptr));
  MHD_queue_response(Connection, unsigned(Status), Response);
  MHD_destroy_response(Response);
  resume();
}

void http_exchange::write(std::string Bytes) {
  if (Gone || Finished || Bytes.empty())
    return;
  Chunks.push_back(std::move(Bytes));
  resume();
}

void http_exchange::finish() {
  Finished = true;
  resume();
}

void http_exchange::abort() {
  Aborted = true;
  if (Server)
    Server->RunsDue = RunsAfterAbort;
  resume();
  if (Server)
    Server->wake();
}

// Copies what is there. With nothing there the connection is suspended until
// the next write, so an idle stream costs no turns of the loop.
ssize_t http_exchange::readChunk(void *Context, uint64_t, char *Buffer,
                                 size_t Max) {
  auto *Self = static_cast<http_exchange *>(Context);
  size_t Taken = 0;
  size_t Drained = 0;
  while (!Self->Chunks.empty() && Taken < Max) {
    const std::string &Front = Self->Chunks.front();
    size_t Count = std::min(Max - Taken, Front.size() - Self->ChunkOffset);
    std::copy_n(Front.data() + Self->ChunkOffset, Count, Buffer + Taken);
    Taken += Count;
    Self->ChunkOffset += Count;
    if (Self->ChunkOffset < Front.size())
      continue;
    Self->Chunks.pop_front();
    Self->ChunkOffset = 0;
    ++Drained;
  }
  if (Drained && Self->OnDrained)
    Self->OnDrained(Drained);
  if (Taken)
    return ssize_t(Taken);
  if (Self->Aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (Self->Finished)
    return MHD_CONTENT_READER_END_OF_STREAM;
  Self->Suspended = true;
  MHD_suspend_connection(Self->Connection);
  return 0;
}

http_server::http_server(struct ev_loop *Loop, http_limits Limits,
                         handler Handler)
    : Limits(Limits), Handler(std::move(Handler)),
      Watch(Loop, [this](int) { run(); }), Timeout(Loop, [this] { run(); }) {}

http_server::~http_server() {
  if (!Daemon)
    return;
  Watch.stop();
  // The library ends the process if it is stopped with suspended connections.
  for (http_exchange *Exchange : Live) {
    Exchange->OnGone = nullptr;
    Exchange->OnComplete = nullptr;
    Exchange->OnDrained = nullptr;
    Exchange->Aborted = true;
    Exchange->resume();
  }
  MHD_stop_daemon(Daemon);
}

bool http_server::bind(const std::string &Address) {
  int Socket = listenOn(Address, Backlog, BoundAddress);
  if (Socket < 0)
    return false;
  Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, nullptr,
      nullptr,
      reinterpret_cast<MHD_AccessHandlerCallback>(&http_server::onAccess), this,
      MHD_OPTION_LISTEN_SOCKET, Socket, MHD_OPTION_NOTIFY_COMPLETED,
      reinterpret_cast<MHD_RequestCompletedCallback>(&http_server::onCompleted),
      this, MHD_OPTION_CONNECTION_LIMIT, Limits.MaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, Limits.IdleSeconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, Limits.MaxHeaderBytes,
      MHD_OPTION_END);
  if (!Daemon)
    return false;
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  Watch.start(Info->epoll_fd, EV_READ);
  return true;
}

void http_server::stopListening() {
  if (!Daemon)
    return;
  MHD_socket Socket = MHD_quiesce_daemon(Daemon);
  if (Socket != MHD_INVALID_SOCKET)
    close(Socket);
}

// The library wants to be run after an event, after a resume (which feeds the
// watcher), and when its own nearest timeout is over.
void http_server::run() {
  if (!Daemon)
    return;
  MHD_run(Daemon);
  if (RunsDue > 0) {
    --RunsDue;
    return Timeout.startOnce(RunAgainSeconds);
  }
  MHD_UNSIGNED_LONG_LONG Milliseconds = 0;
  if (MHD_get_timeout(Daemon, &Milliseconds) == MHD_YES)
    Timeout.startOnce(double(Milliseconds) * 1e-3 + 1e-4);
  else
    Timeout.stop();
}

int http_server::onAccess(void *Self, MHD_Connection *Connection,
                          const char *Url, const char *Method, const char *,
                          const char *Upload, size_t *UploadSize,
                          void **Context) {
  return static_cast<http_server *>(Self)->access(Connection, Url, Method,
                                                  Upload, UploadSize, Context);
}

int http_server::access(MHD_Connection *Connection, const char *Url,
                        const char *Method, const char *Upload,
                        size_t *UploadSize, void **Context) {
  if (!*Context) {
    auto Exchange = std::make_shared<http_exchange>();
    Exchange->Connection = Connection;
    Exchange->Server = this;
    Exchange->Method = Method;
    Exchange->Path = Url;
    Exchange->Self = Exchange;
    *Context = Exchange.get();
    Live.insert(Exchange.get());
    return MHD_YES;
  }
  auto *Exchange = static_cast<http_exchange *>(*Context);
  if (*UploadSize > 0) {
    if (Exchange->Body.size() + *UploadSize > Limits.MaxBodyBytes)
      Exchange->Oversized = true;
    if (!Exchange->Oversized)
      Exchange->Body.append(Upload, *UploadSize);
    *UploadSize = 0;
    return MHD_YES;
  }
  if (Exchange->Dispatched)
    return MHD_YES;
  Exchange->Dispatched = true;
  Handler(Exchange->Self);
  if (!Exchange->Answered) {
    Exchange->Suspended = true;
    MHD_suspend_connection(Connection);
  }
  return MHD_YES;
}

void http_server::onCompleted(void *Self, MHD_Connection *, void **Context,
                              int Code) {
  auto *Server = static_cast<http_server *>(Self);
  auto *Raw = static_cast<http_exchange *>(*Context);
  if (!Raw)
    return;
  std::shared_ptr<http_exchange> Exchange = std::move(Raw->Self);
  *Context = nullptr;
  Server->Live.erase(Raw);
  Exchange->Gone = true;
  bool Whole = Code == MHD_REQUEST_TERMINATED_COMPLETED_OK &&
               Exchange->Finished && !Exchange->Aborted;
  if (Whole && Exchange->OnComplete)
    Exchange->OnComplete();
  if (!Whole && Exchange->OnGone)
    Exchange->OnGone();
  Exchange->OnComplete = nullptr;
  Exchange->OnGone = nullptr;
  Exchange->OnDrained = nullptr;
}

} // namespace olivevalve
