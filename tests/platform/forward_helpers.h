// Steps shared by the tests of the forwarding router.
#ifndef MIMOSADALE_TESTS_FORWARD_HELPERS_H
#define MIMOSADALE_TESTS_FORWARD_HELPERS_H

#include "platform/forward_router.h"

#include <chrono>
#include <memory>
#include <vector>

namespace mimosadale::tests {

/// Time after a caller's departure from which the users' rule forbids work for
/// it.
constexpr auto DepartureTime = std::chrono::milliseconds(500);

/// Adds two data centres with three engines each and two endpoints of the
/// booking service, and writes the configuration.
void addDefaultEndpoints(FakePlatform &Platform);

/// Waits until the router is ready and a stream through its chains succeeds;
/// ends the test if they do not within the timeout.
void waitUntilServing(ForwardRouter &Router);

/// Number of routers known to this one, itself included; 0 if its metrics are
/// not available.
unsigned knownRouterCount(const ForwardRouter &Router);

/// The value of the state \p Name in this router's metrics; 0 if they are not
/// available.
unsigned stateValue(const ForwardRouter &Router, const std::string &Name);

/// How often this router has counted \p Event; 0 if its metrics are not
/// available.
unsigned eventCount(const ForwardRouter &Router, const std::string &Event);

using Streams = std::vector<std::unique_ptr<harness::EventStream>>;

/// The status of a stream whose prompt has \p SharedParts and one of its own; 0
/// if it broke off. \param SharedParts as `id:tokens`, separated by commas.
unsigned promptStatus(const ForwardRouter &Router, const std::string &Id,
                      const std::string &SharedParts, unsigned Events = 40);

/// Opens streams with the request ids "s0", "s1" and so on, and reads the first
/// event of each.
Streams openStreams(const ForwardRouter &Router, int Count, unsigned Events);

/// Reads a stream to its end and checks that event ids rise by one, starting
/// after \p LastEvent. \returns the last id.
unsigned readInOrder(harness::EventStream &Stream, unsigned LastEvent = 0);

/// Stops the last engine on the path of stream "s0" for 900 ms, longer than the
/// stall limit of a router, and checks that all streams are complete. Event 1
/// of each must have been read.
void stallAndResume(FakePlatform &Platform, const Streams &OpenStreams,
                    unsigned Events);

/// The status of a lookup with this key.
unsigned lookStatus(const ForwardRouter &Router, const std::string &Key,
                    const std::string &Target = "/look/a");

/// Writes many rows that concern no router: more than are written after the
/// store was restored, so that the versions given out again stay below those
/// known before.
void writeUnrelatedRows(FakePlatform &Platform);

/// The store is away for \p Time and comes back with the content of \p Copy.
void restoreAfter(
    FakePlatform &Platform,
    const std::shared_ptr<const FakePlatform::StoreCopy> &Copy,
    StoreMode Mode = StoreMode::Unavailable,
    std::chrono::milliseconds Time = std::chrono::milliseconds(700));

} // namespace mimosadale::tests

#endif
