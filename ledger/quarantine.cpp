//===- quarantine.cpp - Requests that crash upstreams ---------------------===//

#include "ledger/quarantine.h"
#include <algorithm>

namespace olivevalve {

bool quarantine_store::apply(const wire::quarantine_change &Change,
                             double WallSeconds) {
  bool Changed = false;
  if (Change.has_add()) {
    wire::quarantined_request Request = Change.add();
    Request.set_since_wall(WallSeconds);
    Changed = add(std::move(Request));
  } else if (Change.has_release()) {
    Changed = release(digestOf(Change.release()));
  } else if (Change.has_trial()) {
    Changed = grantTrial(Change.trial());
  }
  Revision += Changed;
  return Changed;
}

bool quarantine_store::add(wire::quarantined_request Request) {
  if (contains(digestOf(Request.request())))
    return false;
  if (Requests.size() == MaxRequests)
    makeRoom();
  Requests.push_back(std::move(Request));
  return true;
}

void quarantine_store::makeRoom() {
  auto Oldest =
      std::find_if(Requests.begin(), Requests.end(), [](const auto &Each) {
        return Each.kind() == wire::CRASH_CAUSE_REQUEST;
      });
  Requests.erase(Oldest == Requests.end() ? Requests.begin() : Oldest);
}

bool quarantine_store::grantTrial(const wire::quarantine_trial &Trial) {
  for (wire::quarantined_request &Each : Requests) {
    bool IsNext = digestOf(Each.request()) == digestOf(Trial.cause()) &&
                  Trial.number() == Each.trials() + 1;
    if (!IsNext)
      continue;
    Each.set_trials(Trial.number());
    Each.set_trial_holder(Trial.holder());
    return true;
  }
  return false;
}

bool quarantine_store::release(const short_digest &Request) {
  return std::erase_if(Requests, [&](const auto &Each) {
           return digestOf(Each.request()) == Request;
         }) > 0;
}

bool quarantine_store::contains(const short_digest &Request) const {
  return std::any_of(Requests.begin(), Requests.end(), [&](const auto &Each) {
    return digestOf(Each.request()) == Request;
  });
}

void quarantine_store::save(wire::state_image &Image) const {
  Image.set_quarantine_revision(Revision);
  for (const wire::quarantined_request &Each : Requests)
    *Image.add_quarantined() = Each;
}

void quarantine_store::load(const wire::state_image &Image) {
  Revision = Image.quarantine_revision();
  Requests = {Image.quarantined().begin(), Image.quarantined().end()};
}

} // namespace olivevalve
