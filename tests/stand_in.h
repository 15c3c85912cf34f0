//===- stand_in.h - Small engines, services and ratings ---------*- C++ -*-===//
//
// Stands in for a model engine, a plain service and the rating service at the
// published contracts of docs/INTERFACES.md. Counts every run, so that tests
// can hold what callers were told against what happened.
//
// A prompt may steer the engine: "tokens=40", "gap=5" (ms between tokens),
// "first=20" (ms), "fail=500", "cut=3" (breaks off after so many tokens),
// "pad=1000" (bytes more in each token of a stream), "crash=1" (the engine is
// to end at once: whoever owns it does so).
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

struct stand_in_options {
  std::string Address = "127.0.0.1:0";
  double FirstTokenSeconds = 0.005;
  double GapSeconds = 0.001;
  int Tokens = 8;
  double LoadSeconds = 0.3; ///< To load one version, one after another.
};

class stand_in {
public:
  stand_in(struct ev_loop *Loop, stand_in_options Options);
  bool bind() { return Server.bind(Options.Address); }
  std::string address() const { return Server.address(); }
  /// A request came that it does not survive.
  bool crashes() const { return Crashes; }

private:
  using exchange = std::shared_ptr<http_exchange>;
  struct generation {
    generation(struct ev_loop *Loop, std::function<void(generation &)> Step)
        : Timer(Loop, [this, Step = std::move(Step)] { Step(*this); }) {}
    exchange Exchange;
    timer Timer;
    std::string Model;
    bool Stream = false;
    int Tokens = 0;
    int Sent = 0;
    int CutAfter = -1;
    double Gap = 0;
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
  std::map<std::string, int> Failing;      ///< Models that answer so.
  std::map<std::string, uint64_t> Runs;    ///< By model or service key.
  uint64_t Started = 0;
  uint64_t Finished = 0;
  uint64_t Cancelled = 0;
  uint64_t Rated = 0;
  uint64_t Taken = 0; ///< Chunks of streams that the sidecar has read.
  bool RatingsOff = false;
  bool Crashes = false;
  /// Set by the first order of versions: only these are served then.
  bool Managed = false;
  uint64_t Fence = 0;
  uint64_t StaleOrders = 0; ///< With a fence below one that was taken.
  uint64_t Unheld = 0;      ///< Requests for a version that is not loaded.
  std::set<std::string> Wanted;
  std::set<std::string> Loaded;
  timer Loading;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_STAND_IN_H
