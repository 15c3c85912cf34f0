//===- stand_in.h - Simulated engine, service and ratings -------*- C++ -*-===//
//
// Simulates a model engine, a plain service and the rating service with the
// HTTP interfaces of docs/INTERFACES.md. Counts each run, so that tests can
// compare the responses that clients received with what was run.
//
// The text of a prompt selects the engine's behaviour:
//   tokens=40   number of tokens generated
//   first=20    milliseconds to the first token
//   gap=5       milliseconds between tokens
//   fail=500    responds with this status
//   cut=3       breaks the response off after this number of tokens
//   short=3     ends the stream after this number of tokens, without usage and
//               without its last event
//   pad=1000    additional bytes sent with each token of a stream
//   crash=1     gives no response and sets crashes(); the owner then has to
//               destroy the engine
// The plain service reads "first" from the request's body, and "pad":
// additional bytes of its response.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_STAND_IN_H
#define OLIVEVALVE_TESTS_STAND_IN_H

#include "base/fields.h"
#include "net/http_server.h"
#include <list>
#include <memory>
#include <set>

namespace olivevalve {

/// Defaults for prompts that say nothing else.
struct stand_in_options {
  std::string Address = "127.0.0.1:0";
  double FirstTokenSeconds = 0.005;
  double GapSeconds = 0.001;
  int Tokens = 8;
  /// Time to load one version. Versions are loaded one after another.
  double LoadSeconds = 0.3;
};

/// An HTTP server for the three simulated services.
class stand_in {
public:
  stand_in(struct ev_loop *Loop, stand_in_options Options);
  bool bind() { return Server.bind(Options.Address); }
  std::string address() const { return Server.address(); }
  /// Returns whether a request with "crash=1" was received.
  bool crashes() const { return Crashes; }

private:
  using exchange = std::shared_ptr<http_exchange>;
  /// A response in progress.
  struct generation {
    generation(struct ev_loop *Loop, std::function<void(generation &)> Step)
        : Timer(Loop, [this, Step = std::move(Step)] { Step(*this); }) {}
    exchange Exchange;
    timer Timer;
    std::string Model;
    bool Stream = false;
    int Tokens = 0;
    int Sent = 0;
    int CutAfter = -1;   ///< Tokens; -1: not cut.
    int ShortAfter = -1; ///< Tokens; -1: not short.
    double Gap = 0;      ///< Seconds between tokens.
    size_t PromptTokens = 0;
    size_t Pad = 0;
    std::string Text;
  };

  void handle(const exchange &Exchange);
  void generate(const exchange &Exchange);
  void step(generation &Generation);
  void finish(generation &Generation);
  void rate(const exchange &Exchange);
  void serve(const exchange &Exchange);
  void control(const exchange &Exchange);
  void models(const exchange &Exchange);
  void loadNext();
  void drop(generation &Generation);
  double quality(const std::string &Model, const std::string &Prompt) const;
  json usageOf(const generation &Generation) const;

  struct ev_loop *Loop;
  stand_in_options Options;
  http_server Server;
  std::list<generation> Generations;
  std::vector<std::list<generation>::iterator> Dead;
  before_wait Prepare;
  std::map<std::string, double> Qualities; ///< By model name.
  std::map<std::string, int> Failing;      ///< Error status by model name.
  /// Number of runs by model name, or by "service " and Idempotency-Key.
  std::map<std::string, uint64_t> Runs;
  uint64_t Started = 0;
  uint64_t Finished = 0;
  uint64_t Cancelled = 0;
  uint64_t Rated = 0;
  uint64_t Taken = 0; ///< Chunks of streams that were written to the socket.
  bool RatingsOff = false;
  bool Crashes = false;
  /// Set by the first PUT /models; from then on only loaded versions are
  /// served.
  bool Managed = false;
  uint64_t Fence = 0;           ///< Fencing token of the last accepted order.
  uint64_t StaleOrders = 0;     ///< Orders rejected because of a lower fence.
  uint64_t Unheld = 0;          ///< Requests for a version that is not loaded.
  std::set<std::string> Wanted; ///< Versions of the last accepted order.
  std::set<std::string> Loaded;
  timer Loading;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_STAND_IN_H
