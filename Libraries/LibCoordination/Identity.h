#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace fennelline {

/// One run of an entry process: "NAME#INCARNATION". A restarted process is always a new member
/// because its memory is gone: its answers must not be mistaken for those of its predecessor.
using EntryId = std::string;

/// The name of a data centre, as given in the settings.
using DataCentre = std::string;

/// The name of a backend server, as given in the VM list.
using BackendServerId = std::string;

/// Identifies a caller's request by the customer and its idempotency key. If the caller sends no
/// key, the entry generates a unique one.
struct RequestIdentity {
  std::string m_customer;
  std::string m_key;

  friend auto operator<=>(const RequestIdentity&, const RequestIdentity&) = default;
  friend bool operator==(const RequestIdentity&, const RequestIdentity&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_customer, m_key);
  }
};

/// One attempt of an entry to run a request. Globally unique, because EntryId is unique.
struct AttemptId {
  EntryId m_entry;
  std::uint64_t m_number = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
  friend bool operator==(const AttemptId&, const AttemptId&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_entry, m_number);
  }
};

struct RequestIdentityHash {
  std::size_t operator()(const RequestIdentity& aIdentity) const {
    constexpr std::size_t kMultiplier = 0x9e3779b97f4a7c15ULL;
    const std::hash<std::string> hash;
    return hash(aIdentity.m_customer) * kMultiplier + hash(aIdentity.m_key);
  }
};

} // namespace fennelline
