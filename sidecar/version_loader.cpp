//===- version_loader.cpp - Orders versions from an engine ----------------===//

#include "sidecar/version_loader.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr int Ok = 200;
constexpr int Refused = 409;
constexpr double AskSeconds = 5;
// Orders under one assignment before its part of the fence is used up; there is
// one for each version that loses its last work.
constexpr uint64_t OrdersOfIndex = 1 << 16;

} // namespace

std::optional<engine_models> parseEngineModels(std::string_view Body) {
  json Object = json::parse(Body, nullptr, false);
  bool Good = Object.is_object() && Object.contains("fence") &&
              Object["fence"].is_number_unsigned() &&
              Object.contains("loaded") && Object["loaded"].is_array();
  if (!Good)
    return std::nullopt;
  engine_models Models{Object["fence"].get<uint64_t>(), {}};
  for (const json &Name : Object["loaded"])
    if (Name.is_string())
      Models.Loaded.insert(Name.get<std::string>());
  return Models;
}

std::map<version_name, std::string>
versionsToOrder(const load_wish &Wish,
                const std::map<version_name, std::string> &Held,
                const std::set<version_name> &InUse) {
  std::map<version_name, std::string> Order;
  for (const auto &[Version, Name] : Held)
    if (InUse.contains(Version) || Wish.Versions.contains(Version))
      Order.emplace(Version, Name);
  for (const auto &[Version, Name] : Wish.Versions)
    if (Order.size() < Wish.Room)
      Order.emplace(Version, Name);
  return Order;
}

version_loader::version_loader(http_client &Http, std::string EngineUrl)
    : Http(Http), Url(std::move(EngineUrl) + "/models") {}

void version_loader::work(const load_wish &NewWish,
                          const std::set<version_name> &InUse) {
  if (Pending)
    return;
  Wish = NewWish;
  for (const auto &[Version, Name] : Wish.Versions)
    Known[Version] = Name;
  std::map<version_name, std::string> Held;
  for (const version_name &Version : Loaded)
    Held.emplace(Version, Known[Version]);
  auto Next = versionsToOrder(Wish, Held, InUse);
  Ordered = Ordered && Next == Target && Fence / OrdersOfIndex == Wish.Index;
  Target = std::move(Next);
  if (Ordered)
    return ask("GET", "");
  order();
}

void version_loader::order() {
  uint64_t First = Wish.Index * OrdersOfIndex;
  Fence = std::max(Fence + 1, First);
  json Names = json::array();
  for (const auto &[Version, Name] : Target)
    Names.push_back(Name);
  ask("PUT", json({{"fence", Fence}, {"models", Names}}).dump());
}

void version_loader::ask(std::string Method, std::string Body) {
  Pending = true;
  auto Answer = std::make_shared<std::string>();
  auto Status = std::make_shared<int>(0);
  fetch_options Request;
  Request.Method = std::move(Method);
  Request.Url = Url;
  Request.Body = std::move(Body);
  Request.Headers = {"Content-Type: application/json"};
  Request.TimeoutSeconds = AskSeconds;
  Request.OnBytes = [Answer](std::string_view Bytes) {
    Answer->append(Bytes);
    return true;
  };
  Request.OnDone = [this, Answer](const fetch_result &Result) {
    Pending = false;
    if (Result.Error.empty())
      onAnswer(Result.Status, *Answer);
    else
      Ordered = false; // Whether an order was taken is not known: again.
  };
  Http.start(std::move(Request));
}

// An engine that has taken an order with a higher number: of an earlier start
// of this sidecar, then the next number goes above it; or of a later
// assignment, then this sidecar waits until it has heard of that.
void version_loader::onAnswer(int Status, std::string_view Body) {
  auto Models = parseEngineModels(Body);
  if (!Models || (Status != Ok && Status != Refused)) {
    Ordered = false;
    logLine(log_level::Warning, "engine does not take orders of versions",
            {{"url", Url}, {"status", Status}});
    return;
  }
  // Else another's order stands, or the engine has started anew.
  Ordered = Status == Ok && Models->Fence == Fence;
  if (Models->Fence / OrdersOfIndex <= Wish.Index)
    Fence = std::max(Fence, Models->Fence);
  std::set<version_name> Now;
  for (const auto &[Version, Name] : Known)
    if (Models->Loaded.contains(Name))
      Now.insert(Version);
  if (Now == Loaded)
    return;
  Loaded = std::move(Now);
  if (OnChanged)
    OnChanged();
}

} // namespace olivevalve
