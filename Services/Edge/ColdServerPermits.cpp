// The part of ServerPermits for servers that are cold, or may be so without anybody knowing.

#include "Services/Edge/ServerPermits.h"

#include <algorithm>

namespace fennelline {

PermitNeed ServerPermits::NeedFor(const BackendLink& aBackend) const {
  if (aBackend.m_limit.PerSecond() || IsCold(aBackend)) {
    return PermitNeed::Required;
  }
  return m_context.m_loop.Now() < aBackend.m_crowdedUntil ? PermitNeed::Advised : PermitNeed::None;
}

bool ServerPermits::IsCold(const BackendLink& aBackend) const {
  return m_context.m_settings.m_coldOverage > 0.0 &&
         aBackend.m_cold.IsCold(m_context.ColdRulesOf(aBackend.m_record.m_service),
                                m_context.m_loop.Now());
}

std::optional<PermitTerms> ServerPermits::ColdTermsFor(const BackendLink& aBackend) const {
  const ColdRules rules = m_context.ColdRulesOf(aBackend.m_record.m_service);
  const Time now = m_context.m_loop.Now();
  const bool isBound =
    rules.IsOn() && (aBackend.m_cold.IsCold(rules, now) || now < aBackend.m_crowdedUntil);
  return isBound ? std::optional<PermitTerms>(rules.Terms()) : std::nullopt;
}

std::optional<PermitTerms> ServerPermits::TermsFor(const BackendLink& aBackend) const {
  std::optional<PermitTerms> named;
  if (const std::optional<double> perSecond = aBackend.m_limit.PerSecond()) {
    named = PermitTerms{.m_perSecond = *perSecond, .m_mostUnused = kMaxPermits};
  }
  return Stricter(named, ColdTermsFor(aBackend));
}

void ServerPermits::OnSentFreely(BackendLink& aBackend) {
  const ColdRules rules = m_context.ColdRulesOf(aBackend.m_record.m_service);
  if (!rules.IsOn()) {
    return;
  }
  const Time now = m_context.m_loop.Now();
  const PermitTerms terms = rules.Terms();
  const Entry& issuer = IssuerOf(aBackend.m_identity);
  // This entry alone may send too many before the issuer's notice comes.
  if (!issuer.m_isSelf &&
      m_own.Count(aBackend.m_identity, terms, 1.0, now) >= rules.CrowdedFromOne()) {
    aBackend.m_crowdedUntil = now + kCrowdedTime;
  }
  const SendReport report{.m_server = aBackend.m_identity,
                          .m_terms = terms,
                          .m_crowdedFrom = rules.CrowdedFrom(),
                          .m_replyTo =
                            issuer.m_isSelf ? std::string() : m_members.Self().m_datagramAddress};
  if (issuer.m_isSelf) {
    CountSent(report);
    return;
  }
  m_members.SendPeerMessage(issuer.m_address, kReportType + EncodeSendReport(report));
}

void ServerPermits::OnReport(const std::string& aBytes) {
  const Result<SendReport> report = DecodeSendReport(aBytes);
  if (report.IsError()) {
    LogUnreadable("send-report", aBytes);
    return;
  }
  CountSent(report.Get());
}

void ServerPermits::CountSent(const SendReport& aReport) {
  const Time now = m_context.m_loop.Now();
  const std::uint64_t server = aReport.m_server;
  const std::size_t sent = m_issuer.Count(server, aReport.m_terms, m_share.At(now), now);
  const bool isCrowded = sent >= aReport.m_crowdedFrom;
  const std::shared_ptr<BackendLink> backend = m_context.m_backends.FindIdentity(server);
  const bool isCold = backend && IsCold(*backend);
  if (!isCrowded && !isCold) {
    return;
  }
  const ColdNotice notice =
    isCold ? ColdNoticeOf(*backend) : ColdNotice{.m_server = server, .m_left = kCrowdedTime};
  const std::string message = kColdNoticeType + EncodeColdNotices({notice});
  if (isCrowded && backend) {
    backend->m_crowdedUntil = now + kCrowdedTime;
  }
  Time& told = m_crowdTold[server];
  if (isCrowded && now - told >= kCrowdNoticeInterval) {
    told = now;
    // All entries may send to it next.
    SendToSome(message, m_entries.size());
  }
  if (!aReport.m_replyTo.empty()) {
    m_members.SendPeerMessage(aReport.m_replyTo, message);
  }
}

ColdNotice ServerPermits::ColdNoticeOf(const BackendLink& aBackend) const {
  const Time now = m_context.m_loop.Now();
  const Time until = aBackend.m_cold.Until(m_context.ColdRulesOf(aBackend.m_record.m_service));
  return {.m_server = aBackend.m_identity,
          .m_isCold = true,
          .m_left = until - now,
          .m_age = now - aBackend.m_cold.AsOf()};
}

void ServerPermits::OnColdNotices(const std::string& aBytes) {
  const Result<std::vector<ColdNotice>> notices = DecodeColdNotices(aBytes);
  if (notices.IsError()) {
    LogUnreadable("cold-notice", aBytes);
    return;
  }
  const Time now = m_context.m_loop.Now();
  for (const ColdNotice& notice : notices.Get()) {
    const std::shared_ptr<BackendLink> backend = m_context.m_backends.FindIdentity(notice.m_server);
    if (!backend) {
      continue;
    }
    if (!notice.m_isCold) {
      backend->m_crowdedUntil = now + std::min(notice.m_left, kCrowdedTime);
    } else if (backend->m_cold.OnNotice(now + notice.m_left, now - notice.m_age)) {
      LogIfCold(*backend);
    }
  }
}

void ServerPermits::OnColdAnswer(BackendLink& aBackend, Duration aLeft, Time aSentAt) {
  const bool wasCold = IsCold(aBackend);
  aBackend.m_cold.OnAnswer(aLeft, aSentAt, m_context.m_loop.Now());
  if (!wasCold && IsCold(aBackend)) {
    LogIfCold(aBackend);
    SendToSome(kColdNoticeType + EncodeColdNotices({ColdNoticeOf(aBackend)}), kNoticeReceivers);
  }
}

void ServerPermits::LogIfCold(BackendLink& aBackend) const {
  const Time now = m_context.m_loop.Now();
  if (!IsCold(aBackend) || now < aBackend.m_coldLoggedUntil) {
    return;
  }
  aBackend.m_coldLoggedUntil =
    aBackend.m_cold.Until(m_context.ColdRulesOf(aBackend.m_record.m_service));
  LogLine line("server-cold");
  line.Text("backend", aBackend.m_record.m_id);
  line.Text("cause", NameOf(kColdCauseNames, aBackend.m_cold.Cause()));
  line.Ms("left", aBackend.m_coldLoggedUntil - now);
  m_context.Log(LogPriority::Notable, line);
}

std::size_t ServerPermits::CountCold() const {
  const std::vector<std::shared_ptr<BackendLink>> all = m_context.m_backends.All();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [this](const std::shared_ptr<BackendLink>& aBackend) {
      return IsCold(*aBackend);
    }));
}

} // namespace fennelline
