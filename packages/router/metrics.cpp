#include "router/metrics.h"

#include <array>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace mimosadale::router {

namespace {

// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries BucketBounds{
    1e-6, 1e-5, 1e-4, 5e-4, 0.001, 0.002, 0.005, 0.01, 0.02, 0.043,
    0.1,  0.2,  0.42, 1,    2,     5,     10,    30,   60};

constexpr std::array TimingNames{
    "mimosadale_first_token_seconds", "mimosadale_between_tokens_seconds",
    "mimosadale_recovery_seconds", "mimosadale_decision_seconds",
    "mimosadale_claim_seconds"};

std::string toLower(std::string Text) {
  for (char &Char : Text)
    Char = static_cast<char>(std::tolower(static_cast<unsigned char>(Char)));
  return Text;
}

} // namespace

class Metrics::Families {
public:
  Families()
      : m_Refusals(prometheus::BuildCounter()
                       .Name("mimosadale_refusals_total")
                       .Help("Requests refused, by reason")
                       .Register(m_Registry)),
        m_Retries(prometheus::BuildCounter()
                      .Name("mimosadale_retries_total")
                      .Help("Calls retried, by reason")
                      .Register(m_Registry)),
        m_Dropped(prometheus::BuildCounter()
                      .Name("mimosadale_dropped_replies_total")
                      .Help("Replies that fit no call, by what did not match")
                      .Register(m_Registry)),
        m_Events(prometheus::BuildCounter()
                     .Name("mimosadale_events_total")
                     .Help("Events, by name")
                     .Register(m_Registry)),
        m_Gauges(prometheus::BuildGauge()
                     .Name("mimosadale_state")
                     .Help("Present values, by name")
                     .Register(m_Registry)) {
    for (int I = 1; I < schema::Reason_descriptor()->value_count(); ++I)
      refusalCounter(static_cast<schema::Reason>(I));
    for (int I = 1; I < schema::RetryReason_descriptor()->value_count(); ++I)
      retryCounter(static_cast<schema::RetryReason>(I));
    for (std::size_t I = 0; I < TimingNames.size(); ++I)
      m_Timings[I] = &prometheus::BuildHistogram()
                          .Name(TimingNames[I])
                          .Help("Seconds")
                          .Register(m_Registry)
                          .Add({}, BucketBounds);
  }

  prometheus::Counter &refusalCounter(schema::Reason Reason) {
    return m_Refusals.Add({{"reason", toLower(schema::Reason_Name(Reason))}});
  }
  prometheus::Counter &retryCounter(schema::RetryReason Reason) {
    return m_Retries.Add(
        {{"reason", toLower(schema::RetryReason_Name(Reason))}});
  }

  prometheus::Registry m_Registry;
  prometheus::Family<prometheus::Counter> &m_Refusals;
  prometheus::Family<prometheus::Counter> &m_Retries;
  prometheus::Family<prometheus::Counter> &m_Dropped;
  prometheus::Family<prometheus::Counter> &m_Events;
  prometheus::Family<prometheus::Gauge> &m_Gauges;
  std::array<prometheus::Histogram *, TimingNames.size()> m_Timings{};
};

Metrics::Metrics() : m_Families(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::countRefusal(schema::Reason Reason) {
  m_Families->refusalCounter(Reason).Increment();
}

void Metrics::countRetry(schema::RetryReason Reason) {
  m_Families->retryCounter(Reason).Increment();
}

void Metrics::countDroppedReply(const std::string &Mismatch) {
  m_Families->m_Dropped.Add({{"mismatch", Mismatch}}).Increment();
}

void Metrics::countEvent(const std::string &Event, double Amount) {
  m_Families->m_Events.Add({{"event", Event}}).Increment(Amount);
}

void Metrics::setGauge(const std::string &Name, double Value) {
  m_Families->m_Gauges.Add({{"name", Name}}).Set(Value);
}

void Metrics::recordDuration(Timing Kind, Duration Elapsed) {
  m_Families->m_Timings[static_cast<std::size_t>(Kind)]->Observe(
      seconds(Elapsed));
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(
      m_Families->m_Registry.Collect());
}

} // namespace mimosadale::router
