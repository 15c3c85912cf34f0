//===- upstream_table.h - Upstreams that an entry speaks to -----*- C++ -*-===//
//
// The upstreams of the platform's list with what this entry knows of each: its
// own requests in flight, the load it told last, and failures.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_TABLE_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_TABLE_H

#include "platform/headers.h"
#include "platform/upstream_list.h"
#include "policy/answer_tally.h"
#include "policy/warming.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace olivevalve {

class upstream_connection;

/// What gateways have under way at an upstream.
struct upstream_work {
  double PromptSeconds = 0; ///< Of its time, for prompts not read yet.
  uint32_t InFlight = 0;
};

/// One incarnation.
struct upstream {
  platform::listed_upstream Listed;
  bool Gone = false;      ///< Not listed any more.
  bool Evacuated = false; ///< With all of its data hall.
  uint64_t Place = 0;     ///< In the order of the service, alike everywhere.
  uint32_t InFlight = 0;
  double PromptSeconds = 0; ///< Of its time, for own prompts not read yet.
  uint32_t Connections = 0;
  std::vector<upstream_connection *> Idle;
  answer_tally Answers; ///< To all gateways that are heard of.
  warming_pace Warming; ///< Of this gateway's requests while it is cold.

  /// Requests that run or wait there: what it told last, corrected by what
  /// this entry and those that it hears of have sent and got back since.
  /// \p Others: what these have there now.
  double load(double Now, uint32_t Others = 0) const;
  /// What it told is not too old to say anything of the present.
  bool loadKnown(double Now) const;
  bool suspect(double Now) const { return Now < SuspectUntil || doubted(Now); }
  /// Ended, by the word of another gateway.
  bool doubted(double Now) const { return Now < DoubtedUntil; }
  void doubt(double Now);
  /// Failed, and has answered nothing since; for some seconds.
  bool unproven(double Now) const { return Strikes > 0 && Now < UnprovenUntil; }
  /// \p Load: requests that ran or waited there when it told.
  void heardLoad(uint32_t Load, double Now, uint32_t Others = 0);
  /// Gave no answer, or one that is not its own.
  void failed(double Now);
  void answered();
  void leave() { Leaves = true; }
  /// Wants no requests from this gateway for so long, up to a bound.
  void rest(double Seconds, double Now);
  /// When its rest is over; in the past: it does not rest.
  double restsUntil() const { return RestsUntil; }
  /// Ends soon, as planned.
  bool leaving() const { return Leaves || Listed.Leaving; }
  bool takesNew(double Now) const { return mayRest() && Now >= RestsUntil; }
  /// It bears few requests: listed so, or supposed to be.
  bool cold(double Now) const;
  /// It may be cold for so long from now on, before the list can tell.
  void supposeCold(double Seconds, double Now);
  /// It takes requests, now or once its rest is over.
  bool mayRest() const { return !Gone && !leaving() && !Evacuated; }

private:
  friend class upstream_table;
  void list(platform::listed_upstream Entry, double Now);

  double ListedColdAt = 0; ///< For the first time of this spell; 0: it is not.
  double SupposedColdUntil = 0;
  uint32_t Told = 0; ///< Requests that ran or waited.
  double ToldAt = 0;
  uint32_t KnownThen = 0; ///< Of them, those of gateways that are heard of.
  double SuspectUntil = 0;
  double UnprovenUntil = 0;
  double DoubtedUntil = 0;
  double RestsUntil = 0;
  unsigned Strikes = 0;
  bool Leaves = false; ///< Said so itself, before the list did.
};

class upstream_table {
public:
  /// Takes in a whole list. Returns what is gone since the last one, also what
  /// has started again under its id: that is another upstream, of which nothing
  /// is known. An entry with an earlier start than one seen before is late and
  /// changes nothing.
  std::vector<std::shared_ptr<upstream>>
  update(std::vector<platform::listed_upstream> List, double Now);
  const std::vector<std::shared_ptr<upstream>> &
  ofService(const std::string &Service) const;
  const std::map<std::string, std::shared_ptr<upstream>> &all() const {
    return ById;
  }
  /// The one that is listed with this place; null: none.
  std::shared_ptr<upstream> at(uint64_t Place) const;
  bool has(uint64_t Place) const { return Places.contains(Place); }
  /// Another gateway says that the one with this place has ended: it is passed
  /// over until the list can tell. False where too many of its service are
  /// doubted in this way: then each gateway finds out for itself.
  bool doubt(uint64_t Place, double Now);
  /// These data halls are evacuated from now on, and no others. Returns the
  /// upstreams that were and are not any more.
  std::vector<std::shared_ptr<upstream>>
  setEvacuated(std::set<std::string, std::less<>> DataHalls);
  /// All that the service has are evacuated.
  bool allEvacuated(const std::string &Service) const;
  /// Requests under way in each evacuated data hall.
  std::map<std::string, uint32_t> openInEvacuated() const;
  /// Seconds until the first of those that rest takes requests again; 0: one
  /// takes them now, or none ever will.
  double soonestRest(const std::string &Service, double Now) const;
  /// The software version most upstreams of the service had when it was seen
  /// first, or that was set since.
  const std::string &settledVersion(const std::string &Service) const;
  void settleVersion(const std::string &Service, const std::string &Version) {
    Settled[Service] = Version;
  }
  /// \p Version is on trial or was given up: another one is the settled one.
  void unsettleVersion(const std::string &Service, const std::string &Version);

private:
  std::shared_ptr<upstream> incarnationOf(platform::listed_upstream Listed,
                                          double Now) const;

  std::map<std::string, std::shared_ptr<upstream>> ById;
  std::map<std::string, std::vector<std::shared_ptr<upstream>>> ByService;
  std::map<std::string, std::string> Settled;
  std::unordered_map<uint64_t, std::shared_ptr<upstream>> Places;
  std::set<std::string, std::less<>> EvacuatedHalls;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_TABLE_H
