#ifndef MARIGOLDSPOOL_LIB_DAEMON_OPERATORPAGES_H
#define MARIGOLDSPOOL_LIB_DAEMON_OPERATORPAGES_H

#include "Daemon/ConfigService.h"
#include "Daemon/HomeService.h"
#include "Daemon/LimitsService.h"
#include "Daemon/PeerService.h"
#include "Daemon/PlacementService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Operator/Explain.h"
#include "marigoldspool/Operator/InstanceStatus.h"

#include <string>
#include <string_view>

namespace marigoldspool {

/// The pages that `marigoldspoolctl` reads: `/status` and `/explain`.
class OperatorPages
{
public:
    OperatorPages(Runtime &runtime, ConfigService &config, PeerService &peers,
                  LimitsService &limits, HomeService &home, PlacementService &placement);

    InstanceStatus status(bool ready) const;
    /// The JSON of `/explain` for the query of a request.
    std::string explain(std::string_view query) const;

private:
    std::vector<InstanceStatus::Peer> peerStatus() const;
    std::vector<InstanceStatus::Endpoint> endpointStatus() const;
    std::vector<InstanceStatus::Model> modelStatus() const;
    ExplainAnswer explainRequest(const ExplainRequest &request) const;
    bool checkCaller(const ExplainRequest &request, ExplainAnswer &answer) const;
    void explainEndpoints(const Target &target, ExplainAnswer &answer) const;

    Runtime &m_runtime;
    ConfigService &m_config;
    PeerService &m_peers;
    LimitsService &m_limits;
    HomeService &m_home;
    PlacementService &m_placement;
    SteadyTime m_startedAt;
};

} // namespace marigoldspool

#endif
