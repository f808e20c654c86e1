#include "Utilities/MeasureSpread/FakePlatform.h"

#include <utility>
#include <variant>

namespace fennelline {

std::optional<PlatformReply> FakePlatform::Handle(int aCaller, const CallPlatform& aCall,
                                                  Time aNow) {
  m_now = aNow;
  ++m_calls;
  EndLeases();
  PlatformReply reply = Status(PlatformStatus::Unavailable);
  if (!m_down) {
    reply = std::visit([this](const auto& aRequest) { return Reply(aRequest); }, aCall.m_request);
  }
  reply.m_call = aCall.m_call;
  const WatchKeys* watch = std::get_if<WatchKeys>(&aCall.m_request);
  const bool waits =
    watch != nullptr && !m_down && reply.m_keys.empty() && watch->m_waitMilliseconds > 0;
  if (!waits) {
    return reply;
  }
  m_watches.push_back(
    {aCaller, aCall.m_call, *watch, aNow + Milliseconds(watch->m_waitMilliseconds)});
  return std::nullopt;
}

std::vector<PlatformReplyTo> FakePlatform::Advance(Time aNow) {
  m_now = aNow;
  EndLeases();
  std::vector<PlatformReplyTo> replies;
  std::vector<Watch> waiting;
  for (Watch& watch : m_watches) {
    PlatformReply reply =
      m_down ? Status(PlatformStatus::Unavailable) : Reply(std::as_const(watch.m_request));
    reply.m_call = watch.m_call;
    const bool isDue = m_down || !reply.m_keys.empty() || aNow >= watch.m_ends;
    if (isDue) {
      replies.push_back({watch.m_caller, std::move(reply)});
    } else {
      waiting.push_back(std::move(watch));
    }
  }
  m_watches = std::move(waiting);
  return replies;
}

Revision FakePlatform::Write(const std::string& aKey, const std::string& aValue) {
  ++m_state.m_revision;
  m_state.m_keys[aKey] = KeyValue{aKey, aValue, m_state.m_revision};
  return m_state.m_revision;
}

void FakePlatform::FreezeWithout(const std::string& aKey, const std::string& aValue,
                                 Revision aRevision) {
  Freeze();
  m_frozen->m_keys[aKey] = KeyValue{aKey, aValue, aRevision};
  m_frozen->m_revision = aRevision;
}

const KeyValue* FakePlatform::Find(const std::string& aKey) const {
  const auto found = m_state.m_keys.find(aKey);
  return found == m_state.m_keys.end() ? nullptr : &found->second;
}

PlatformReply FakePlatform::Reply(const GetKey& aGet) const {
  const auto found = Seen().m_keys.find(aGet.m_key);
  if (found == Seen().m_keys.end()) {
    return Status(PlatformStatus::NotFound);
  }
  PlatformReply reply = Status(PlatformStatus::Ok);
  reply.m_keys.push_back(found->second);
  return reply;
}

PlatformReply FakePlatform::Reply(const ListKeys& aList) const {
  PlatformReply reply = Status(PlatformStatus::Ok);
  for (const auto& [key, value] : Seen().m_keys) {
    if (key.starts_with(aList.m_prefix)) {
      reply.m_keys.push_back(value);
    }
  }
  return reply;
}

PlatformReply FakePlatform::Reply(const PutKey& aPut) {
  if (m_frozen) {
    return Status(PlatformStatus::Unavailable);
  }
  const auto found = m_state.m_keys.find(aPut.m_key);
  const Revision present = found == m_state.m_keys.end() ? kAbsent : found->second.m_revision;
  if (present != aPut.m_expected) {
    PlatformReply reply = Status(PlatformStatus::Conflict);
    if (present != kAbsent) {
      reply.m_keys.push_back(found->second);
    }
    return reply;
  }
  if (aPut.m_lease && !m_leases.contains(*aPut.m_lease)) {
    return Status(PlatformStatus::NotFound);
  }
  Write(aPut.m_key, aPut.m_value);
  m_leaseOfKey.erase(aPut.m_key);
  if (aPut.m_lease) {
    m_leaseOfKey[aPut.m_key] = *aPut.m_lease;
  }
  return Status(PlatformStatus::Ok);
}

PlatformReply FakePlatform::Reply(const RemoveKey& aRemove) {
  const auto found = m_state.m_keys.find(aRemove.m_key);
  if (found == m_state.m_keys.end() || found->second.m_revision != aRemove.m_expected) {
    return Status(PlatformStatus::Conflict);
  }
  m_state.m_keys.erase(found);
  ++m_state.m_revision;
  return Status(PlatformStatus::Ok);
}

PlatformReply FakePlatform::Reply(const GrantLease& aGrant) {
  const Duration life = Milliseconds(aGrant.m_milliseconds);
  m_leases[++m_lastLease] = Lease{life, m_now + life};
  PlatformReply reply = Status(PlatformStatus::Ok);
  reply.m_lease = m_lastLease;
  return reply;
}

PlatformReply FakePlatform::Reply(const RenewLease& aRenew) {
  const auto found = m_leases.find(aRenew.m_lease);
  if (found == m_leases.end()) {
    return Status(PlatformStatus::NotFound);
  }
  found->second.m_ends = m_now + found->second.m_life;
  return Status(PlatformStatus::Ok);
}

PlatformReply FakePlatform::Reply(const EndLease& aEnd) {
  EndLeaseOf(aEnd.m_lease);
  return Status(PlatformStatus::Ok);
}

PlatformReply FakePlatform::Reply(const WatchKeys& aWatch) const {
  PlatformReply reply = Status(PlatformStatus::Ok);
  for (const auto& [key, value] : Seen().m_keys) {
    if (key.starts_with(aWatch.m_prefix) && value.m_revision > aWatch.m_after) {
      reply.m_keys.push_back(value);
    }
  }
  return reply;
}

PlatformReply FakePlatform::Status(PlatformStatus aStatus) const {
  PlatformReply reply;
  reply.m_status = aStatus;
  reply.m_revision = Seen().m_revision;
  return reply;
}

void FakePlatform::EndLeaseOf(std::uint64_t aLease) {
  m_leases.erase(aLease);
  for (auto item = m_leaseOfKey.begin(); item != m_leaseOfKey.end();) {
    if (item->second == aLease) {
      m_state.m_keys.erase(item->first);
      ++m_state.m_revision;
      item = m_leaseOfKey.erase(item);
    } else {
      ++item;
    }
  }
}

void FakePlatform::EndLeases() {
  std::vector<std::uint64_t> ended;
  for (const auto& [lease, state] : m_leases) {
    if (m_now >= state.m_ends) {
      ended.push_back(lease);
    }
  }
  for (const std::uint64_t lease : ended) {
    EndLeaseOf(lease);
  }
}

} // namespace fennelline
