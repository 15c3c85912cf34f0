//===- state_machine.cpp - Control's replicated state ---------------------===//

#include "ledger/state_machine.h"
#include "base/error.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Most change ids kept to recognise resent changes. At the design size this is
// the number of changes in five days.
constexpr size_t MaxRememberedChanges = 10000;

// Versions that a change puts into the state rolling. The guard's tests of such
// a version start anew.
std::vector<version_name> newlyRolling(const catalog &Before,
                                       const catalog &After) {
  std::vector<version_name> Names;
  After.forEach<model_spec>([&](const model_spec &Model) {
    for (const auto &[Version, Spec] : Model.Versions) {
      version_name Name{Model.Name, Version};
      const version_spec *Old = Before.version(Name);
      bool WasRolling = Old && (Old->State == version_state::Rolling ||
                                Old->State == version_state::Paused);
      if (Spec.State == version_state::Rolling && !WasRolling)
        Names.push_back(Name);
    }
  });
  return Names;
}

} // namespace

apply_result state_machine::apply(uint64_t Index, const std::string &Data) {
  AppliedIndex = Index;
  wire::command Command;
  apply_result Result;
  if (Data.empty())
    return Result;
  if (!Command.ParseFromString(Data)) {
    Result.Status =
        makeError(error_kind::BadRequest, "the command cannot be read back");
    return Result;
  }
  WallSeconds = std::max(WallSeconds, Command.wall_seconds());
  switch (Command.body_case()) {
  case wire::command::kChange:
    return applyChange(Index, Command.change());
  case wire::command::kClaim:
    Result.Claim = Command.claim().space() == "session"
                       ? Pins.claim(Command.claim(), WallSeconds)
                       : Claims.claim(Command.claim(), WallSeconds);
    return Result;
  case wire::command::kFinish:
    Result.Claim = Claims.finish(Command.finish(), WallSeconds);
    return Result;
  case wire::command::kBills:
    for (const wire::bill &Bill : Command.bills().bills())
      Bills.add(Bill);
    return Result;
  case wire::command::kRatings:
    applyRatings(Command.ratings());
    return Result;
  case wire::command::kRouting:
    Result.Status = Routing.apply(Command.routing());
    return Result;
  case wire::command::kBeginRollout:
    Result.Status = Rollouts.begin(Command.begin_rollout(), WallSeconds);
    return Result;
  case wire::command::kRolloutStep:
    Rollouts.step(Command.rollout_step());
    return Result;
  case wire::command::kQuarantine:
    if (!Quarantine.apply(Command.quarantine(), WallSeconds) &&
        Command.quarantine().has_release())
      Result.Status =
          makeError(error_kind::NotFound, "request is not in quarantine");
    return Result;
  case wire::command::kEvacuation:
    Result.Status = Evacuations.apply(Command.evacuation(), WallSeconds);
    return Result;
  case wire::command::kDutyClaim:
    Duties.claim(Index, Command.duty_claim());
    return Result;
  case wire::command::kUsageWindow:
    Duties.fix(Command.usage_window());
    return Result;
  case wire::command::kUsageResult:
    Duties.finish(Command.usage_result());
    return Result;
  default:
    return Result;
  }
}

apply_result state_machine::applyChange(uint64_t Index,
                                        const wire::change_set &Change) {
  apply_result Result;
  auto Seen = Changes.find(Change.change_id());
  if (Seen != Changes.end()) {
    const change_record &Record = Seen->second;
    Result.Repeated = true;
    Result.ConfigIndex = Record.Index;
    if (Record.Kind)
      Result.Status = makeError(kindFromNumber(Record.Kind), Record.Message);
    return Result;
  }
  catalog Before = Catalog;
  Result.Status = Catalog.applyChanges(Change, Index);
  if (Result.Status.ok()) {
    Result.ConfigIndex = Index;
    for (const version_name &Name : newlyRolling(Before, Catalog))
      Ratings.reset(Name);
  }
  rememberChange(Change.change_id(), Result.ConfigIndex, Result.Status);
  return Result;
}

void state_machine::rememberChange(const std::string &ChangeId, uint64_t Index,
                                   const absl::Status &Status) {
  if (ChangeId.empty())
    return;
  Changes[ChangeId] = {.Index = Index,
                       .Kind = uint32_t(kindOf(Status)),
                       .Message = std::string(messageOf(Status))};
  ChangeOrder.push_back(ChangeId);
  if (ChangeOrder.size() > MaxRememberedChanges) {
    Changes.erase(ChangeOrder.front());
    ChangeOrder.pop_front();
  }
}

void state_machine::applyRatings(const wire::rating_batch &Batch) {
  if (!Batch.reporter().empty()) {
    uint64_t &Last = ReporterSequence[Batch.reporter()];
    if (Batch.sequence() <= Last)
      return;
    Last = Batch.sequence();
  }
  for (const wire::rating &Rating : Batch.ratings())
    Ratings.add(Rating, Catalog);
  for (const wire::exposure &Exposure : Batch.exposures())
    Ratings.addExposure(Exposure);
}

std::string state_machine::image() const {
  wire::state_image Image;
  Image.set_index(AppliedIndex);
  Image.set_config_index(Catalog.index());
  Image.set_wall_seconds(WallSeconds);
  wire::config_delta Full;
  Catalog.fillDelta(0, Full);
  Image.mutable_objects()->Swap(Full.mutable_objects());
  for (const std::string &Id : ChangeOrder) {
    const change_record &Record = Changes.at(Id);
    wire::stored_change *Out = Image.add_changes();
    Out->set_change_id(Id);
    Out->set_index(Record.Index);
    Out->set_kind(Record.Kind);
    Out->set_message(Record.Message);
  }
  for (const auto &[Reporter, Sequence] : ReporterSequence) {
    wire::reporter_mark *Out = Image.add_reporters();
    Out->set_reporter(Reporter);
    Out->set_sequence(Sequence);
  }
  Claims.save(Image);
  Pins.save(Image);
  Bills.save(Image);
  Ratings.save(Image);
  Routing.save(Image);
  Rollouts.save(Image);
  Quarantine.save(Image);
  Evacuations.save(Image);
  Duties.save(Image);
  return Image.SerializeAsString();
}

bool state_machine::restore(const std::string &Bytes) {
  wire::state_image Image;
  if (!Image.ParseFromString(Bytes))
    return false;
  state_machine Next;
  wire::config_delta Full;
  Full.set_index(Image.config_index());
  Full.set_whole(true);
  Full.mutable_objects()->CopyFrom(Image.objects());
  if (!Next.Catalog.applyDelta(Full))
    return false;
  for (const wire::stored_change &In : Image.changes()) {
    Next.Changes[In.change_id()] = {
        .Index = In.index(), .Kind = In.kind(), .Message = In.message()};
    Next.ChangeOrder.push_back(In.change_id());
  }
  for (const wire::reporter_mark &In : Image.reporters())
    Next.ReporterSequence[In.reporter()] = In.sequence();
  Next.AppliedIndex = Image.index();
  Next.WallSeconds = Image.wall_seconds();
  Next.Claims.load(Image);
  Next.Pins.load(Image);
  Next.Bills.load(Image);
  Next.Ratings.load(Image);
  Next.Routing.load(Image);
  Next.Rollouts.load(Image);
  Next.Quarantine.load(Image);
  Next.Evacuations.load(Image);
  Next.Duties.load(Image);
  *this = std::move(Next);
  return true;
}

} // namespace olivevalve
