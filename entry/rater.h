//===- rater.h - Client of the rating service -------------------*- C++ -*-===//
//
// Sends answers to the rating service and reports the scores to control in
// batches. The service's interface, described in docs/INTERFACES.md, is known
// only here.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_RATER_H
#define OLIVEVALVE_ENTRY_RATER_H

#include "lease/control_client.h"
#include "net/http_client.h"
#include "policy/estimate.h"
#include <functional>
#include <optional>

namespace olivevalve {

/// An answer to be rated or reported.
struct rated_answer {
  std::string RequestId;
  std::string Template;
  std::string Account;
  version_name Version;
  std::string Question; ///< The request's body.
  std::string Answer;   ///< The answer's text.
  double Cost = 0;      ///< In price units.
};

/// Obtains ratings and reports them, with exposures, to control.
class rater {
public:
  /// \p Url is "http://IP:port" of the rating service; empty: no ratings.
  /// \p Reporter identifies this incarnation of the entry to control.
  rater(control_client &Control, struct ev_loop *Loop, std::string Url,
        const std::string &Reporter);

  bool enabled() const { return !Url.empty(); }
  /// Requests a rating. \p Done gets the score, 0 to 1, or nothing if none came
  /// within \p Seconds or too many ratings are in progress. A score is also
  /// reported to control.
  void rate(const rated_answer &Answer, double Seconds,
            std::function<void(std::optional<double>)> Done);
  /// Reports the score of a cascade as a whole.
  void reportCascade(const rated_answer &Answer, const arm &Arm, double Score);
  /// Reports an attempt that failed.
  void reportFailure(const rated_answer &Answer);
  /// Counts an answer against its version's exposure budget.
  void countExposure(const version_name &Version);
  /// Answers counted by countExposure() that control has not confirmed yet.
  double unconfirmedExposures(const version_name &Version) const;
  size_t pending() const { return Ratings.size() + Exposures.size(); }
  /// Sends what is pending without waiting for the next batch.
  void flush() { sendBatch(); }

private:
  void report(const rated_answer &Answer, double Score, bool Failed,
              const std::string &Arm);
  void sendBatch();

  control_client &Control;
  http_client Http;
  std::string Url;
  std::string Reporter;
  uint64_t Sequence = 0;
  std::vector<wire::rating> Ratings;
  std::map<version_name, uint64_t> Exposures;
  std::map<version_name, uint64_t> ExposuresInFlight; ///< Those in Batch.
  size_t ActiveRequests = 0; ///< Requests open at the rating service.
  bool InFlight = false;
  wire::envelope Batch; ///< Sent again unchanged until control confirms it.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_RATER_H
