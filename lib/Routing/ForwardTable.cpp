#include "marigoldspool/Routing/ForwardTable.h"

#include "marigoldspool/Routing/RetryPolicy.h"

#include <cassert>
#include <utility>

namespace marigoldspool {

namespace {

Refusal lostHomeRefusal(const GiveUp &decision)
{
    return Refusal{decision.reason, decision.ran,
                   "the connection to the instance that handled the request was lost",
                   "find out whether it took effect before sending it again",
                   std::chrono::milliseconds(100)};
}

} // namespace

void ForwardTable::add(Request request, InstanceId home)
{
    const RequestId id = request.id;
    ++request.attempts;
    const bool added = m_open.emplace(id, Open{std::move(request), std::move(home)}).second;
    assert(added && "a request is open at one home at a time");
    static_cast<void>(added);
}

ForwardTable::Open *ForwardTable::find(const RequestId &id, const InstanceId &from)
{
    const auto it = m_open.find(id);
    return it == m_open.end() || it->second.home != from ? nullptr : &it->second;
}

bool ForwardTable::acceptHead(const RequestId &id, const InstanceId &from)
{
    Open *open = find(id, from);
    if (open == nullptr || open->answerStarted) {
        return false;
    }
    open->answerStarted = true;
    return true;
}

bool ForwardTable::acceptData(const RequestId &id, const InstanceId &from, std::uint64_t index)
{
    Open *open = find(id, from);
    if (open == nullptr || !open->answerStarted || open->nextIndex != index) {
        return false;
    }
    ++open->nextIndex;
    return true;
}

bool ForwardTable::isPendingAt(const RequestId &id, const InstanceId &home) const
{
    const auto it = m_open.find(id);
    return it != m_open.end() && it->second.home == home;
}

std::optional<InstanceId> ForwardTable::remove(const RequestId &id)
{
    const auto it = m_open.find(id);
    if (it == m_open.end()) {
        return std::nullopt;
    }
    InstanceId home = std::move(it->second.home);
    m_open.erase(it);
    return home;
}

std::vector<ForwardTable::LossOutcome> ForwardTable::onPeerDown(const InstanceId &home)
{
    std::vector<LossOutcome> outcomes;
    for (auto it = m_open.begin(); it != m_open.end();) {
        if (it->second.home != home) {
            ++it;
            continue;
        }
        Open open = std::move(it->second);
        it = m_open.erase(it);
        // The home may have sent the request to an endpoint, as with a lost endpoint connection.
        const RequestTraits traits{open.request.idempotent, open.request.attempts,
                                   open.answerStarted};
        const RetryDecision decision =
            decideRetry(traits, EndpointOutcome::MaybeSent, open.request.mayHaveRun);
        open.request.mayHaveRun = true;
        if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
            outcomes.emplace_back(Refuse{open.request.id, lostHomeRefusal(*giveUp)});
        } else {
            outcomes.emplace_back(Resend{std::move(open.request)});
        }
    }
    return outcomes;
}

std::vector<ForwardTable::Refuse> ForwardTable::takeOverdue(SteadyTime now, Duration allowance)
{
    std::vector<Refuse> overdue;
    for (auto it = m_open.begin(); it != m_open.end();) {
        const Open &open = it->second;
        const bool streaming = open.answerStarted && open.request.stream;
        if (streaming || open.request.deadline + allowance > now) {
            ++it;
            continue;
        }
        overdue.push_back(
            {open.request.id,
             Refusal{RefusalReason::DeadlinePassed, RanState::Unknown,
                     "the instance that handled the request did not answer before the deadline",
                     "find out whether it took effect before sending it again",
                     std::chrono::milliseconds(100)}});
        it = m_open.erase(it);
    }
    return overdue;
}

} // namespace marigoldspool
