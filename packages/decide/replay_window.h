// Replay protection by a sliding window of sequence numbers.
#ifndef MIMOSADALE_DECIDE_REPLAY_WINDOW_H
#define MIMOSADALE_DECIDE_REPLAY_WINDOW_H

#include <cstdint>

namespace mimosadale::decide {

/// Accepts each sequence number of a sender at most once, with a sliding window
/// of 64 as in RFC 4303, section 3.4.3. A restart of the sender resets the
/// window; messages from before the restart are rejected from then on.
///
/// \par Thread safety
/// None.
class ReplayWindow {
public:
  /// Whether the message is new; if so, records it.
  /// \param SenderStart start time of the sender's process.
  bool accept(std::uint64_t SenderStart, std::uint64_t Sequence);

private:
  std::uint64_t m_SenderStart = 0;
  std::uint64_t m_Highest = 0;
  std::uint64_t m_AcceptedBits = 0; // bit I: m_Highest - I was accepted
};

} // namespace mimosadale::decide

#endif
