//===- admission.cpp - Admission check for attempts -----------------------===//

#include "sidecar/admission.h"
#include "base/error.h"
#include <algorithm>

namespace olivevalve {

namespace {

absl::Status admitModel(const wire::attempt &Attempt,
                        const account_spec &Account,
                        const upstream_spec &Upstream,
                        const admission_state &State, const catalog &Config) {
  version_name Name{Attempt.model(), Attempt.version()};
  if (!allowsVersion(Account, Name))
    return makeError(error_kind::ModelNotAllowed,
                     Name.text() + " is not allowed for " + Account.Name);
  const version_spec *Version = Config.version(Name);
  if (!Version || !takesNewWork(Version->State))
    return makeError(error_kind::VersionWithdrawn,
                     Name.text() + " accepts no new requests");
  const auto &Served = Config.versionsOf(Upstream);
  bool Serves = std::find(Served.begin(), Served.end(), Name) != Served.end();
  if (Upstream.managed())
    Serves = Serves && State.Loaded && State.Loaded->contains(Name);
  if (!Serves)
    return makeError(error_kind::NotLoaded,
                     Upstream.Name + " does not serve " + Name.text());
  return absl::OkStatus();
}

absl::Status admitService(const wire::attempt &Attempt,
                          const account_spec &Account,
                          const upstream_spec &Upstream,
                          const catalog &Config) {
  const service_spec *Service = Config.serviceForPath(Attempt.path());
  if (!Service || Service->Name != Upstream.Service)
    return makeError(error_kind::NotFound,
                     Upstream.Name + " does not serve " + Attempt.path());
  const auto &Allowed = Account.Services;
  if (std::find(Allowed.begin(), Allowed.end(), Service->Name) == Allowed.end())
    return makeError(error_kind::ModelNotAllowed,
                     Service->Name + " is not allowed for " + Account.Name);
  return absl::OkStatus();
}

} // namespace

absl::Status admit(const wire::attempt &Attempt, const admission_state &State,
                   const catalog &Config) {
  if (Attempt.sidecar_incarnation() != State.Incarnation)
    return makeError(error_kind::StaleIncarnation,
                     "the attempt is for an earlier start of this sidecar");
  if (State.Stopping)
    return makeError(error_kind::Draining, State.Upstream + " is stopping");
  if (!State.HasLease)
    return makeError(error_kind::NoLease,
                     State.Upstream + " holds no configuration lease");
  const upstream_spec *Upstream = Config.upstream(State.Upstream);
  if (!Upstream || Upstream->Leaving)
    return makeError(error_kind::Draining,
                     State.Upstream + " is leaving or not configured");
  if (State.Evacuated && State.Evacuated->contains(Upstream->DataHall))
    return makeError(error_kind::Draining,
                     "data hall " + Upstream->DataHall + " is evacuated");
  const account_spec *Account = Config.account(Attempt.account());
  if (!Account)
    return makeError(error_kind::Unauthorized, "no such client account");
  if (Upstream->Service.empty())
    return admitModel(Attempt, *Account, *Upstream, State, Config);
  return admitService(Attempt, *Account, *Upstream, Config);
}

} // namespace olivevalve
