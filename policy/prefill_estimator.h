//===- prefill_estimator.h - Prefill time of prompts ------------*- C++ -*-===//
//
// Prefill speed differs between deployments, and between the models of one by
// a factor of ten, so it is estimated for each model from the times to first
// token that are observed. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_PREFILL_ESTIMATOR_H
#define OLIVEVALVE_POLICY_PREFILL_ESTIMATOR_H

#include <cstdint>
#include <map>
#include <string>

namespace olivevalve {

/// The cost of an output token in input tokens: on an upstream with most of its
/// slots in use, generating one token takes as long as the prefill of this
/// many.
constexpr uint32_t InputTokensPerOutputToken = 10;
/// The part of the time to first token on an idle upstream that does not depend
/// on the length of the prompt.
constexpr double FirstTokenOverheadSeconds = 0.05;

/// Estimates the prefill time per token of each model.
class prefill_estimator {
public:
  /// Models that are learned; callers name them. Further ones keep their first
  /// estimate.
  static constexpr size_t MaxModels = 1024;

  /// Expected seconds for the prefill of a prompt of \p Tokens tokens, of which
  /// the first \p Cached are in the upstream's KV cache. \p Cost is the cost of
  /// the model relative to the cheapest one; the initial estimate is
  /// proportional to it.
  double estimateSeconds(const std::string &Model, double Cost, uint32_t Tokens,
                         uint32_t Cached = 0) const;
  /// Updates the estimate with a first token that was received \p Seconds after
  /// the request was sent. Prompts with few uncached tokens are ignored.
  void recordFirstToken(const std::string &Model, double Cost, uint32_t Tokens,
                        uint32_t Cached, double Seconds);
  size_t modelCount() const { return Paces.size(); }

private:
  struct estimated_pace {
    double SecondsPerToken = 0;
    uint32_t Observations = 0;
  };

  std::map<std::string, estimated_pace> Paces; ///< By model.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_PREFILL_ESTIMATOR_H
