//===- quarantine_keeper.cpp - Decides which requests to quarantine -------===//

#include "control/quarantine_keeper.h"
#include <algorithm>

namespace olivevalve {

namespace {

// By then a proposal is in the book or lost with a leader.
constexpr double ProposalSeconds = 2;

wire::quarantine_change releaseOf(const short_digest &Request) {
  wire::quarantine_change Change;
  fillName(Request, *Change.mutable_release());
  return Change;
}

} // namespace

void quarantine_keeper::heard(const wire::crash_news &News, double Now) {
  for (const wire::request_name &Name : News.answered())
    Evidence.answered(digestOf(Name), Now);
  for (const wire::crash_report &Report : News.crashes())
    Evidence.ended(
        {.Request = digestOf(Report.request()), .Upstream = Report.upstream()},
        Now);
}

// A request that is let go is judged anew, whoever let it go: gateways tell
// what they saw before for some time more.
void quarantine_keeper::follow(const quarantine_book &Book, double Now) {
  std::erase_if(KnownSince, [&](const auto &Each) {
    bool LetGo = !Book.contains(Each.first);
    if (LetGo)
      Evidence.answered(Each.first, Now);
    return LetGo;
  });
  for (const wire::quarantined_request &Each : Book.all())
    KnownSince.try_emplace(digestOf(Each.request()), Now);
}

bool quarantine_keeper::mayPropose(const short_digest &Request, double Now) {
  double &At = ProposedAt[Request];
  if (At > 0 && Now < At + ProposalSeconds)
    return false;
  At = Now;
  return true;
}

std::vector<wire::quarantine_change>
quarantine_keeper::changes(const quarantine_book &Book, double Now) {
  follow(Book, Now);
  std::erase_if(ProposedAt, [&](const auto &Each) {
    return Now >= Each.second + ProposalSeconds;
  });
  std::vector<wire::quarantine_change> Changes;
  for (const auto &[Request, Since] : KnownSince)
    if ((Evidence.answeredLately(Request, Now) || Now >= Since + MostSeconds) &&
        mayPropose(Request, Now))
      Changes.push_back(releaseOf(Request));
  for (const short_digest &Request : Evidence.allConvicted(Now)) {
    if (Book.contains(Request) || !mayPropose(Request, Now))
      continue;
    wire::quarantined_request &Add = *Changes.emplace_back().mutable_add();
    fillName(Request, *Add.mutable_request());
    for (uint64_t Upstream : Evidence.endsUnder(Request, Now))
      Add.add_upstreams(Upstream);
  }
  return Changes;
}

double quarantine_keeper::secondsLeft(const short_digest &Request,
                                      double Now) const {
  auto It = KnownSince.find(Request);
  double Since = It == KnownSince.end() ? Now : It->second;
  return std::max(0.0, Since + MostSeconds - Now);
}

} // namespace olivevalve
