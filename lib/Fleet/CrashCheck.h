#ifndef MARIGOLDSPOOL_LIB_FLEET_CRASHCHECK_H
#define MARIGOLDSPOOL_LIB_FLEET_CRASHCHECK_H

#include "Fleet/FleetRuntime.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace marigoldspool {

/// Finds out whether an endpoint that has lost a request's connection has crashed, and tells the
/// prompt quarantine which requests were in work there.
class CrashCheck : public std::enable_shared_from_this<CrashCheck>
{
public:
    enum class LostAnswer {
        BrokenOff,
        /// The answer has ended with its connection, as one without a length does.
        MayBeWhole,
    };

    /// What is known of the process that had a request.
    enum class Verdict {
        Lives,
        Crashed,
        Unknown,
    };
    using Handler = std::function<void(Verdict)>;

    explicit CrashCheck(FleetRuntime &runtime);

    /// The connection to \p engine, the process that \p request was sent to, was lost while the
    /// request was in work. \p parts: what a crash may be blamed on, see crashSuspects(). \p
    /// handler is called once, maybe before this returns; it may be empty.
    void onConnectionLost(const EndpointIncarnation &engine, const RequestId &request,
                          const std::vector<PromptPart> &parts, LostAnswer kind,
                          Handler handler = {});

private:
    class ReportHandler;
    enum class Finding {
        Crashed,
        Alive,
        Unknown,
    };
    struct LostRequest {
        RequestId id;
        /// Start of the process that the request was sent to.
        std::int64_t startedAtMs = 0;
        std::vector<PromptPart> parts;
        LostAnswer kind = LostAnswer::BrokenOff;
        Handler handler;
    };
    struct Check {
        std::vector<LostRequest> asked;
        /// Lost after the engine was asked; only a later answer shows that it has survived them.
        std::vector<LostRequest> next;
    };

    void askEngine(const ListedEndpoint &engine);
    /// \p startedAtMs: start of the process that has answered at the endpoint; 0 if it is not
    /// known.
    void finish(const EndpointId &id, Finding finding, std::string_view evidence,
                std::int64_t startedAtMs = 0);
    void logCrash(const EndpointId &id, std::string_view evidence, std::size_t requests,
                  const CrashSuspects &suspects) const;

    FleetRuntime &m_runtime;
    /// Lost requests for each engine that is being asked.
    std::map<EndpointId, Check> m_lost;
    std::uint64_t m_callCounter = 0;
};

} // namespace marigoldspool

#endif
