//===- crash_evidence.cpp - Requests that crash upstreams -----------------===//

#include "policy/crash_evidence.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Evidence expires this long after the last crash: crashes further apart are
// not counted together.
constexpr double EvidenceSeconds = 600;
// How long a complete response clears a request. Frequent requests get a
// response more often than this.
constexpr double AnsweredSeconds = 60;

} // namespace

void answered_requests::add(const short_digest &Request, double Now) {
  Table[indexOf(Request)] = {.Request = Request,
                             .Until = Now + AnsweredSeconds};
}

bool answered_requests::contains(const short_digest &Request,
                                 double Now) const {
  const entry &Entry = Table[indexOf(Request)];
  return Entry.Request == Request && Now < Entry.Until;
}

crash_evidence::crash_evidence(crash_evidence_options NewOptions)
    : Options(NewOptions), Answered(NewOptions.MaxAnsweredRequests) {}

bool crash_evidence::isCurrent(const record &Record, double Now) const {
  return Now < Record.LastAt + EvidenceSeconds;
}

void crash_evidence::makeRoom() {
  while (Records.size() >= Options.MaxRequests) {
    Records.erase(std::get<short_digest>(*Order.begin()));
    Order.erase(Order.begin());
  }
}

bool crash_evidence::addCrash(const crash_report &Report, double Now) {
  if (Answered.contains(Report.Request, Now))
    return false;
  auto It = Records.find(Report.Request);
  if (It != Records.end() && !isCurrent(It->second, Now)) {
    clear(Report.Request);
    It = Records.end();
  }
  if (It == Records.end()) {
    makeRoom();
    It = Records.try_emplace(Report.Request, record{}).first;
  }
  record &Record = It->second;
  if (Record.Upstreams.contains(Report.Upstream) ||
      Record.Upstreams.size() >= CrashesToQuarantine)
    return false;
  Order.erase(orderOf(Report.Request, Record));
  Record.Upstreams.insert(Report.Upstream);
  Record.LastAt = Now;
  Order.insert(orderOf(Report.Request, Record));
  return true;
}

bool crash_evidence::recordResponse(const short_digest &Request, double Now) {
  Answered.add(Request, Now);
  if (!Records.contains(Request))
    return false;
  clear(Request);
  return true;
}

void crash_evidence::clear(const short_digest &Request) {
  auto It = Records.find(Request);
  if (It == Records.end())
    return;
  Order.erase(orderOf(Request, It->second));
  Records.erase(It);
}

std::set<uint64_t> crash_evidence::crashedUpstreams(const short_digest &Request,
                                                    double Now) const {
  auto It = Records.find(Request);
  if (It == Records.end() || !isCurrent(It->second, Now))
    return {};
  return It->second.Upstreams;
}

bool crash_evidence::shouldQuarantine(const short_digest &Request,
                                      double Now) const {
  auto It = Records.find(Request);
  return It != Records.end() && isCurrent(It->second, Now) &&
         It->second.Upstreams.size() >= CrashesToQuarantine;
}

std::vector<short_digest>
crash_evidence::requestsToQuarantine(double Now) const {
  std::vector<short_digest> Requests;
  for (auto It = Order.rbegin();
       It != Order.rend() && std::get<size_t>(*It) >= CrashesToQuarantine; ++It)
    if (shouldQuarantine(std::get<short_digest>(*It), Now))
      Requests.push_back(std::get<short_digest>(*It));
  return Requests;
}

} // namespace olivevalve
