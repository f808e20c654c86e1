#pragma once

#include "LibCoordination/ConfigurationMessages.h"
#include "LibCoordination/Message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace fennelline {

/// One revision of the configuration document, as text.
struct ConfigurationText {
  Revision m_revision = 0;
  std::string m_text;
};

/// The newest document and a few previous ones, so that a peer that has one of them can be sent a
/// delta.
class ConfigurationHistory {
public:
  explicit ConfigurationHistory(std::size_t aPastDocuments)
    : m_pastDocuments(aPastDocuments) {}

  const ConfigurationText& Newest() const { return m_newest; }
  /// Adds a document that is newer than Newest().
  void Add(ConfigurationText aDocument);
  /// Encodes the newest document for a peer that has revision aBase: as a delta if the base is
  /// known, otherwise in full.
  Message MakeMessage(Revision aBase) const;
  /// Applies a delta to its base. Empty if the base is unknown or does not match.
  std::optional<ConfigurationText> Resolve(const ConfigurationDelta& aDelta) const;

private:
  const ConfigurationText* Find(Revision aRevision) const;

  std::size_t m_pastDocuments;
  ConfigurationText m_newest;
  std::string m_newestHash;
  std::deque<ConfigurationText> m_past;
};

} // namespace fennelline
