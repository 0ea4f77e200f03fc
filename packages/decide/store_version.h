// The order of the store's states.
#ifndef MIMOSADALE_DECIDE_STORE_VERSION_H
#define MIMOSADALE_DECIDE_STORE_VERSION_H

#include "base/units.h"

#include <compare>
#include <cstdint>
#include <string>

namespace mimosadale::decide {

/// Rises by one each time that the store comes back from an older copy of
/// itself; the default value while the store states none.
enum class StoreEra : std::uint64_t {};

/// A version of the store or of one of its rows. Numbers rise within an era
/// only: a restored store goes back to an earlier number and gives the same
/// numbers out again for other content. So versions are ordered by era first,
/// and a number alone cannot be compared.
///
/// \par Thread safety
/// As a plain value.
class StoreVersion {
public:
  StoreVersion() = default;

  /// \pre None.
  StoreVersion(StoreEra Era, std::uint64_t Number)
      : m_Era(Era), m_Number(Number) {}

  /// \pre None, as for all members.
  StoreEra era() const { return m_Era; }

  /// Whether it is older than every version that the store gives out.
  bool isZero() const { return m_Number == 0; }

  /// The number as the store writes it, which only its codec needs.
  std::uint64_t wireNumber() const { return m_Number; }

  /// For logs: `era:number`, the number alone without eras.
  std::string text() const {
    const std::string Number = std::to_string(m_Number);
    return m_Era == StoreEra{} ? Number
                               : std::to_string(raw(m_Era)) + ":" + Number;
  }

  auto operator<=>(const StoreVersion &) const = default;

private:
  StoreEra m_Era{};
  std::uint64_t m_Number = 0;
};

} // namespace mimosadale::decide

#endif
