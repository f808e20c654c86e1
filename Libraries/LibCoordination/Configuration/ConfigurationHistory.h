#pragma once

#include "LibCoordination/ConfigurationMessages.h"
#include "LibCoordination/Message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace fennelline {

/// One revision of the operators' document, as text.
struct ConfigurationText {
  Revision m_revision = 0;
  std::string m_text;
};

/// The newest document and a few before it, so that a peer that has one of these is sent the
/// difference only.
class ConfigurationHistory {
public:
  explicit ConfigurationHistory(std::size_t aPastDocuments)
    : m_pastDocuments(aPastDocuments) {}

  const ConfigurationText& Newest() const { return m_newest; }
  /// Takes a document that is newer than the newest.
  void Add(ConfigurationText aDocument);
  /// The newest document for a peer that has the revision aBase: a difference where that is
  /// shorter, otherwise the whole.
  Message MakeMessage(Revision aBase) const;
  /// The document that a difference stands for; empty where its base is not the one meant.
  std::optional<ConfigurationText> Resolve(const ConfigurationDelta& aDelta) const;

private:
  const ConfigurationText* Find(Revision aRevision) const;

  std::size_t m_pastDocuments;
  ConfigurationText m_newest;
  std::string m_newestHash;
  std::deque<ConfigurationText> m_past;
};

} // namespace fennelline
