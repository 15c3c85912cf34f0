//===- upstream_news.cpp - The list of upstreams, for all gateways --------===//

#include "control/upstream_news.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"

namespace olivevalve {

namespace {

// Nothing new may go to a leaving upstream some 3 s after it is listed so; the
// list itself lags by about one.
constexpr double AskSeconds = 0.9;

} // namespace

upstream_news::upstream_news(struct ev_loop *Loop, const std::string &Address) {
  if (!Address.empty())
    Client = std::make_unique<platform::list_client>(Loop, Address);
}

void upstream_news::tick(double Now, bool Leads) {
  if (!Client || !Leads || Client->asking() || Now < AskedAt + AskSeconds)
    return;
  AskedAt = Now;
  Client->ask([this](const auto &Listed) {
    if (Listed)
      take(*Listed);
  });
}

void upstream_news::take(const std::vector<platform::listed_upstream> &Listed) {
  HadAt = AskedAt;
  wire::upstream_list Next;
  for (const platform::listed_upstream &Each : Listed) {
    wire::listed_upstream *Out = Next.add_upstreams();
    Out->set_id(Each.Id);
    Out->set_service(Each.Service);
    Out->set_address(Each.Address);
    Out->set_data_hall(Each.DataHall);
    Out->set_version(Each.Version);
    Out->set_slots(Each.Slots);
    Out->set_leaving(Each.Leaving);
  }
  uint64_t NextRevision = checksum(Next.SerializeAsString(), 1);
  if (NextRevision == Revision)
    return;
  Revision = NextRevision;
  List = std::move(Next);
  logLine(log_level::Info, "list of upstreams changed",
          {{"listed", int64_t(List.upstreams_size())}});
  if (OnChange)
    OnChange();
}

void upstream_news::fill(uint64_t HeldRevision, double Now,
                         wire::notice &Notice) const {
  if (Revision == 0)
    return;
  Notice.set_upstreams_revision(Revision);
  Notice.set_upstreams_age(Now - HadAt);
  if (Revision != HeldRevision)
    *Notice.mutable_upstreams() = List;
}

} // namespace olivevalve
