#pragma once

#include "LibHttp/ServerChannel.h"
#include "LibRouting/EventFramer.h"
#include "LibRouting/Placement.h"
#include "LibRouting/RequestPlan.h"
#include "LibRouting/RequestTraits.h"
#include "Services/Edge/EdgeContext.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Takes one request from its caller to backend servers and the answer back. The decisions are
/// RequestPlan's and Placement's; this carries them out on the channels.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
public:
  /// Takes the request over. It keeps itself alive until the request has ended.
  static void Start(EdgeContext& aContext, std::shared_ptr<ServerChannel> aCaller,
                    IncomingRequest aRequest);

  RequestRelay(EdgeContext& aContext, std::shared_ptr<ServerChannel> aCaller,
               IncomingRequest aRequest);

private:
  struct Attempt {
    std::shared_ptr<BackendLink> m_backend;
    std::shared_ptr<ClientChannel> m_channel;
    std::string m_model;
    Time m_sent{};
    Time m_firstByte{};
    int m_events = 0;
    /// The answer's head, once it has come.
    MessageHead m_head;
    AnswerTraits m_traits;
    bool m_hasHead = false;
    /// The server has turned the request away.
    bool m_notRun = false;
    bool m_isStream = false;
    /// Its connection broke.
    bool m_isBroken = false;
    std::string m_body;
  };
  /// A backend server's own failure, kept in case nothing better comes.
  struct FailureAnswer {
    MessageHead m_head;
    std::string m_body;
  };

  void Admit();
  void WaitForConfiguration();
  bool FindRoute();
  void Reject(int aStatus, std::string_view aReason);
  void Dispatch();
  std::shared_ptr<BackendLink> Place();
  PlacementQuery MakeQuery(const Service* aService) const;
  /// Long prompts on the route's largest model make the events of other answers late.
  bool HasLatePauses(const Service& aService) const;
  static std::vector<bool> SetApart(const std::vector<std::shared_ptr<BackendLink>>& aServers);
  void CountReading(BackendLink& aBackend, const PlacementQuery& aQuery, bool aHeld);
  std::vector<std::shared_ptr<BackendLink>> Eligible() const;
  VersionRule RuleForRequest() const;
  void KeepRunningSession();
  void TellRunningSession();
  std::string ChooseModel() const;
  std::string EncodeForBackend(const BackendLink& aBackend, const std::string& aModel);
  CallListener MakeListener();

  HeadVerdict OnHead(const MessageHead& aHead);
  void OnBody(std::string_view aPart);
  void OnComplete();
  void OnStreamPart(std::string_view aPart);
  void OnFailed(CallFailure aFailure);
  void OnCallerGone();
  void OnTimeUp();
  void OnStall();
  bool IsDoubtful() const;
  double MsBehind() const;
  bool TryReplaceRun(int aSpare);
  void Escalate();
  Duration Pace() const;
  void EndAttempt(AttemptOutcome aOutcome);
  void ReleaseAttempt();
  void Act(NextAction aAction);
  void PassOnFailure();
  void Refuse(std::string_view aReason, Duration aRetryAfter);
  void End(RequestEnd aEnd, int aStatus);
  void ArmStall(Duration aTime);
  void TellEvidence(bool aIsBad);
  Duration RetryAfter() const;

  EdgeContext& m_context;
  std::shared_ptr<ServerChannel> m_caller;
  IncomingRequest m_request;
  RequestTraits m_traits;
  std::shared_ptr<const RouteTable> m_routes;
  const Route* m_route = nullptr;
  const ClientAccount* m_account = nullptr;
  std::string m_service;
  /// Of the backend server that it was last sent to.
  std::string m_version;
  RequestPlan m_plan{{}};
  EventFramer m_framer;
  std::optional<Attempt> m_attempt;
  std::optional<FailureAnswer> m_failure;
  /// Backend servers that are not tried again for this request.
  std::vector<std::string> m_tried;
  std::uint64_t m_hash = 0;
  /// Part of an answer has gone to the caller.
  bool m_answerBegun = false;
  /// Tokens of the prompt that the server has to read.
  std::int64_t m_tokensToRead = 0;
  /// The server is believed to hold its shared prefix.
  bool m_prefixHeld = false;
  /// How long the server was foreseen to read other prompts when it was sent.
  Duration m_foreseenWait{0};
  bool m_ended = false;
  /// The smallest model doubts its answer.
  bool m_wantsLargest = false;
  /// Its session runs on the version that is being replaced, or the new version has failed it.
  bool m_leftTrial = false;
  EventLoop::TimerId m_timeUp = EventLoop::kNoTimer;
  EventLoop::TimerId m_stall = EventLoop::kNoTimer;
  Time m_firstByte{};
  /// Between events of the answer, as they came from backend servers.
  Duration m_longestPause{0};
  Time m_lastEvents{};
};

} // namespace fennelline
