//===- operator_client.cpp - Calls to control -----------------------------===//

#include "ctl/operator_client.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error.h"
#include "net/http_client.h"

namespace olivevalve {

namespace {

// Wait after all control VMs have been tried.
constexpr double PauseSeconds = 0.2;
// Timeout of one call. Longer than an election and the longest time that
// control takes to answer a change, which it does once the change is in effect.
constexpr double CallSeconds = 12;
// Timeout of a status request. A healthy control VM answers within
// milliseconds; one that hangs is skipped after this time.
constexpr double ProbeSeconds = 1;
// The largest replies list all bills or all nodes.
constexpr size_t MaxReplyBytes = 64 << 20;
constexpr const char *StatusPath = "/v1/status";

error_kind kindForCode(const std::string &Code) {
  for (uint32_t I = 0; I <= uint32_t(error_kind::Last); ++I)
    if (responseFor(error_kind(I)).Code == Code)
      return error_kind(I);
  return error_kind::BadRequest;
}

} // namespace

operator_client::reply operator_client::callOnce(const std::string &Address,
                                                 const std::string &Method,
                                                 const std::string &Path,
                                                 const std::string &Body,
                                                 double Seconds) {
  struct ev_loop *Loop = ev_loop_new(0);
  reply Reply;
  {
    http_client Http(Loop);
    fetch_options Request;
    Request.Method = Method;
    Request.Url = "http://" + Address + Path;
    Request.Body = Body;
    Request.TimeoutSeconds = Seconds;
    Request.MaxBodyBytes = MaxReplyBytes;
    Request.Headers = {"Content-Type: application/json"};
    if (!Options.Key.empty())
      Request.Headers.push_back("Authorization: Bearer " + Options.Key);
    Request.OnBytes = [&](std::string_view Bytes) {
      Reply.Body.append(Bytes);
      return true;
    };
    Request.OnDone = [&](const fetch_result &Result) {
      if (Result.Error.empty())
        Reply.Status = Result.Status;
      ev_break(Loop, EVBREAK_ALL);
    };
    Http.start(std::move(Request));
    ev_run(Loop, 0);
  }
  ev_loop_destroy(Loop);
  return Reply;
}

bool operator_client::mayLead(const std::string &Address) {
  reply Reply = callOnce(Address, "GET", StatusPath, "", ProbeSeconds);
  json Status = parseJsonOrNull(Reply.Body);
  // Other errors, such as a wrong key, are left to the actual call to report.
  if (Reply.Status != 200 || !Status.is_object())
    return Reply.Status != 0;
  return Status.value("leads", false);
}

absl::StatusOr<json> operator_client::call(const std::string &Method,
                                           const std::string &Path,
                                           const std::string &Body) {
  double Deadline = steadySeconds() + Options.TimeoutSeconds;
  std::string LastError = "no control VM answered";
  while (steadySeconds() < Deadline) {
    const std::string &Address = Options.Control[Current];
    if (Path != StatusPath && !mayLead(Address)) {
      LastError = Address + ": does not answer or is not the leader";
      selectNext();
      continue;
    }
    double Left = std::min(CallSeconds, Deadline - steadySeconds());
    reply Reply = callOnce(Address, Method, Path, Body, Left);
    auto Parsed = parseJson(Reply.Body, Address);
    if (Reply.Status == 200 && Parsed.ok())
      return Parsed;
    json Value = Parsed.ok() ? *std::move(Parsed) : json();
    bool HasError = Value.is_object() && Value.contains("error");
    std::string Code = HasError ? Value["error"].value("code", "") : "";
    error_kind Kind = kindForCode(Code);
    std::string Message =
        HasError ? Value["error"].value("message", "") : Reply.Body;
    bool Retry = Reply.Status == 0 || Kind == error_kind::NotLeader ||
                 Kind == error_kind::NoQuorum;
    if (!Retry)
      return makeError(Kind, Message);
    if (HasError)
      LastError = Address + ": " + Message;
    selectNext();
  }
  return makeError(error_kind::NoQuorum,
                   absl::StrCat("no answer within ", Options.TimeoutSeconds,
                                " s: ", LastError));
}

// The pause after each full round gives an election time to finish.
void operator_client::selectNext() {
  Current = (Current + 1) % Options.Control.size();
  if (Current != 0)
    return;
  timespec Pause{0, long(PauseSeconds * 1e9)};
  nanosleep(&Pause, nullptr);
}

absl::StatusOr<json> operator_client::get(const std::string &Path) {
  return call("GET", Path, "");
}

absl::StatusOr<json> operator_client::post(const std::string &Path,
                                           const json &Body) {
  return call("POST", Path, Body.is_null() ? "" : jsonText(Body));
}

} // namespace olivevalve
