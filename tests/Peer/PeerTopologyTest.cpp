#include "marigoldspool/Peer/PeerTopology.h"

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldspool;

namespace {

std::vector<TopologyMember> makeMembers(int zones, int perZone)
{
    std::vector<TopologyMember> members;
    members.reserve(static_cast<std::size_t>(zones) * static_cast<std::size_t>(perZone));
    for (int z = 0; z < zones; ++z) {
        const std::string zone = "zone-" + std::to_string(z);
        for (int i = 0; i < perZone; ++i) {
            members.push_back({InstanceId(zone + "-" + std::to_string(i)), ZoneName(zone)});
        }
    }
    return members;
}

bool hasPeer(const InstanceId &self, const InstanceId &peer,
             const std::vector<TopologyMember> &members)
{
    const auto peers = choosePeers(self, members);
    return std::binary_search(peers.begin(), peers.end(), peer);
}

} // namespace

// Guards against links that only one end keeps: the other end would never dial or would close them.
TEST_CASE("instances with the same view agree on every link between them")
{
    CHECK(rc::check([]() {
        const int zones = *rc::gen::inRange(1, 6);
        std::vector<TopologyMember> members;
        for (int z = 0; z < zones; ++z) {
            const int count = *rc::gen::inRange(0, 7);
            for (int i = 0; i < count; ++i) {
                members.push_back({InstanceId(std::to_string(z) + "-" + std::to_string(i)),
                                   ZoneName("z" + std::to_string(z)), *rc::gen::arbitrary<bool>()});
            }
        }
        for (const TopologyMember &a : members) {
            for (const TopologyMember &b : members) {
                RC_ASSERT(hasPeer(a.id, b.id, members) == hasPeer(b.id, a.id, members));
                RC_ASSERT(a.zone != b.zone || a.id == b.id || hasPeer(a.id, b.id, members));
            }
        }
    }));
}

TEST_CASE("the order of the members does not matter and an instance never lists itself")
{
    std::vector<TopologyMember> members = makeMembers(3, 5);
    const auto peers = choosePeers(members[0].id, members);
    std::reverse(members.begin(), members.end());
    CHECK(choosePeers(members.back().id, members) == peers);
    CHECK_FALSE(hasPeer(members[0].id, members[0].id, members));
    CHECK(choosePeers(InstanceId("stranger"), members).empty());
}

TEST_CASE("every instance is linked to at least two instances of each other zone")
{
    const std::vector<TopologyMember> members = makeMembers(5, 8);
    for (const TopologyMember &self : members) {
        std::map<ZoneName, int> links;
        for (const TopologyMember &peer : members) {
            links[peer.zone] += hasPeer(self.id, peer.id, members) ? 1 : 0;
        }
        for (const auto &[zone, count] : links) {
            CHECK(count >= (zone == self.zone ? 7 : 2));
        }
    }
}

TEST_CASE("a small fleet is a full mesh")
{
    const std::vector<TopologyMember> members = makeMembers(3, 2);
    for (const TopologyMember &self : members) {
        CHECK(choosePeers(self.id, members).size() == 5);
    }
}

// Guards against exceeding the number of connections that this topology is meant to bound.
TEST_CASE("at 370 instances most have 81 links and gateways have fewer than in a full mesh")
{
    const std::vector<TopologyMember> members = makeMembers(5, 74);
    std::map<std::size_t, int> degrees;
    for (const TopologyMember &self : members) {
        ++degrees[choosePeers(self.id, members).size()];
    }
    for (const auto &[degree, count] : degrees) {
        MESSAGE("links " << degree << ", instances " << count);
    }
    CHECK(degrees.begin()->first == 73 + 4 * 2);
    CHECK(degrees.begin()->second >= 370 - 5 * 4 * 2);
    CHECK(degrees.rbegin()->first < 300);
}

// Guards against links between zones that change when an instance that is not a gateway leaves.
TEST_CASE("removing a member removes no links between the remaining members")
{
    const std::vector<TopologyMember> members = makeMembers(4, 10);
    for (std::size_t removed = 0; removed < members.size(); ++removed) {
        std::vector<TopologyMember> fewer = members;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
        for (std::size_t n = 0; n < members.size(); n += 7) {
            if (n == removed) {
                continue;
            }
            std::set<InstanceId> lost;
            for (const InstanceId &peer : choosePeers(members[n].id, members)) {
                if (!hasPeer(members[n].id, peer, fewer)) {
                    lost.insert(peer);
                }
            }
            lost.erase(members[removed].id);
            CHECK(lost.empty());
        }
    }
}

// Guards against links that end at the begin of a planned stop, while the instance still serves,
// and against zones that are linked only by instances that are about to end.
TEST_CASE("members that begin to stop keep their links and are replaced as gateways")
{
    const std::vector<TopologyMember> before = makeMembers(3, 6);
    std::vector<TopologyMember> after = before;
    for (TopologyMember &member : after) {
        const std::string &id = member.id.str();
        member.isStopping = id.back() < '4';
    }
    for (const TopologyMember &self : after) {
        std::map<ZoneName, int> lasting;
        for (const TopologyMember &peer : after) {
            const bool isLinked = hasPeer(self.id, peer.id, after);
            CHECK((isLinked || !hasPeer(self.id, peer.id, before)));
            lasting[peer.zone] += isLinked && !peer.isStopping ? 1 : 0;
        }
        for (const auto &[zone, count] : lasting) {
            CHECK(count >= (zone == self.zone ? 1 : 2));
        }
    }
    CHECK(electableMembers(after).size() == 6);
    CHECK(electableMembers(gsl::make_span(after).first(4)).size() == 4);
}
