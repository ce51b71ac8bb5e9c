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
    const bool added =
        m_pending.emplace(id, PendingForward{std::move(request), std::move(home)}).second;
    assert(added && "the request is already pending");
    static_cast<void>(added);
}

ForwardTable::PendingForward *ForwardTable::find(const RequestId &id, const InstanceId &from)
{
    const auto it = m_pending.find(id);
    return it == m_pending.end() || it->second.home != from ? nullptr : &it->second;
}

bool ForwardTable::acceptHead(const RequestId &id, const InstanceId &from)
{
    PendingForward *pending = find(id, from);
    if (pending == nullptr || pending->answerStarted) {
        return false;
    }
    pending->answerStarted = true;
    return true;
}

bool ForwardTable::acceptData(const RequestId &id, const InstanceId &from, std::uint64_t index)
{
    PendingForward *pending = find(id, from);
    if (pending == nullptr || !pending->answerStarted || pending->nextIndex != index) {
        return false;
    }
    ++pending->nextIndex;
    return true;
}

bool ForwardTable::isPendingAt(const RequestId &id, const InstanceId &home) const
{
    const auto it = m_pending.find(id);
    return it != m_pending.end() && it->second.home == home;
}

std::optional<InstanceId> ForwardTable::remove(const RequestId &id)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return std::nullopt;
    }
    InstanceId home = std::move(it->second.home);
    m_pending.erase(it);
    return home;
}

std::vector<ForwardTable::LossOutcome> ForwardTable::onPeerDown(const InstanceId &home)
{
    std::vector<LossOutcome> outcomes;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (it->second.home != home) {
            ++it;
            continue;
        }
        PendingForward pending = std::move(it->second);
        it = m_pending.erase(it);
        // The home may have sent the request to an endpoint, so the outcome is as unknown as after
        // a lost connection to an endpoint.
        const RequestTraits traits{pending.request.idempotent, pending.request.attempts,
                                   pending.answerStarted};
        const RetryDecision decision =
            decideRetry(traits, EndpointOutcome::MaybeSent, pending.request.mayHaveRun);
        pending.request.mayHaveRun = true;
        if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
            outcomes.emplace_back(Refuse{pending.request.id, lostHomeRefusal(*giveUp)});
        } else {
            outcomes.emplace_back(Resend{std::move(pending.request)});
        }
    }
    return outcomes;
}

std::vector<ForwardTable::Refuse> ForwardTable::takeOverdue(SteadyTime now, Duration allowance)
{
    std::vector<Refuse> overdue;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const PendingForward &pending = it->second;
        const bool streaming = pending.answerStarted && pending.request.stream;
        if (streaming || pending.request.deadline + allowance > now) {
            ++it;
            continue;
        }
        overdue.push_back(
            {pending.request.id,
             Refusal{RefusalReason::DeadlinePassed, RanState::Unknown,
                     "the instance that handled the request did not answer before the deadline",
                     "find out whether it took effect before sending it again",
                     std::chrono::milliseconds(100)}});
        it = m_pending.erase(it);
    }
    return overdue;
}

} // namespace marigoldspool
