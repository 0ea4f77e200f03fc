// Strong integer types, and the types for durations and points in time.
#ifndef MIMOSADALE_BASE_UNITS_H
#define MIMOSADALE_BASE_UNITS_H

#include <chrono>
#include <cstdint>

namespace mimosadale {

using Duration = std::chrono::nanoseconds;

/// A point on a monotonic clock. Decision code takes the current time as an
/// argument and reads no clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The attempt number of a model request. Replies that carry another epoch are
/// dropped.
enum class Epoch : std::uint64_t {};

/// The number of a configuration; increases with each accepted one.
enum class Generation : std::uint64_t {};

/// Increases each time a process or an endpoint restarts.
enum class Incarnation : std::uint64_t {};

/// The index of a token in its request, counted from the first prompt token.
enum class Position : std::uint64_t {};

/// The underlying value of a strong integer. Safe from any thread.
template <typename Strong> constexpr std::uint64_t raw(Strong Value) {
  return static_cast<std::uint64_t>(Value);
}

/// The value \p Steps after \p Value. Safe from any thread.
template <typename Strong>
constexpr Strong advance(Strong Value, std::uint64_t Steps = 1) {
  return static_cast<Strong>(static_cast<std::uint64_t>(Value) + Steps);
}

/// 2^53: integers up to this value are exact in a double, and so in JSON
/// (RFC 8259, section 6).
constexpr double MaxExactInteger = 9007199254740992.0;

/// \p Value in seconds. Safe from any thread.
constexpr double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// \p Seconds as a duration. Safe from any thread.
constexpr Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace mimosadale

#endif
