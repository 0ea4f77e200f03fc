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

// Bounds of the histograms, in seconds.
const prometheus::Histogram::BucketBoundaries Bounds{
    1e-6, 1e-5, 1e-4, 5e-4, 0.001, 0.002, 0.005, 0.01, 0.02, 0.043,
    0.1,  0.2,  0.42, 1,    2,     5,     10,    30,   60};

constexpr std::array TimingNames{
    "mimosadale_first_token_seconds", "mimosadale_between_tokens_seconds",
    "mimosadale_recovery_seconds", "mimosadale_decision_seconds",
    "mimosadale_claim_seconds"};

std::string lower(std::string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
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
      refusal(static_cast<schema::Reason>(I));
    for (int I = 1; I < schema::RetryReason_descriptor()->value_count(); ++I)
      retry(static_cast<schema::RetryReason>(I));
    for (std::size_t I = 0; I < TimingNames.size(); ++I)
      m_Timings[I] = &prometheus::BuildHistogram()
                          .Name(TimingNames[I])
                          .Help("Seconds")
                          .Register(m_Registry)
                          .Add({}, Bounds);
  }

  prometheus::Counter &refusal(schema::Reason Why) {
    return m_Refusals.Add({{"reason", lower(schema::Reason_Name(Why))}});
  }
  prometheus::Counter &retry(schema::RetryReason Why) {
    return m_Retries.Add({{"reason", lower(schema::RetryReason_Name(Why))}});
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

void Metrics::refused(schema::Reason Why) {
  m_Families->refusal(Why).Increment();
}

void Metrics::retried(schema::RetryReason Why) {
  m_Families->retry(Why).Increment();
}

void Metrics::dropped(const std::string &Why) {
  m_Families->m_Dropped.Add({{"mismatch", Why}}).Increment();
}

void Metrics::counted(const std::string &Event, double Amount) {
  m_Families->m_Events.Add({{"event", Event}}).Increment(Amount);
}

void Metrics::gauge(const std::string &Name, double Value) {
  m_Families->m_Gauges.Add({{"name", Name}}).Set(Value);
}

void Metrics::timed(Timing What, Duration Taken) {
  m_Families->m_Timings[static_cast<std::size_t>(What)]->Observe(
      seconds(Taken));
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(
      m_Families->m_Registry.Collect());
}

} // namespace mimosadale::router
