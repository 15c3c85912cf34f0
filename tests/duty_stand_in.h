//===- duty_stand_in.h - Platform that takes usage reports ------*- C++ -*-===//
//
// Simulates the calls to the platform that only one process may make, and
// checks what the platform relies on: two reports of a window never differ, and
// a fencing token belongs to one process.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_DUTY_STAND_IN_H
#define OLIVEVALVE_TESTS_DUTY_STAND_IN_H

#include "base/fields.h"
#include "base/loop.h"
#include "net/http_server.h"
#include <list>
#include <map>
#include <string>

namespace olivevalve {

/// What the platform does with calls.
enum class duty_behaviour : uint8_t {
  Answers,
  Refuses,    ///< 429, without carrying them out.
  Fails,      ///< 500, without carrying them out.
  Ignores,    ///< No answer, not carried out.
  AnswersLate ///< Carried out after LateSeconds, without an answer.
};

class duty_stand_in {
public:
  explicit duty_stand_in(struct ev_loop *Loop);

  const std::string &address() const { return Address; }
  /// Requests reported so far, summed over all windows.
  uint64_t reported(const std::string &Account) const;

  duty_behaviour Behaviour = duty_behaviour::Answers;
  double LateSeconds = 2;
  std::map<uint64_t, json> Reports; ///< Accepted counts, by window.
  std::map<uint64_t, std::string> HolderOfToken;
  std::string Violation; ///< The first one; empty: none.
  int Calls = 0;
  int Superseded = 0; ///< Calls with a lower token than one seen before.

private:
  void handle(const std::shared_ptr<http_exchange> &Exchange);
  int carryOut(const std::string &Holder, uint64_t Token,
               const std::string &Body);
  void fail(const std::string &What);

  struct ev_loop *Loop;
  http_server Server;
  std::string Address;
  uint64_t HighestToken = 0;
  std::list<timer> LateCalls; ///< Calls that are carried out later.
  /// Exchanges that get no answer.
  std::list<std::shared_ptr<http_exchange>> Ignored;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_DUTY_STAND_IN_H
