#ifndef MARIGOLDSPOOL_ROUTING_FAIRQUEUE_H
#define MARIGOLDSPOOL_ROUTING_FAIRQUEUE_H

#include "marigoldspool/Routing/Request.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigoldspool {

/// Start-time fair queue: backlogged workspaces are served tokens in proportion to their shares.
class FairQueue
{
public:
    void push(Request request);
    /// Queues a popped request for another attempt, ahead of its workspace's later requests.
    void requeue(Request request);
    std::optional<Request> pop();
    /// Removes and returns the requests whose deadline is at or before \p limit.
    std::vector<Request> takeExpired(SteadyTime limit);
    /// Removes and returns the request, if it is queued.
    std::optional<Request> remove(const RequestId &id);
    /// Removes and returns the newest request of the workspace with the most queued tokens per
    /// share; nullopt if the workspace of \p arriving has as many, counting \p arriving.
    std::optional<Request> evictFor(const Request &arriving);
    std::vector<Request> takeAll();

    /// Returns the number of tokens served before a new request of \p workspace with \p cost.
    double costAhead(const WorkspaceName &workspace, double share, double cost) const;
    std::size_t size() const { return m_byTag.size(); }
    bool empty() const { return m_byTag.empty(); }
    /// The earliest deadline of all queued requests; the queue must not be empty.
    SteadyTime earliestDeadline() const;
    /// The latest deadline of all queued requests; the queue must not be empty.
    SteadyTime latestDeadline() const;
    /// Calls \p visit for each queued request in dispatch order.
    template <class Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[tag, request] : m_byTag) {
            visit(request);
        }
    }

private:
    /// Sort key: start tag in virtual time, then the order of insertion.
    struct Tag {
        double start = 0;
        std::uint64_t sequence = 0;
        friend bool operator<(const Tag &a, const Tag &b)
        {
            return a.start != b.start ? a.start < b.start : a.sequence < b.sequence;
        }
    };
    struct Backlog {
        double lastFinish = 0;
        double queuedCost = 0;
        double share = 1;
        std::size_t queuedCount = 0;
    };
    using Entries = std::map<Tag, Request>;

    void insert(Tag tag, Request request);
    Request take(Entries::iterator it);

    Entries m_byTag;
    std::unordered_map<RequestId, Tag> m_tagById;
    std::unordered_map<WorkspaceName, Backlog> m_backlogs;
    std::multimap<SteadyTime, RequestId> m_byDeadline;
    double m_virtualTime = 0;
    std::uint64_t m_nextSequence = 1;
};

} // namespace marigoldspool

#endif
