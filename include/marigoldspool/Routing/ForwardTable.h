#ifndef MARIGOLDSPOOL_ROUTING_FORWARDTABLE_H
#define MARIGOLDSPOOL_ROUTING_FORWARDTABLE_H

#include "marigoldspool/Routing/Request.h"
#include "marigoldspool/Support/Refusal.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace marigoldspool {

/// Tracks the requests that this instance has forwarded to their home instances.
///
/// Once a request is forwarded, only its home may send it to an endpoint. If the connection to the
/// home is lost before the home has answered, it is unknown whether the request ran.
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

    /// Records a forwarded request. Call only after the message was passed to the channel.
    void add(Request request, InstanceId home);
    /// Returns false if no request \p id without a head is pending at \p from.
    bool acceptHead(const RequestId &id, const InstanceId &from);
    /// Returns false if no request \p id with a head is pending at \p from, or if \p index is not
    /// the next one: a part is missing or repeated and the answer cannot be complete.
    bool acceptData(const RequestId &id, const InstanceId &from, std::uint64_t index);
    /// Returns whether the request is pending at \p home.
    bool isPendingAt(const RequestId &id, const InstanceId &home) const;
    /// Removes a request and returns its home; nullopt if it is not pending.
    std::optional<InstanceId> remove(const RequestId &id);
    /// Removes the requests pending at a home whose connection was lost and returns, for each,
    /// whether to send it again or to refuse it.
    std::vector<LossOutcome> onPeerDown(const InstanceId &home);
    /// Removes the requests whose home has not answered by their deadline plus \p allowance and
    /// returns their refusals. Streams that have begun are exempt.
    std::vector<Refuse> takeOverdue(SteadyTime now, Duration allowance);
    std::size_t size() const { return m_pending.size(); }

private:
    struct PendingForward {
        Request request;
        InstanceId home;
        bool answerStarted = false;
        std::uint64_t nextIndex = 0;
    };
    PendingForward *find(const RequestId &id, const InstanceId &from);

    std::unordered_map<RequestId, PendingForward> m_pending;
};

} // namespace marigoldspool

#endif
