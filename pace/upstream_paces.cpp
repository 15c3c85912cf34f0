//===- upstream_paces.cpp - How fast each upstream is ---------------------===//

#include "pace/upstream_paces.h"
#include <algorithm>
#include <array>
#include <cmath>

namespace olivevalve {

namespace {

// An upstream has its speed for as long as it runs, but one that turns slow is
// to be left within a fraction of a caller's patience. One that gets no more
// requests is forgotten at the same rate, so it is tried again.
constexpr double MemorySeconds = 15;
// Before anything is known: most upstreams of a service are within a factor of
// 2 of the usual speed.
constexpr double PriorDeviation = 0.5;
constexpr double PriorWeight = 1 / (PriorDeviation * PriorDeviation);
// A larger difference is a fault, which failures and silence show, and would
// keep all requests away from an upstream, or send all there.
constexpr double MaxLogPace = 1.4;
// Weight of a time above what was expected, relative to one below it: work that
// waited for other work takes longer, at the busiest upstreams most of it, and
// nothing makes work faster than the upstream is.
constexpr double LongerWeight = 0.3;
// Bounds what one gateway's report counts.
constexpr double MaxToldWeight = 1e4;
// What a gateway that has ended told is dropped below this weight.
constexpr double MinToldWeight = 0.1;
// Changes of the pace that are logged, and how well it has to be known: both in
// logarithms.
constexpr double MinLoggedChange = 0.2;
constexpr double MaxLoggedUncertainty = 0.1;
constexpr double MinLogSeconds = 10;
// Shorter times are those of the loop, not of the upstream.
constexpr double MinSeconds = 1e-3;

constexpr std::array<std::string_view, 3> WorkNames = {"first token", "events",
                                                       "whole response"};

template <class map, class view>
const usual_time *find(const map &Times, const view &Key) {
  auto It = Times.find(Key);
  return It == Times.end() || !It->second.known() ? nullptr : &It->second;
}

template <class map, class view>
usual_time *findOrAdd(map &Times, const view &Key, double LongerWeight = 1) {
  if (auto It = Times.find(Key); It != Times.end())
    return &It->second;
  if (Times.size() >= upstream_paces::MaxClasses)
    return nullptr;
  const auto &[Service, Work, Class] = Key;
  return &Times
              .try_emplace({std::string(Service), Work, std::string(Class)},
                           LongerWeight)
              .first->second;
}

} // namespace

std::string_view nameOf(paced_work Work) { return WorkNames[size_t(Work)]; }

upstream_paces::log_sum upstream_paces::log_sum::discounted(double Now) const {
  double Kept = std::exp(-std::max(0.0, Now - At) / MemorySeconds);
  return {.Sum = Kept * Sum, .Weight = Kept * Weight, .At = Now};
}

// All sums are discounted alike, so parts can be added and taken out at any
// time.
void upstream_paces::log_sum::add(const log_sum &Other, double Factor,
                                  double Now) {
  log_sum Part = Other.discounted(Now);
  *this = discounted(Now);
  Sum += Factor * Part.Sum;
  Weight = std::max(0.0, Weight + Factor * Part.Weight);
}

void upstream_paces::recordTellsSlowdown(std::string_view Service) {
  if (Enabled && !learns(Service))
    Learning.emplace(Service);
}

bool upstream_paces::learns(std::string_view Service) const {
  return Learning.contains(Service);
}

void upstream_paces::record(const work_time &Seen, double Now) {
  if (!learns(Seen.Service) || Seen.Seconds < MinSeconds || Seen.Usual <= 0 ||
      Seen.Slowdown <= 0)
    return;
  class_view Key{Seen.Service, Seen.Work, Seen.Class};
  if (Seen.ExpectedSeconds > 0)
    if (usual_time *Ratio = findOrAdd(Ratios, Key))
      Ratio->record(std::log(Seen.Seconds / Seen.ExpectedSeconds));
  double LogTime = std::log(Seen.Seconds / Seen.Usual / Seen.Slowdown);
  double AtUsualPace = LogTime - std::log(paceOf(Seen.Upstream, Now));
  if (Seen.ExpectedTokens > 0)
    if (usual_time *Output = findOrAdd(Outputs, Key))
      Output->record(AtUsualPace + std::log(Seen.Usual / Seen.ExpectedTokens));
  if (!Seen.TellsPace)
    return;
  usual_time *Times = findOrAdd(Usual, Key, LongerWeight);
  if (!Times)
    return;
  Times->record(AtUsualPace);
  double Longer = AtUsualPace > Times->logMean() ? LongerWeight : 1;
  double Weight = Longer * Times->precision();
  log_sum Part{
      .Sum = Weight * Times->residual(LogTime), .Weight = Weight, .At = Now};
  upstream_entry &Entry = ByUpstream[Seen.Upstream];
  Entry.Own.add(Part, 1, Now);
  Entry.All.add(Part, 1, Now);
}

double upstream_paces::paceOf(uint64_t Upstream, double Now) const {
  auto It = ByUpstream.find(Upstream);
  if (It == ByUpstream.end())
    return 1;
  log_sum Total = It->second.All.discounted(Now);
  double Log = Total.Sum / (Total.Weight + PriorWeight);
  return std::exp(std::clamp(Log, -MaxLogPace, MaxLogPace));
}

double upstream_paces::cautiousPaceOf(uint64_t Upstream, double Now) const {
  double Log = std::log(paceOf(Upstream, Now));
  double Certain = std::abs(Log) - uncertaintyOf(Upstream, Now);
  return std::exp(std::copysign(std::max(0.0, Certain), Log));
}

double upstream_paces::uncertaintyOf(uint64_t Upstream, double Now) const {
  auto It = ByUpstream.find(Upstream);
  double Weight =
      It == ByUpstream.end() ? 0 : It->second.All.discounted(Now).Weight;
  return 1 / std::sqrt(Weight + PriorWeight);
}

double upstream_paces::expectedRatio(std::string_view Service, paced_work Work,
                                     std::string_view Class) const {
  const usual_time *Times = find(Ratios, class_view{Service, Work, Class});
  return Times ? std::exp(std::clamp(Times->logMean(), -MaxLogPace, MaxLogPace))
               : 1;
}

double upstream_paces::outputSeconds(std::string_view Service,
                                     std::string_view Class,
                                     double Tokens) const {
  const usual_time *Times =
      find(Outputs, class_view{Service, paced_work::Events, Class});
  return Times ? Tokens * std::exp(Times->logMean()) : 0;
}

learned_pace upstream_paces::own(uint64_t Upstream, double Now) const {
  auto It = ByUpstream.find(Upstream);
  if (It == ByUpstream.end() || It->second.Own.Weight <= 0)
    return {};
  log_sum Own = It->second.Own.discounted(Now);
  return {.Pace = std::exp(Own.Sum / Own.Weight), .Weight = Own.Weight};
}

void upstream_paces::hear(uint64_t Gateway, uint64_t Upstream,
                          learned_pace Learned, double Now) {
  bool Plausible = std::isfinite(Learned.Pace) && Learned.Pace > 0 &&
                   std::isfinite(Learned.Weight) && Learned.Weight > 0;
  if (!Enabled || !Plausible)
    return;
  double Weight = std::min(Learned.Weight, MaxToldWeight);
  double Log = std::clamp(std::log(Learned.Pace), -MaxLogPace, MaxLogPace);
  upstream_entry &Entry = ByUpstream[Upstream];
  log_sum &Told = Entry.Told[Gateway];
  Entry.All.add(Told, -1, Now);
  Told = {.Sum = Weight * Log, .Weight = Weight, .At = Now};
  Entry.All.add(Told, 1, Now);
  std::erase_if(Entry.Told, [&](const auto &Each) {
    bool Old = Each.second.discounted(Now).Weight < MinToldWeight;
    if (Old)
      Entry.All.add(Each.second, -1, Now);
    return Old;
  });
}

std::optional<double> upstream_paces::paceToLog(uint64_t Upstream, double Now) {
  auto It = ByUpstream.find(Upstream);
  if (It == ByUpstream.end() || Now < It->second.LoggedAt + MinLogSeconds)
    return std::nullopt;
  upstream_entry &Entry = It->second;
  double Pace = paceOf(Upstream, Now);
  if (std::abs(std::log(Pace / Entry.LoggedPace)) < MinLoggedChange ||
      uncertaintyOf(Upstream, Now) > MaxLoggedUncertainty)
    return std::nullopt;
  Entry.LoggedPace = Pace;
  Entry.LoggedAt = Now;
  return Pace;
}

} // namespace olivevalve
