#ifndef MARIGOLDSPOOL_LIB_FLEET_CRASHCHECK_H
#define MARIGOLDSPOOL_LIB_FLEET_CRASHCHECK_H

#include "Fleet/FleetRuntime.h"

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

    explicit CrashCheck(FleetRuntime &runtime);

    /// The connection to \p engine was lost while a request was in work. \p parts: what a crash may
    /// be blamed on, see crashSuspects().
    void onConnectionLost(const EndpointId &engine, const std::vector<PromptPart> &parts,
                          LostAnswer kind);

private:
    class ReportHandler;
    enum class Finding {
        Crashed,
        Alive,
        Unknown,
    };
    struct LostRequest {
        std::vector<PromptPart> parts;
        LostAnswer kind;
    };

    void askEngine(const ListedEndpoint &engine);
    void finish(const EndpointId &id, Finding finding, std::string_view evidence);
    void logCrash(const EndpointId &id, std::string_view evidence, std::size_t requests,
                  const CrashSuspects &suspects) const;

    FleetRuntime &m_runtime;
    /// Lost requests for each engine that is being asked.
    std::map<EndpointId, std::vector<LostRequest>> m_lost;
    std::uint64_t m_callCounter = 0;
};

} // namespace marigoldspool

#endif
