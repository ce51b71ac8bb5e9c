#ifndef MARIGOLDSPOOL_ROUTING_FORWARDTABLE_H
#define MARIGOLDSPOOL_ROUTING_FORWARDTABLE_H

#include "marigoldspool/Routing/Request.h"
#include "marigoldspool/Support/Refusal.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace marigoldspool {

/// Requests that this instance has handed to their home instances.
///
/// From the hand-over on only the home may send the request to an endpoint. What came of it is
/// unknown once the connection to the home is lost, unless the home has answered.
class ForwardTable
{
public:
    struct Resend {
        Request request;
    };
    struct Refuse {
        RequestId request;
        Refusal refusal;
    };
    using LossOutcome = std::variant<Resend, Refuse>;

    /// Only after the message was handed to the channel.
    void add(Request request, InstanceId home);
    /// False when the answer does not belong to an open request of this home.
    bool acceptHead(const RequestId &id, const InstanceId &from);
    /// False as above, or when a part is missing or repeated; the answer cannot be whole then.
    bool acceptData(const RequestId &id, const InstanceId &from, std::uint64_t index);
    /// Whether the request is open at \p home.
    bool isPendingAt(const RequestId &id, const InstanceId &home) const;
    /// Ends a request that has its final answer; nullopt when it is not open.
    std::optional<InstanceId> remove(const RequestId &id);
    /// What becomes of the requests at a home whose connection was lost.
    std::vector<LossOutcome> onPeerDown(const InstanceId &home);
    /// Ends and returns the requests whose home has not answered by their deadline plus
    /// \p allowance. Streams under way are left out.
    std::vector<Refuse> takeOverdue(SteadyTime now, Duration allowance);
    std::size_t size() const { return m_open.size(); }

private:
    struct Open {
        Request request;
        InstanceId home;
        bool answerStarted = false;
        std::uint64_t nextIndex = 0;
    };
    Open *find(const RequestId &id, const InstanceId &from);

    std::unordered_map<RequestId, Open> m_open;
};

} // namespace marigoldspool

#endif
