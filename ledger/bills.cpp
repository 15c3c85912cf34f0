//===- bills.cpp - Billing totals, each request billed once ---------------===//

#include "ledger/bills.h"
#include <iterator>

namespace olivevalve {

bool range_set::insert(uint64_t Number) {
  auto After = Ranges.upper_bound(Number);
  auto Before = After == Ranges.begin() ? Ranges.end() : std::prev(After);
  if (Before != Ranges.end() && Number <= Before->second)
    return false;
  bool Extends = Before != Ranges.end() && Before->second + 1 == Number;
  bool Joins = After != Ranges.end() && Number + 1 == After->first;
  uint64_t Last = Joins ? After->second : Number;
  if (Joins)
    Ranges.erase(After);
  if (Extends)
    Before->second = Last;
  else
    Ranges[Number] = Last;
  return true;
}

bool bill_ledger::add(const wire::bill &Bill) {
  if (!CountedRequests[Bill.entry()].insert(Bill.request())) {
    ++Duplicates;
    return false;
  }
  for (int I = 0; I < Bill.items_size(); ++I) {
    const wire::bill_item &Item = Bill.items(I);
    bill_totals &Sum = Totals[{Bill.account(), Item.model(), Item.version()}];
    // Tokens and cost count for every version that processed the request. The
    // request itself counts once, for the version in the last item, which gave
    // the answer.
    Sum.Requests += I + 1 == Bill.items_size() ? 1 : 0;
    Sum.InputTokens += Item.usage().input_tokens();
    Sum.CachedTokens += Item.usage().cached_tokens();
    Sum.OutputTokens += Item.usage().output_tokens();
    Sum.CostMicros += Item.cost_micros();
  }
  return true;
}

void bill_ledger::save(wire::state_image &Image) const {
  for (const auto &[Entry, Set] : CountedRequests)
    for (const auto &[First, Last] : Set.ranges()) {
      wire::bill_range *Out = Image.add_ranges();
      Out->set_entry(Entry);
      Out->set_first(First);
      Out->set_last(Last);
    }
  for (const auto &[Key, Sum] : Totals) {
    wire::bill_total *Out = Image.add_totals();
    Out->set_account(Key.Account);
    Out->set_model(Key.Model);
    Out->set_version(Key.Version);
    Out->set_requests(Sum.Requests);
    Out->set_input_tokens(Sum.InputTokens);
    Out->set_cached_tokens(Sum.CachedTokens);
    Out->set_output_tokens(Sum.OutputTokens);
    Out->set_cost_micros(Sum.CostMicros);
  }
}

void bill_ledger::load(const wire::state_image &Image) {
  CountedRequests.clear();
  Totals.clear();
  for (const wire::bill_range &In : Image.ranges())
    CountedRequests[In.entry()].insertRange(In.first(), In.last());
  for (const wire::bill_total &In : Image.totals())
    Totals[{In.account(), In.model(), In.version()}] = {
        .Requests = In.requests(),
        .InputTokens = In.input_tokens(),
        .CachedTokens = In.cached_tokens(),
        .OutputTokens = In.output_tokens(),
        .CostMicros = In.cost_micros()};
}

} // namespace olivevalve
