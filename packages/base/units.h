// Strong types for numbers that must not be mixed, and the types of time.
#ifndef MIMOSADALE_BASE_UNITS_H
#define MIMOSADALE_BASE_UNITS_H

#include <chrono>
#include <cstdint>

namespace mimosadale {

using Duration = std::chrono::nanoseconds;

/// A point on a monotonic clock. Decisions take it as an argument.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The attempt number of a model request; replies of another epoch are dropped.
enum class Epoch : std::uint64_t {};

/// Rises with each accepted configuration.
enum class Generation : std::uint64_t {};

/// Rises each time a process or an endpoint starts again.
enum class Incarnation : std::uint64_t {};

/// The place of a token in its request, counted from the first prompt token.
enum class Position : std::uint64_t {};

/// The number value of a strong integer. Safe from any thread.
template <typename Strong> constexpr std::uint64_t raw(Strong Value) {
  return static_cast<std::uint64_t>(Value);
}

/// The value \p Steps after \p Value. Safe from any thread.
template <typename Strong>
constexpr Strong advance(Strong Value, std::uint64_t Steps = 1) {
  return static_cast<Strong>(static_cast<std::uint64_t>(Value) + Steps);
}

/// 2^53: whole numbers up to it are exact in a double, and so in JSON (RFC
/// 8259, section 6).
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
