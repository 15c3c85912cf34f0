//===- sidecar_bills.cpp - What a sidecar keeps of answers ----------------===//
//
// The part of sidecar_task that keeps a bill until the entry has settled it,
// and stores the outcome of what may run only once.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "sidecar/sidecar_task.h"

namespace olivevalve {

namespace {

// An entry that lives settles at once; what it has not settled after this was
// lost on the way, and the entry hands its own copy in.
constexpr double UnsettledSeconds = 60;
constexpr double OutcomeSeconds = 60;

} // namespace

void sidecar_task::onSettle(const wire::settle &Settle) {
  Unsettled.erase(keyOf(Settle.id()));
  if (!Settle.nothing_due())
    Outbox.add(Settle.bill());
}

void sidecar_task::keepBill(const running_attempt &Work) {
  const wire::attempt &Attempt = Work.Attempt;
  wire::usage Usage = Work.Usage.usage().value_or(wire::usage());
  unsettled_bill &Kept = Unsettled[keyOf(Attempt.id())];
  Kept.Peer = Work.Peer;
  Kept.At = steadySeconds();
  Kept.Bill.set_entry(Attempt.id().entry());
  Kept.Bill.set_request(Attempt.id().request());
  Kept.Bill.set_account(Attempt.account());
  wire::bill_item *Item = Kept.Bill.add_items();
  const version_spec *Spec =
      Control.config().version({Attempt.model(), Attempt.version()});
  const upstream_spec *Upstream = Control.config().upstream(Options.Upstream);
  Item->set_model(Spec || !Upstream ? Attempt.model() : Upstream->Service);
  Item->set_version(Attempt.version());
  *Item->mutable_usage() = Usage;
  Item->set_cost_micros(Spec ? costMicros(*Spec, Usage) : 0);
}

void sidecar_task::settleForLostEntries(double Now) {
  std::erase_if(Unsettled, [&](const auto &Item) {
    const unsettled_bill &Kept = Item.second;
    bool EntryLives = Entries.contains(Kept.Peer);
    if (!EntryLives)
      Outbox.add(Kept.Bill);
    return !EntryLives || Now > Kept.At + UnsettledSeconds;
  });
}

// The sidecar stores the outcome and not the entry: it alone knows it even when
// the entry died meanwhile.
void sidecar_task::storeOutcome(const running_attempt &Work) {
  wire::envelope Message;
  wire::finish *Finish = Message.mutable_finish();
  Finish->set_account(Work.Attempt.account());
  Finish->set_key(Work.Attempt.idempotency_key());
  *Finish->mutable_id() = Work.Attempt.id();
  Finish->set_status(uint32_t(Work.Status));
  Finish->set_content_type(Work.ContentType);
  if (Work.Outcome.size() <= OutcomeBytes)
    Finish->set_body(Work.Outcome);
  ++OutcomesPending;
  Control.ask(std::move(Message), OutcomeSeconds,
              [this](const wire::envelope *) { --OutcomesPending; });
}

} // namespace olivevalve
