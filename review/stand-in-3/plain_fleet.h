// A small deployment: the store, workers of one plain service and three routers
// of one zone, with clients that send at a steady rate.
#ifndef REVIEW_PLAIN_FLEET_H
#define REVIEW_PLAIN_FLEET_H

#include "stand_in.h"

namespace review {

constexpr unsigned RouterCount = 3;

struct Sent {
  long m_At = 0;
  unsigned m_Router = 0;
  std::string m_Id;
  Message m_Answer;
  long m_AnsweredAt = 0;
};

class PlainFleet {
public:
  PlainFleet(Record &Log, unsigned Workers, Worker::Behaviour Behave);
  /// Waits until all routers are ready. \returns whether they are.
  bool start();
  /// Sends a request in a thread of its own; the result is kept in `sent()`.
  void send(unsigned Router, const std::string &Method,
            const std::string &Target, long DeadlineMs);
  /// Waits for all requests that were sent.
  void finish();
  std::vector<Sent> sent();
  void cutWorkersFrom(unsigned Router);
  void restoreWorkersTo(unsigned Router);

  Record &m_Log;
  Store m_Store;
  std::vector<std::unique_ptr<Worker>> m_Workers;
  std::vector<std::unique_ptr<Router>> m_Routers;

private:
  std::mutex m_Mutex;
  std::vector<Sent> m_Sent;
  std::atomic<int> m_Running{0};
  std::atomic<unsigned> m_Next{0};
};

} // namespace review

#endif
