// The headers by which one router hands a request to another, and back.
#ifndef MIMOSADALE_FORWARD_HAND_OVER_H
#define MIMOSADALE_FORWARD_HAND_OVER_H

#include "decide/peer_chooser.h"
#include "net/http.h"

#include <cstdint>
#include <optional>

namespace mimosadale::forward {

/// What a router states about a request that it hands to another one.
struct HandOverMark {
  unsigned m_EndpointsLeft = 0; // that it may still be sent to
  bool m_IsCounted = true;      // as a first attempt, by a retry budget
  // The configuration by which the request was admitted, and the service that
  // it goes to by that; 0 and empty if not stated, as by routers of an older
  // version.
  std::uint64_t m_ConfigVersion = 0;
  ServiceId m_Service;
  bool operator==(const HandOverMark &) const = default;
};

/// Marks \p Request, which goes to a router's peer listener, as handed over by
/// a router that reaches no endpoint for it. It is not handed on, and carries
/// the caller's key, which is checked as that of any caller. Replaces a mark
/// that the caller has set.
void markHandedOver(net::HttpRequest &Request, const HandOverMark &Mark);

/// Removes the mark from a request that goes to an endpoint.
void dropHandedOver(net::HttpRequest &Request);

/// The mark of \p Request; none if it was not handed over. A malformed one
/// leaves no endpoint.
std::optional<HandOverMark> parseHandedOver(const net::HttpRequest &Request);

/// Marks the refusal of such a request as that of a router for which no
/// endpoint runs it: another router may find one. \param Sends the number of
/// endpoints that it was sent to, all of which refused it as not run.
void markHandedBack(net::HttpResponse &Refusal, unsigned Sends,
                    decide::HandBackCause Cause);

/// The number of sends that \p Answer names; none if it is no such refusal. A
/// malformed number counts as 0.
std::optional<unsigned> parseHandedBack(const net::HttpResponse &Answer);

/// Why \p Answer hands the request back. A cause that is not stated, as by
/// routers of an older version, or not known is that of an endpoint.
decide::HandBackCause parseHandBackCause(const net::HttpResponse &Answer);

/// Removes the mark of a refusal from an endpoint's \p Answer: endpoints must
/// not speak for routers.
void dropHandedBack(net::HttpResponse &Answer);

} // namespace mimosadale::forward

#endif
