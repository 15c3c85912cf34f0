//===- outbox.cpp - Bills kept until control has them ---------------------===//

#include "lease/outbox.h"
#include "base/clock.h"

namespace olivevalve {

namespace {

constexpr double BatchSeconds = 0.5;
constexpr size_t BatchBills = 500;
constexpr double AnswerSeconds = 5;

} // namespace

bill_outbox::bill_outbox(control_client &Control, struct ev_loop *Loop,
                         double HoldSeconds)
    : Control(Control), HoldSeconds(HoldSeconds),
      Timer(Loop, [this] { sendBatch(steadySeconds()); }) {
  Timer.startRepeating(BatchSeconds);
}

void bill_outbox::add(const wire::bill &Bill) {
  Waiting.push_back({Bill, steadySeconds() + HoldSeconds});
}

void bill_outbox::flush() {
  for (held_bill &Held : Waiting)
    Held.SendAt = 0;
  sendBatch(steadySeconds());
}

void bill_outbox::sendBatch(double Now) {
  if (!InFlight.empty())
    return;
  while (!Waiting.empty() && Waiting.front().SendAt <= Now &&
         InFlight.size() < BatchBills) {
    InFlight.push_back(std::move(Waiting.front()));
    Waiting.pop_front();
  }
  if (InFlight.empty())
    return;
  wire::envelope Message;
  for (const held_bill &Held : InFlight)
    *Message.mutable_bills()->add_bills() = Held.Bill;
  Control.ask(
      std::move(Message), AnswerSeconds, [this](const wire::envelope *Answer) {
        bool Kept = Answer && Answer->has_ack() && Answer->ack().kind() == 0;
        if (!Kept)
          Waiting.insert(Waiting.begin(), InFlight.begin(), InFlight.end());
        InFlight.clear();
        // More than a batch waits after a burst: go on at once, or bills
        // would pile up above a thousand a second.
        if (Kept && Waiting.size() >= BatchBills)
          sendBatch(steadySeconds());
      });
}

} // namespace olivevalve
