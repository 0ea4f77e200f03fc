// Shares the memory for answers that are read as a whole among endpoints.
#ifndef MIMOSADALE_DECIDE_ANSWER_MEMORY_H
#define MIMOSADALE_DECIDE_ANSWER_MEMORY_H

#include "base/id.h"

#include <cstddef>
#include <map>

namespace mimosadale::decide {

/// Bytes of answers in memory, by endpoint. Endpoints whose answers have no end
/// are stopped at their share, so that those of the others are read as before.
///
/// \par Thread safety
/// None.
class AnswerMemory {
public:
  /// The most bytes of answers of one endpoint, and so of one answer.
  static constexpr std::size_t MaxEndpointBytes = std::size_t(16) << 20;

  /// The bytes of all answers from which on an endpoint may hold no more than
  /// an equal part.
  static constexpr std::size_t MaxBytes = std::size_t(24) << 20;

  /// \p Bytes more of an answer of \p Endpoint were read.
  void onRead(const EndpointId &Endpoint, std::size_t Bytes);

  /// \p Bytes of answers of \p Endpoint are no longer in memory.
  /// \pre They were read before.
  void onReleased(const EndpointId &Endpoint, std::size_t Bytes);

  /// Whether answers of \p Endpoint may go on. The largest ones end first: as
  /// long as the bytes of all exceed the bound, some endpoint holds more than
  /// an equal part.
  bool mayGoOn(const EndpointId &Endpoint) const;

  std::size_t bytes() const { return m_Bytes; }

private:
  std::map<EndpointId, std::size_t> m_ByEndpoint; // without zeros
  std::size_t m_Bytes = 0;
};

} // namespace mimosadale::decide

#endif
