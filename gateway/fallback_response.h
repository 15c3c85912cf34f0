//===- fallback_response.h - Response kept for a switch ---------*- C++ -*-===//
//
// When a model has begun to respond and the caller has received nothing yet,
// the gateway may switch the request to a larger model. The response of the
// first model is kept meanwhile: the caller gets it if the larger model refuses
// the request, fails, or does not respond in time.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_FALLBACK_RESPONSE_H
#define OLIVEVALVE_GATEWAY_FALLBACK_RESPONSE_H

#include "base/loop.h"
#include "gateway/gateway_state.h"
#include "gateway/upstream_connection.h"

namespace olivevalve {

/// A response in the form in which the caller will receive it.
struct buffered_response {
  int Status = 0; ///< HTTP status; 0: no response.
  std::string Reason;
  std::vector<header_field> Lines;
  std::string Body; ///< Empty for event streams.
  /// The upstream reported that it did not run the request.
  bool NotRun = false;
};

/// State of a response in progress, moved out of the request while the larger
/// model is tried and moved back when the response is used.
struct fallback_response_parts {
  std::shared_ptr<upstream> Upstream;
  upstream_connection *Connection = nullptr;
  buffered_response Answer;
  bool IsEvents = false;
  /// Index in route_spec::Sizes.
  size_t ModelIndex = 0;
  /// Reported by the model, 0 to 1; -1: not reported.
  double Confidence = -1;
  request_causes Causes; ///< Of the request.
  double SentAt = 0;     ///< Seconds of the steady clock.
  double BegunAt = 0;    ///< When the response began, likewise.
};

/// Response of a smaller model, kept while a larger one is tried.
class fallback_response : public upstream_user {
public:
  /// Goes on receiving the response for a short time, then aborts the request
  /// at its upstream. The events received until then are kept; the rest of the
  /// response is requested again if it is needed.
  fallback_response(gateway_state &State, fallback_response_parts Parts);
  ~fallback_response() override { release(); }

  /// The complete response has been received.
  bool isComplete() const { return Complete; }
  /// Moves out the state, with the connection if it is still open. \p NewUser
  /// receives the rest of the response.
  fallback_response_parts take(upstream_user &NewUser);
  /// What was received so far: complete events, if it is an event stream.
  std::string &body() { return Bytes; }

  void onAnswerHead(const http_head &, const platform::answer_facts &,
                    body_content) override;
  void onAnswerBytes(std::string_view NewBytes, size_t Received) override;
  void onAnswerEnd() override;
  void onBroken(broken_at Where) override;

private:
  void release();

  gateway_state &State;
  fallback_response_parts Parts;
  std::string Bytes;
  bool Complete = false;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_FALLBACK_RESPONSE_H
