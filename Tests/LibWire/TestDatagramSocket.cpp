#include "LibWire/DatagramSocket.h"

#include "Tests/LibWire/Collector.h"

#include <doctest/doctest.h>

using namespace fennelline;
using namespace fennelline::test;

namespace {

constexpr std::chrono::milliseconds kLimit{5'000};

MembershipDatagram Numbered(std::uint64_t aNumber) {
  MembershipDatagram datagram;
  datagram.m_number = aNumber;
  return datagram;
}

} // namespace

TEST_CASE("datagrams are accepted with any shared secret and with no other") {
  Collector<MembershipDatagram> received;
  DatagramSocket receiver(
    {.m_sharedSecrets = {"secret-number-two", "secret-number-one"}},
    [&](MembershipDatagram aDatagram) { received.Add(std::move(aDatagram)); });
  const std::string address = "127.0.0.1:" + std::to_string(receiver.Start().Take());
  DatagramSocket sender({.m_sharedSecrets = {"secret-number-one"}},
                        [](const MembershipDatagram&) {});
  DatagramSocket stranger({.m_sharedSecrets = {"another-secret!!"}},
                          [](const MembershipDatagram&) {});
  REQUIRE(sender.Start());
  REQUIRE(stranger.Start());
  CHECK(stranger.Send(address, Numbered(1)));
  CHECK(sender.Send(address, Numbered(2)));
  REQUIRE(received.WaitForCount(1, kLimit));
  CHECK(received.Items().front().m_number == 2);
  CHECK(receiver.CountRefused() == 1);
}

TEST_CASE("a datagram that is too long or has an invalid address is not sent") {
  DatagramSocket socket({.m_sharedSecrets = {"secret-number-one"}},
                        [](const MembershipDatagram&) {});
  REQUIRE(socket.Start());
  MembershipDatagram datagram;
  datagram.m_members.resize(2'000);
  CHECK(socket.Send("127.0.0.1:9", datagram).GetError().m_code == ErrorCode::LimitExceeded);
  CHECK(socket.Send("somewhere:9", Numbered(1)).GetError().m_code == ErrorCode::InvalidField);
  CHECK(socket.Send("127.0.0.1:70000", Numbered(1)).IsError());
}

TEST_CASE("no two sockets receive on the same port") {
  const auto ignore = [](const MembershipDatagram&) {};
  DatagramSocket first({.m_sharedSecrets = {"secret-number-one"}}, ignore);
  const int port = first.Start().Take();
  DatagramSocket second({.m_port = port, .m_sharedSecrets = {"secret-number-one"}}, ignore);
  CHECK(second.Start().IsError());
}
