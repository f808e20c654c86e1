#include "LibDecision/Admission.h"

#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

namespace {

AdmissionQuery MakeQuery(const std::string& aCustomer, Urgency aUrgency) {
  return {.m_pool = "pool",
          .m_customer = aCustomer,
          .m_urgency = aUrgency,
          .m_timeLeft = Seconds(10),
          .m_expectedTime = Seconds(1),
          .m_work = 1.0,
          .m_poolFree = 0.0,
          .m_poolSlots = 9.0};
}

/// Sends requests until the first refusal and returns the number admitted.
int Fill(AdmissionController& aController, const AdmissionQuery& aQuery, Time aNow) {
  constexpr int kMax = 1000;
  int admitted = 0;
  while (admitted < kMax &&
         aController.Decide(aQuery, aNow).m_verdict == AdmissionVerdict::Admitted) {
    ++admitted;
  }
  return admitted;
}

} // namespace

TEST_CASE("a request that cannot finish in time is refused immediately, with a retry delay") {
  AdmissionController controller;
  AdmissionQuery query = MakeQuery("a", Urgency::Interactive);
  query.m_expectedTime = Seconds(11);
  const AdmissionDecision decision = controller.Decide(query, Time{});
  CHECK(decision.m_verdict == AdmissionVerdict::CannotFinishInTime);
  CHECK(decision.m_retryAfter > Duration(0));
}

TEST_CASE("counter requests are admitted while background requests are refused") {
  AdmissionController controller;
  CHECK(Fill(controller, MakeQuery("a", Urgency::Background), Time{}) < 100);
  CHECK(controller.Decide(MakeQuery("a", Urgency::Counter), Time{}).m_verdict ==
        AdmissionVerdict::Admitted);
}

TEST_CASE("a large account that floods the pool does not starve a small one") {
  AdmissionController controller;
  AdmissionQuery large = MakeQuery("large", Urgency::Interactive);
  large.m_share = 10.0;
  const AdmissionQuery small = MakeQuery("small", Urgency::Interactive);
  REQUIRE(Fill(controller, large, Time{}) < 1000);
  int refused = 0;
  // The small account uses half of its share; the large one takes whatever it can get.
  for (int second = 0; second < 100; ++second) {
    const Time now = Time{} + Seconds(second);
    Fill(controller, large, now);
    if (second % 3 == 0) {
      refused += controller.Decide(small, now).m_verdict == AdmissionVerdict::Admitted ? 0 : 1;
      controller.Finished("pool", "small", small.m_work, now);
    }
    for (int slot = 0; slot < 9; ++slot) {
      controller.Finished("pool", "large", large.m_work, now);
    }
  }
  CHECK(refused == 0);
}

TEST_CASE("finished requests make room for new ones") {
  AdmissionController controller;
  const AdmissionQuery query = MakeQuery("a", Urgency::Interactive);
  const int first = Fill(controller, query, Time{});
  CHECK(controller.Decide(query, Time{}).m_verdict != AdmissionVerdict::Admitted);
  for (int request = 0; request < first; ++request) {
    controller.Finished("pool", "a", query.m_work, Time{});
  }
  CHECK(controller.Decide(query, Time{}).m_verdict == AdmissionVerdict::Admitted);
  // Unknown pools, customers and amounts of work change nothing.
  controller.Finished("other", "a", query.m_work, Time{});
  controller.Finished("pool", "b", query.m_work, Time{});
  controller.Finished("pool", "a", 77.0, Time{});
}

TEST_CASE("the retry delay grows with the number of refusals") {
  AdmissionController controller;
  const AdmissionQuery query = MakeQuery("a", Urgency::Interactive);
  Fill(controller, query, Time{});
  const Duration early = controller.Decide(query, Time{}).m_retryAfter;
  for (int refusal = 0; refusal < 200; ++refusal) {
    controller.Decide(query, Time{});
  }
  CHECK(controller.Decide(query, Time{}).m_retryAfter > early);
}

TEST_CASE("pools are counted separately") {
  AdmissionController controller;
  AdmissionQuery query = MakeQuery("a", Urgency::Background);
  Fill(controller, query, Time{});
  query.m_pool = "other";
  CHECK(controller.Decide(query, Time{}).m_verdict == AdmissionVerdict::Admitted);
}
