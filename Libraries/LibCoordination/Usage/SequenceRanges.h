#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace fennelline {

/// A set of numbers stored as ranges, which is compact if the numbers have few gaps.
class SequenceRanges {
public:
  void Add(std::uint64_t aNumber) { AddRange(aNumber, aNumber); }
  void AddRange(std::uint64_t aFirst, std::uint64_t aLast);
  bool Contains(std::uint64_t aNumber) const;
  /// The highest N for which 1 … N are all in the set; zero if 1 is not.
  std::uint64_t ContiguousUpTo() const;
  /// The ranges, as a map from the first number to the last.
  const std::map<std::uint64_t, std::uint64_t>& Ranges() const { return m_ranges; }

  friend bool operator==(const SequenceRanges&, const SequenceRanges&) = default;

private:
  std::map<std::uint64_t, std::uint64_t> m_ranges;
};

} // namespace fennelline
