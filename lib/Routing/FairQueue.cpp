#include "marigoldspool/Routing/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldspool {

void FairQueue::push(Request request)
{
    assert(request.cost > 0 && request.share > 0
           && "the cost and the share of a request must be positive");
    Backlog &backlog = m_backlogs[request.workspace];
    backlog.share = request.share;
    const double start = std::max(m_virtualTime, backlog.lastFinish);
    backlog.lastFinish = start + request.cost / request.share;
    insert({start, m_nextSequence++}, std::move(request));
}

// A retried request was charged to its workspace when it was first pushed. Its start tag is the
// current virtual time and lastFinish stays as it is, so it is not charged again.
void FairQueue::requeue(Request request)
{
    m_backlogs[request.workspace].share = request.share;
    insert({m_virtualTime, m_nextSequence++}, std::move(request));
}

void FairQueue::insert(Tag tag, Request request)
{
    assert(m_tagById.count(request.id) == 0 && "the request is already queued");
    Backlog &backlog = m_backlogs[request.workspace];
    backlog.queuedCost += request.cost;
    ++backlog.queuedCount;
    m_tagById.emplace(request.id, tag);
    m_byDeadline.emplace(request.deadline, request.id);
    m_byTag.emplace(tag, std::move(request));
}

Request FairQueue::take(Entries::iterator it)
{
    Request request = std::move(it->second);
    m_byTag.erase(it);
    m_tagById.erase(request.id);
    const auto [first, last] = m_byDeadline.equal_range(request.deadline);
    const auto entry = std::find_if(first, last, [&](const auto &item) {
        return item.second == request.id;
    });
    assert(entry != last && "each queued request has a deadline entry");
    m_byDeadline.erase(entry);
    const auto backlog = m_backlogs.find(request.workspace);
    backlog->second.queuedCost -= request.cost;
    --backlog->second.queuedCount;
    // An idle workspace keeps its entry only while its last finish tag is ahead of the virtual
    // time.
    if (backlog->second.queuedCount == 0 && backlog->second.lastFinish <= m_virtualTime) {
        m_backlogs.erase(backlog);
    }
    return request;
}

std::optional<Request> FairQueue::pop()
{
    if (m_byTag.empty()) {
        return std::nullopt;
    }
    const auto it = m_byTag.begin();
    m_virtualTime = std::max(m_virtualTime, it->first.start);
    Request request = take(it);
    if (m_byTag.empty()) {
        // The queue is empty, so no workspace is ahead of its share any more: reset the virtual
        // time.
        m_backlogs.clear();
        m_virtualTime = 0;
    }
    return request;
}

std::vector<Request> FairQueue::takeExpired(SteadyTime limit)
{
    std::vector<Request> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= limit) {
        const RequestId id = m_byDeadline.begin()->second;
        expired.push_back(*remove(id));
    }
    return expired;
}

std::optional<Request> FairQueue::remove(const RequestId &id)
{
    const auto it = m_tagById.find(id);
    if (it == m_tagById.end()) {
        return std::nullopt;
    }
    const Tag tag = it->second;
    Request request = take(m_byTag.find(tag));
    const auto backlog = m_backlogs.find(request.workspace);
    // The request was not served, so its charge is reverted, unless later requests of the workspace
    // have start tags that build on it.
    const double finish = tag.start + request.cost / request.share;
    if (backlog != m_backlogs.end() && backlog->second.lastFinish == finish) {
        backlog->second.lastFinish = tag.start;
    }
    return request;
}

std::optional<Request> FairQueue::evictFor(const Request &arriving)
{
    const auto weight = [](const Backlog &backlog) {
        return backlog.queuedCost / backlog.share;
    };
    const auto heaviest =
        std::max_element(m_backlogs.begin(), m_backlogs.end(), [&](const auto &a, const auto &b) {
            return weight(a.second) < weight(b.second);
        });
    if (heaviest == m_backlogs.end()) {
        return std::nullopt;
    }
    const auto own = m_backlogs.find(arriving.workspace);
    const double ownWeight = (own == m_backlogs.end() ? 0 : own->second.queuedCost / arriving.share)
        + arriving.cost / arriving.share;
    if (ownWeight >= weight(heaviest->second)) {
        return std::nullopt;
    }
    const auto newest = std::find_if(m_byTag.rbegin(), m_byTag.rend(), [&](const auto &entry) {
        return entry.second.workspace == heaviest->first;
    });
    assert(newest != m_byTag.rend() && "a workspace with queued tokens has a queued request");
    const RequestId id = newest->second.id;
    return remove(id);
}

std::vector<Request> FairQueue::takeAll()
{
    std::vector<Request> all;
    all.reserve(m_byTag.size());
    while (std::optional<Request> request = pop()) {
        all.push_back(std::move(*request));
    }
    return all;
}

// Until the request is served, its workspace is served its own backlog. In that time each other
// workspace is served at most its proportional share, and at most what it has queued.
double FairQueue::costAhead(const WorkspaceName &workspace, double share, double cost) const
{
    const auto own = m_backlogs.find(workspace);
    const double ownQueued = own == m_backlogs.end() ? 0 : own->second.queuedCost;
    double ahead = ownQueued;
    for (const auto &[name, backlog] : m_backlogs) {
        if (name != workspace) {
            ahead += std::min(backlog.queuedCost, (ownQueued + cost) * backlog.share / share);
        }
    }
    return ahead;
}

SteadyTime FairQueue::earliestDeadline() const
{
    assert(!m_byDeadline.empty() && "an empty queue has no deadline");
    return m_byDeadline.begin()->first;
}

SteadyTime FairQueue::latestDeadline() const
{
    assert(!m_byDeadline.empty() && "an empty queue has no deadline");
    return m_byDeadline.rbegin()->first;
}

} // namespace marigoldspool
