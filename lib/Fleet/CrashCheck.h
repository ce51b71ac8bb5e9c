#ifndef MARIGOLDSPOOL_LIB_FLEET_CRASHCHECK_H
#define MARIGOLDSPOOL_LIB_FLEET_CRASHCHECK_H

#include "Fleet/FleetRuntime.h"

#include <map>
#include <memory>
#include <vector>

namespace marigoldspool {

/// Finds out whether an engine that has lost a request's connection has crashed, and tells the
/// prompt quarantine which requests it had not begun to answer.
class CrashCheck : public std::enable_shared_from_this<CrashCheck>
{
public:
    explicit CrashCheck(FleetRuntime &runtime);

    /// The connection to \p engine was lost before the answer to \p prompt began.
    void onConnectionLost(const EndpointId &engine, const std::vector<PromptPart> &prompt);

private:
    class ReportHandler;

    void askEngine(const ListedEndpoint &engine);
    void finish(const EndpointId &id, bool hasCrashed, std::string_view evidence);

    FleetRuntime &m_runtime;
    /// Prompts of lost requests, for each engine that is being asked.
    std::map<EndpointId, std::vector<std::vector<PromptPart>>> m_lostPrompts;
    std::uint64_t m_callCounter = 0;
};

} // namespace marigoldspool

#endif
