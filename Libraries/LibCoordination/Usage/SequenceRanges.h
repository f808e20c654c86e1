#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace fennelline {

/// A set of numbers as ranges. Small for numbers with few gaps.
class SequenceRanges {
public:
  void Add(std::uint64_t aNumber) { AddRange(aNumber, aNumber); }
  void AddRange(std::uint64_t aFirst, std::uint64_t aLast);
  bool Contains(std::uint64_t aNumber) const;
  /// The highest N with 1 … N all in the set; zero where 1 is not.
  std::uint64_t ContiguousUpTo() const;
  /// First number to last number of each range.
  const std::map<std::uint64_t, std::uint64_t>& Ranges() const { return m_ranges; }

  friend bool operator==(const SequenceRanges&, const SequenceRanges&) = default;

private:
  std::map<std::uint64_t, std::uint64_t> m_ranges;
};

} // namespace fennelline
