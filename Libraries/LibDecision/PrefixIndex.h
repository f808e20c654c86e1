#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Which prompt prefixes are believed to be cached at each backend server, from its cache events
/// and from what was sent there. Each server has one table of fixed size, in which a newer prefix
/// overwrites an older one: memory is bounded by the number of servers.
class PrefixIndex {
public:
  /// A server's cache events. After a gap, earlier knowledge counts less until events come again.
  void OnCacheEvents(const std::string& aServer, std::span<const std::uint64_t> aAdded,
                     std::span<const std::uint64_t> aRemoved, bool aGap);
  /// A request with these prefix hashes was sent to the server: it will be cached there, and the
  /// event that says so comes late.
  void OnSent(const std::string& aServer, std::span<const std::uint64_t> aHashes);
  /// The server is gone or was replaced.
  void Forget(const std::string& aServer);
  /// Leading tokens of the prompt that the server is expected to have cached.
  std::int64_t CachedTokens(const std::string& aServer,
                            std::span<const std::uint64_t> aHashes) const;
  std::size_t ServerCount() const { return m_servers.size(); }

private:
  struct Server {
    /// Tags (upper hash bits) by the lower hash bits; zero is an empty cell.
    std::vector<std::uint32_t> m_tags;
    /// The share of the table that is believed to hold still.
    double m_confidence = 1.0;
  };
  static bool Contains(const Server& aServer, std::uint64_t aHash);
  static void Insert(Server& aServer, std::uint64_t aHash);
  static void Remove(Server& aServer, std::uint64_t aHash);

  std::unordered_map<std::string, Server> m_servers;
};

} // namespace fennelline
