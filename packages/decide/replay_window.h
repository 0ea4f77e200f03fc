// Rejects messages that were received before.
#ifndef MIMOSADALE_DECIDE_REPLAY_WINDOW_H
#define MIMOSADALE_DECIDE_REPLAY_WINDOW_H

#include <cstdint>

namespace mimosadale::decide {

/// Accepts each sequence number of a sender once, within a window of 64, as in
/// RFC 4303, section 3.4.3. A later start of the sender begins anew; an earlier
/// one is never accepted again.
///
/// \par Thread safety
/// None.
class ReplayWindow {
public:
  /// Whether the message is new. \param Started when the sender started.
  bool accept(std::uint64_t SenderStart, std::uint64_t Sequence);

private:
  std::uint64_t m_SenderStart = 0;
  std::uint64_t m_Highest = 0;
  std::uint64_t m_AcceptedBits = 0; // bit I: m_Highest - I was accepted
};

} // namespace mimosadale::decide

#endif
