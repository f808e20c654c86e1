#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Tracks which prompt prefixes are expected in each backend server's cache, from its cache events
/// and from the requests sent to it. Each server has a table of fixed size in which a newer prefix
/// overwrites an older one, so memory is bounded by the number of servers.
class PrefixIndex {
public:
  /// Applies a server's cache events. After a gap in the events, earlier entries count less until
  /// further events arrive.
  void OnCacheEvents(const std::string& aServer, std::span<const std::uint64_t> aAdded,
                     std::span<const std::uint64_t> aRemoved, bool aGap);
  /// A request with these prefix hashes was sent to the server. They are recorded now, because the
  /// cache event that confirms them arrives late.
  void OnSent(const std::string& aServer, std::span<const std::uint64_t> aHashes);
  /// Removes a server that has left or was replaced.
  void Forget(const std::string& aServer);
  /// Returns the number of leading prompt tokens expected in the server's cache.
  std::int64_t CachedTokens(const std::string& aServer,
                            std::span<const std::uint64_t> aHashes) const;
  std::size_t ServerCount() const { return m_servers.size(); }

private:
  struct Server {
    /// Tags (upper hash bits) indexed by the lower hash bits; zero is an empty cell.
    std::vector<std::uint32_t> m_tags;
    /// Share of the table that is expected to be still valid.
    double m_confidence = 1.0;
  };
  static bool Contains(const Server& aServer, std::uint64_t aHash);
  static void Insert(Server& aServer, std::uint64_t aHash);
  static void Remove(Server& aServer, std::uint64_t aHash);

  std::unordered_map<std::string, Server> m_servers;
};

} // namespace fennelline
