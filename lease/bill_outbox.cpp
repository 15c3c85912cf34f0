//===- bill_outbox.cpp - Delivers bills to control ------------------------===//

#include "lease/bill_outbox.h"
#include "base/clock.h"

namespace olivevalve {

namespace {

constexpr double BatchSeconds = 0.5;
constexpr size_t MaxBatchBills = 500;
constexpr double AnswerTimeoutSeconds = 5;

} // namespace

bill_outbox::bill_outbox(control_client &Control, struct ev_loop *Loop,
                         double DelaySeconds)
    : Control(Control), DelaySeconds(DelaySeconds),
      Timer(Loop, [this] { sendBatch(steadySeconds()); }) {
  Timer.startRepeating(BatchSeconds);
}

void bill_outbox::add(const wire::bill &Bill) {
  Queued.push_back({Bill, steadySeconds() + DelaySeconds});
}

void bill_outbox::flush() {
  for (queued_bill &Each : Queued)
    Each.SendAt = 0;
  sendBatch(steadySeconds());
}

void bill_outbox::sendBatch(double Now) {
  if (!InFlight.empty())
    return;
  while (!Queued.empty() && Queued.front().SendAt <= Now &&
         InFlight.size() < MaxBatchBills) {
    InFlight.push_back(std::move(Queued.front()));
    Queued.pop_front();
  }
  if (InFlight.empty())
    return;
  wire::envelope Message;
  for (const queued_bill &Each : InFlight)
    *Message.mutable_bills()->add_bills() = Each.Bill;
  Control.sendRequest(std::move(Message), AnswerTimeoutSeconds,
                      [this](const wire::envelope *Answer) {
                        bool Confirmed = Answer && Answer->has_ack() &&
                                         Answer->ack().kind() == 0;
                        if (!Confirmed)
                          Queued.insert(Queued.begin(), InFlight.begin(),
                                        InFlight.end());
                        InFlight.clear();
                        // After a burst more than a batch is queued. Send the
                        // next one at once: a batch per timer interval is only
                        // a thousand bills a second.
                        if (Confirmed && Queued.size() >= MaxBatchBills)
                          sendBatch(steadySeconds());
                      });
}

} // namespace olivevalve
