#pragma once

#include "LibCoordination/PlatformCall.h"

#include <map>
#include <string>
#include <utility>
#include <variant>

namespace fennelline {

/// An in-memory implementation of the platform's key-value service with revisions and
/// compare-and-swap. Leases and watches are not supported.
class FakePlatform {
public:
  PlatformReply Handle(const CallId& aCall, const PlatformRequest& aRequest) {
    m_reply = {.m_call = aCall, .m_status = PlatformStatus::Ok};
    // As in docs/design/outside-protocols.md: a read of one key returns that key's revision, or
    // none if the key does not exist; all other replies return the revision of the service.
    bool isOfOneKey = false;
    if (const GetKey* get = std::get_if<GetKey>(&aRequest)) {
      ++m_reads;
      Get(get->m_key);
      isOfOneKey = true;
    } else if (const ListKeys* list = std::get_if<ListKeys>(&aRequest)) {
      ++m_reads;
      List(list->m_prefix);
    } else if (const PutKey* put = std::get_if<PutKey>(&aRequest)) {
      ++m_writes;
      Put(*put);
    } else if (const RemoveKey* remove = std::get_if<RemoveKey>(&aRequest)) {
      ++m_writes;
      Remove(*remove);
    } else {
      m_reply.m_status = PlatformStatus::Unavailable;
    }
    if (!isOfOneKey) {
      m_reply.m_revision = m_revision;
    }
    return m_reply;
  }

  const std::map<std::string, KeyValue>& Keys() const { return m_keys; }
  std::size_t Reads() const { return m_reads; }
  std::size_t Writes() const { return m_writes; }

private:
  void Get(const std::string& aKey) {
    const auto found = m_keys.find(aKey);
    if (found == m_keys.end()) {
      m_reply.m_status = PlatformStatus::NotFound;
      return;
    }
    m_reply.m_keys.push_back(found->second);
    m_reply.m_revision = found->second.m_revision;
  }

  void List(const std::string& aPrefix) {
    for (auto at = m_keys.lower_bound(aPrefix); at != m_keys.end(); ++at) {
      if (!at->first.starts_with(aPrefix)) {
        break;
      }
      m_reply.m_keys.push_back(at->second);
    }
  }

  /// Whether the key is at the expected revision; otherwise the reply becomes a conflict.
  bool IsExpected(const std::string& aKey, Revision aExpected) {
    const auto found = m_keys.find(aKey);
    const Revision present = found == m_keys.end() ? kAbsent : found->second.m_revision;
    if (present == aExpected) {
      return true;
    }
    m_reply.m_status = PlatformStatus::Conflict;
    if (found != m_keys.end()) {
      m_reply.m_keys.push_back(found->second);
    }
    return false;
  }

  void Put(const PutKey& aPut) {
    if (IsExpected(aPut.m_key, aPut.m_expected)) {
      m_keys[aPut.m_key] = {aPut.m_key, aPut.m_value, ++m_revision};
    }
  }

  void Remove(const RemoveKey& aRemove) {
    if (IsExpected(aRemove.m_key, aRemove.m_expected)) {
      m_keys.erase(aRemove.m_key);
      ++m_revision;
    }
  }

  std::map<std::string, KeyValue> m_keys;
  Revision m_revision = 0;
  PlatformReply m_reply;
  std::size_t m_reads = 0;
  std::size_t m_writes = 0;
};

} // namespace fennelline
