//===- rater.cpp - Client of the rating service ---------------------------===//

#include "entry/rater.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double BatchIntervalSeconds = 0.5;
constexpr double ReportTimeoutSeconds = 5;
// Ratings queued while control cannot be reached; further ones are dropped.
constexpr size_t MaxQueuedRatings = 10000;
// Requests open at the rating service; further answers are not rated, so that a
// service that has stopped responding does not fill the entry's memory.
constexpr size_t MaxActiveRequests = 64;
// Question and answer are each cut to this size before they are sent.
constexpr size_t MaxTextBytes = 32 << 10;
// A reply holds a number.
constexpr size_t MaxReplyBytes = 64 << 10;

std::optional<double> parseScore(const std::string &Body) {
  json Object = parseJsonOrNull(Body);
  if (!Object.is_object() || !Object.contains("score") ||
      !Object["score"].is_number())
    return std::nullopt;
  return std::clamp(Object["score"].get<double>(), 0.0, 1.0);
}

} // namespace

rater::rater(control_client &Control, struct ev_loop *Loop, std::string Url,
             const std::string &Reporter)
    : Control(Control), Http(Loop), Url(std::move(Url)), Reporter(Reporter),
      Timer(Loop, [this] { sendBatch(); }) {
  Timer.startRepeating(BatchIntervalSeconds);
}

void rater::rate(const rated_answer &Answer, double Seconds,
                 std::function<void(std::optional<double>)> Done) {
  if (!enabled() || ActiveRequests >= MaxActiveRequests)
    return Done(std::nullopt);
  ++ActiveRequests;
  json Question = {{"request_id", Answer.RequestId},
                   {"template", Answer.Template},
                   {"account", Answer.Account},
                   {"model", Answer.Version.Model},
                   {"version", Answer.Version.Version},
                   {"request", Answer.Question.substr(0, MaxTextBytes)},
                   {"answer", Answer.Answer.substr(0, MaxTextBytes)}};
  fetch_options Request;
  Request.Method = "POST";
  Request.Url = Url + "/v1/ratings";
  Request.Body = jsonText(Question);
  Request.Headers = {"Content-Type: application/json"};
  Request.TimeoutSeconds = Seconds;
  Request.MaxBodyBytes = MaxReplyBytes;
  auto Body = std::make_shared<std::string>();
  Request.OnBytes = [Body](std::string_view Bytes) {
    Body->append(Bytes);
    return true;
  };
  rated_answer Summary = Answer;
  Summary.Question.clear();
  Summary.Answer.clear();
  Request.OnDone = [this, Body, Summary,
                    Done = std::move(Done)](const fetch_result &Result) {
    --ActiveRequests;
    std::optional<double> Score;
    if (Result.Error.empty() && Result.Status == 200)
      Score = parseScore(*Body);
    if (Score)
      report(Summary, *Score, false, "");
    Done(Score);
  };
  Http.start(std::move(Request));
}

void rater::reportCascade(const rated_answer &Answer, const arm &Arm,
                          double Score) {
  report(Answer, Score, false, Arm.text());
}

void rater::reportFailure(const rated_answer &Answer) {
  report(Answer, 0, true, "");
}

void rater::report(const rated_answer &Answer, double Score, bool Failed,
                   const std::string &Arm) {
  if (Ratings.size() >= MaxQueuedRatings)
    return;
  wire::rating Rating;
  Rating.set_template_(Answer.Template);
  Rating.set_account(Answer.Account);
  Rating.set_model(Answer.Version.Model);
  Rating.set_version(Answer.Version.Version);
  Rating.set_score(Score);
  Rating.set_cost(Answer.Cost);
  Rating.set_failed(Failed);
  Rating.set_arm(Arm);
  Ratings.push_back(std::move(Rating));
}

void rater::countExposure(const version_name &Version) { ++Exposures[Version]; }

double rater::unconfirmedExposures(const version_name &Version) const {
  double Sum = 0;
  for (const auto *Map : {&Exposures, &ExposuresInFlight}) {
    auto It = Map->find(Version);
    if (It != Map->end())
      Sum += double(It->second);
  }
  return Sum;
}

void rater::sendBatch() {
  bool Empty = Ratings.empty() && Exposures.empty();
  if (InFlight || (Empty && !Batch.has_ratings()))
    return;
  if (!Batch.has_ratings()) {
    wire::rating_batch *New = Batch.mutable_ratings();
    New->set_reporter(Reporter);
    New->set_sequence(++Sequence);
    for (wire::rating &Rating : Ratings)
      *New->add_ratings() = std::move(Rating);
    for (const auto &[Version, Answers] : Exposures) {
      wire::exposure *Exposure = New->add_exposures();
      Exposure->set_model(Version.Model);
      Exposure->set_version(Version.Version);
      Exposure->set_answers(Answers);
    }
    Ratings.clear();
    ExposuresInFlight = std::move(Exposures);
    Exposures.clear();
  }
  InFlight = true;
  Control.sendRequest(Batch, ReportTimeoutSeconds,
                      [this](const wire::envelope *Answer) {
                        InFlight = false;
                        if (!Answer || !Answer->has_ack())
                          return;
                        Batch.Clear();
                        ExposuresInFlight.clear();
                      });
}

} // namespace olivevalve
