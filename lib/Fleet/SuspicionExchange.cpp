#include "Fleet/SuspicionExchange.h"

#include "marigoldspool/Support/EventLog.h"

#include <utility>

namespace marigoldspool {

SuspicionExchange::SuspicionExchange(FleetRuntime &runtime, PlacementDriver &placement,
                                     StatementMonitor::FleetSender &fleet)
    : m_runtime(runtime)
    , m_placement(placement)
    , m_fleet(fleet)
    , m_relay(runtime.clock)
{ }

void SuspicionExchange::onTick()
{
    std::vector<SilentEndpoint> own = m_runtime.directory.suspicions().takeNotices();
    for (const SilentEndpoint &it : own) {
        if (!it.ended) {
            m_placement.onSuspected(it.endpoint);
        }
    }
    if (own.empty() && m_relay.isEmpty()) {
        recordChanges();
        return;
    }
    if (m_fleet.isHub()) {
        for (const SilentEndpoint &it : own) {
            m_relay.add(m_runtime.options.instance, it);
        }
        own = m_relay.take();
    } else {
        m_relay.clear();
    }
    if (!own.empty()) {
        m_fleet.sendToFleet(SilentEndpoints{std::move(own)});
    }
    recordChanges();
}

void SuspicionExchange::onMessage(const InstanceId &from, bool isFromHub,
                                  const SilentEndpoints &message)
{
    const bool passesOn = !isFromHub && m_fleet.isHub();
    for (const SilentEndpoint &it : message.endpoints) {
        if (!m_runtime.directory.sharesSuspicions(it.endpoint)) {
            continue;
        }
        const InstanceId &author = isFromHub ? it.by : from;
        m_runtime.directory.suspicions().onNotice(author, it);
        if (passesOn) {
            m_relay.add(author, it);
        }
        if (!it.ended) {
            m_placement.onSuspected(it.endpoint);
        }
    }
}

void SuspicionExchange::recordChanges()
{
    for (const SuspicionChange &it : m_runtime.directory.suspicions().takeChanges()) {
        const bool isSuspected =
            it.kind == SuspicionChangeKind::Noticed || it.kind == SuspicionChangeKind::Confirmed;
        const std::string change(suspicionChangeName(it.kind));
        logEvent(LogLevel::Info, isSuspected ? "endpoint_suspected" : "endpoint_suspicion_ended",
                 {{"endpoint", it.incarnation.endpoint.str()},
                  {"started_at_ms", std::to_string(it.incarnation.startedAtMs)},
                  {"change", change},
                  {"silent_ms", std::to_string(toMilliseconds(it.silence))},
                  {"by", it.by.str()},
                  {"count", std::to_string(it.noticeCount)}});
        m_runtime.metrics->add("marigoldspool_endpoint_suspicions_total", 1, {{"change", change}});
    }
}

} // namespace marigoldspool
