#include "decide/answer_memory.h"

namespace mimosadale::decide {

void AnswerMemory::onRead(const EndpointId &Endpoint, std::size_t Bytes) {
  if (Bytes == 0)
    return;
  m_ByEndpoint[Endpoint] += Bytes;
  m_Bytes += Bytes;
}

void AnswerMemory::onReleased(const EndpointId &Endpoint, std::size_t Bytes) {
  const auto Held = m_ByEndpoint.find(Endpoint);
  if (Held == m_ByEndpoint.end())
    return;
  Held->second -= Bytes;
  m_Bytes -= Bytes;
  if (Held->second == 0)
    m_ByEndpoint.erase(Held);
}

bool AnswerMemory::mayGoOn(const EndpointId &Endpoint) const {
  const auto Held = m_ByEndpoint.find(Endpoint);
  if (Held == m_ByEndpoint.end())
    return true;
  if (Held->second > MaxEndpointBytes)
    return false;
  return m_Bytes <= MaxBytes || Held->second < m_Bytes / m_ByEndpoint.size();
}

} // namespace mimosadale::decide
