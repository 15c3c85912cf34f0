//===- sidecar_bills.cpp - Bills and outcomes of attempts -----------------===//
//
// The part of sidecar_task that holds a bill until the entry has settled it and
// stores the outcomes of requests that may run only once.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "sidecar/sidecar_task.h"

namespace olivevalve {

namespace {

// A running entry settles a bill at once. If it has not done so after this
// time, its message was lost, and the entry itself reports its copy to control.
constexpr double UnsettledSeconds = 60;
constexpr double OutcomeTimeoutSeconds = 60;

} // namespace

void sidecar_task::onSettle(const wire::settle &Settle) {
  Unsettled.erase(keyOf(Settle.id()));
  if (!Settle.nothing_due())
    Outbox.add(Settle.bill());
}

void sidecar_task::holdBill(const active_attempt &Work) {
  const wire::attempt &Attempt = Work.Attempt;
  wire::usage Usage = Work.Usage.usage().value_or(wire::usage());
  unsettled_bill &Held = Unsettled[keyOf(Attempt.id())];
  Held.Peer = Work.Peer;
  Held.At = steadySeconds();
  Held.Bill.set_entry(Attempt.id().entry());
  Held.Bill.set_request(Attempt.id().request());
  Held.Bill.set_account(Attempt.account());
  wire::bill_item *Item = Held.Bill.add_items();
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
    const unsettled_bill &Held = Item.second;
    bool EntryAlive = Entries.contains(Held.Peer);
    if (!EntryAlive)
      Outbox.add(Held.Bill);
    return !EntryAlive || Now > Held.At + UnsettledSeconds;
  });
}

// The sidecar and not the entry stores the outcome, because it still has it if
// the entry is lost meanwhile.
void sidecar_task::storeOutcome(const active_attempt &Work) {
  wire::envelope Message;
  wire::finish *Finish = Message.mutable_finish();
  Finish->set_account(Work.Attempt.account());
  Finish->set_key(Work.Attempt.idempotency_key());
  *Finish->mutable_id() = Work.Attempt.id();
  Finish->set_status(uint32_t(Work.Status));
  Finish->set_content_type(Work.ContentType);
  if (Work.Outcome.size() <= MaxOutcomeBytes) {
    Finish->set_body(Work.Outcome);
  } else {
    Finish->set_kind(uint32_t(error_kind::AnswerTooLarge));
    Finish->set_body("the request ran; its response is larger than 64 KiB and "
                     "was not stored");
  }
  ++OutcomesPending;
  Control.sendRequest(std::move(Message), OutcomeTimeoutSeconds,
                      [this](const wire::envelope *) { --OutcomesPending; });
}

} // namespace olivevalve
