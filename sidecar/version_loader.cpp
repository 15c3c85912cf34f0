//===- version_loader.cpp - Loading of assigned versions ------------------===//

#include "sidecar/version_loader.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr int OkStatus = 200;
constexpr int ConflictStatus = 409;
constexpr double RequestTimeoutSeconds = 5;
// A reply names the models of one engine.
constexpr size_t MaxReplyBytes = 1 << 20;
// Range of fencing numbers for the orders under one assignment. Each version
// whose last request in flight ends causes another order.
constexpr uint64_t FencesPerAssignment = 1 << 16;

} // namespace

std::optional<engine_models> parseEngineModels(std::string_view Body) {
  json Object = parseJsonOrNull(Body);
  bool Valid = Object.is_object() && Object.contains("fence") &&
               Object["fence"].is_number_unsigned() &&
               Object.contains("loaded") && Object["loaded"].is_array();
  if (!Valid)
    return std::nullopt;
  engine_models Models{Object["fence"].get<uint64_t>(), {}};
  for (const json &Name : Object["loaded"])
    if (Name.is_string())
      Models.Loaded.insert(Name.get<std::string>());
  return Models;
}

std::map<version_name, std::string>
versionsToLoad(const version_assignment &Assignment,
               const std::map<version_name, std::string> &Held,
               const std::set<version_name> &InUse) {
  std::map<version_name, std::string> Order;
  for (const auto &[Version, Name] : Held)
    if (InUse.contains(Version) || Assignment.Versions.contains(Version))
      Order.emplace(Version, Name);
  for (const auto &[Version, Name] : Assignment.Versions)
    if (Order.size() < Assignment.Room)
      Order.emplace(Version, Name);
  return Order;
}

version_loader::version_loader(http_client &Http, std::string EngineUrl)
    : Http(Http), Url(std::move(EngineUrl) + "/models") {}

void version_loader::update(const version_assignment &NewAssignment,
                            const std::set<version_name> &InUse) {
  if (Pending)
    return;
  Assignment = NewAssignment;
  for (const auto &[Version, Name] : Assignment.Versions)
    EngineNames[Version] = Name;
  std::map<version_name, std::string> Held;
  for (const version_name &Version : Loaded)
    Held.emplace(Version, EngineNames[Version]);
  auto NewTarget = versionsToLoad(Assignment, Held, InUse);
  Confirmed = Confirmed && NewTarget == Target &&
              Fence / FencesPerAssignment == Assignment.Index;
  Target = std::move(NewTarget);
  if (Confirmed)
    return sendRequest("GET", "");
  sendOrder();
}

void version_loader::sendOrder() {
  uint64_t First = Assignment.Index * FencesPerAssignment;
  Fence = std::max(Fence + 1, First);
  json Names = json::array();
  for (const auto &[Version, Name] : Target)
    Names.push_back(Name);
  sendRequest("PUT", jsonText({{"fence", Fence}, {"models", Names}}));
}

void version_loader::sendRequest(std::string Method, std::string Body) {
  Pending = true;
  auto Answer = std::make_shared<std::string>();
  auto Status = std::make_shared<int>(0);
  fetch_options Request;
  Request.Method = std::move(Method);
  Request.Url = Url;
  Request.Body = std::move(Body);
  Request.Headers = {"Content-Type: application/json"};
  Request.TimeoutSeconds = RequestTimeoutSeconds;
  Request.MaxBodyBytes = MaxReplyBytes;
  Request.OnBytes = [Answer](std::string_view Bytes) {
    Answer->append(Bytes);
    return true;
  };
  Request.OnDone = [this, Answer](const fetch_result &Result) {
    Pending = false;
    if (Result.Error.empty())
      onResponse(Result.Status, *Answer);
    else
      Confirmed = false; // The engine may not have the order: send it again.
  };
  Http.start(std::move(Request));
}

// A higher fencing number at the engine comes either from an earlier start of
// this sidecar, and then the next order uses a number above it; or from a later
// assignment, and then this sidecar waits until it receives that assignment.
void version_loader::onResponse(int Status, std::string_view Body) {
  auto Models = parseEngineModels(Body);
  if (!Models || (Status != OkStatus && Status != ConflictStatus)) {
    Confirmed = false;
    logLine(log_level::Warning,
            "unexpected response from the engine's model list",
            {{"url", Url}, {"status", Status}});
    return;
  }
  // Otherwise another order is in effect, or the engine has restarted.
  Confirmed = Status == OkStatus && Models->Fence == Fence;
  if (Models->Fence / FencesPerAssignment <= Assignment.Index)
    Fence = std::max(Fence, Models->Fence);
  std::set<version_name> NowLoaded;
  for (const auto &[Version, Name] : EngineNames)
    if (Models->Loaded.contains(Name))
      NowLoaded.insert(Version);
  if (NowLoaded == Loaded)
    return;
  Loaded = std::move(NowLoaded);
  if (OnChanged)
    OnChanged();
}

} // namespace olivevalve
