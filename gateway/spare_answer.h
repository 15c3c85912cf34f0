//===- spare_answer.h - An answer kept while a better one is asked -*- C++ -*-//
//
// A model has begun to answer, and a larger one is asked before the caller has
// anything. Until the larger one answers, what the first one gave is kept: if
// the larger one refuses, breaks or stays silent, the caller gets it.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_SPARE_ANSWER_H
#define OLIVEVALVE_GATEWAY_SPARE_ANSWER_H

#include "base/loop.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_state.h"
#include "gateway/upstream_connection.h"

namespace olivevalve {

/// An upstream's answer as it is told to a caller.
struct held_answer {
  int Status = 0; ///< 0: none.
  std::string Reason;
  std::vector<head_line> Lines;
  std::string Body;    ///< Of answers that are no events.
  bool NotRun = false; ///< The upstream says that it did not run the request.
};

/// What is known of an answer in hand when it is put aside.
struct spare_answer_parts {
  std::shared_ptr<upstream> Upstream;
  upstream_connection *Connection = nullptr;
  held_answer Answer;
  event_splitter Events;
  size_t ModelPlace = 0;
  double Confidence = -1;
  short_digest Request{}; ///< Names it alike for each try.
};

class spare_answer : public upstream_user {
public:
  /// Hears the rest of the answer for a short time, then ends it at its
  /// upstream: what came until then is kept, and the rest is had elsewhere.
  spare_answer(gateway_state &State, spare_answer_parts Parts);
  ~spare_answer() override { release(); }

  /// All of it has come.
  bool whole() const { return Whole; }
  /// Gives out all that is known, with the connection if it is still open.
  spare_answer_parts take(upstream_user &NewUser);
  /// Whole events that have come.
  const std::string &events() const { return Bytes; }

  void onAnswerHead(const http_head &, const platform::answer_facts &) override;
  void onAnswerBytes(std::string_view More) override;
  void onAnswerEnd() override;
  void onBroken(broken_at Where) override;

private:
  void release();

  gateway_state &State;
  spare_answer_parts Parts;
  std::string Bytes;
  bool Whole = false;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SPARE_ANSWER_H
