// What the tests of a forwarding router share.
#ifndef MIMOSADALE_TESTS_FORWARD_HELPERS_H
#define MIMOSADALE_TESTS_FORWARD_HELPERS_H

#include "platform/forward_router.h"

#include <memory>
#include <vector>

namespace mimosadale::tests {

/// Two data centres of three engines each, and two booking endpoints.
void addDefaultEndpoints(FakePlatform &Platform);

/// Waits until \p At is ready and its chains serve; the test ends if they do
/// not.
void waitUntilServing(ForwardRouter &Router);

/// The routers that \p At knows of, itself included; 0 when it does not say.
unsigned knownRouterCount(const ForwardRouter &Router);

using Streams = std::vector<std::unique_ptr<harness::EventStream>>;

/// Streams "s0", "s1" and so on, each with its first event read.
Streams openStreams(const ForwardRouter &Router, int Count, unsigned Events);

/// Reads a stream to its end and checks that ids rise by one. \returns the
/// number of events.
unsigned readInOrder(harness::EventStream &Stream, unsigned LastEvent = 0);

/// The last engine of the first stream's path is silent for a while, longer
/// than any pause that a router bears; all streams must come back whole.
void stallAndResume(FakePlatform &Platform, const Streams &OpenStreams,
                    unsigned Events);

} // namespace mimosadale::tests

#endif
