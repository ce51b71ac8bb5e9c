#include "Fleet/FleetRuntime.h"

namespace marigoldspool {

namespace {

// Four ticks of the event loop.
constexpr Duration MaxObservedStep = std::chrono::milliseconds(100);

} // namespace

FleetCodec::~FleetCodec() = default;

ConfigurationDecoder::~ConfigurationDecoder() = default;

// An address may have been assigned to another endpoint, which refuses as misdirected what was
// meant for the earlier one. Its refusal says nothing about the earlier one, and looks like the
// endpoint's own refusal of a model that it has not loaded, unless the answer names the endpoint.
bool isAnswerOf(const AnswerTraits &traits, const EndpointId &endpoint, bool isEngineCall)
{
    if (!traits.answeredBy.empty()) {
        return traits.answeredBy == endpoint;
    }
    if (traits.misdirected) {
        return false;
    }
    return isEngineCall || traits.sealed || traits.notRun || traits.echoed;
}

FleetRuntime::FleetRuntime(boost::asio::io_context &ioContext, FleetOptions fleetOptions,
                           const FleetCodec &fleetCodec, std::unique_ptr<ObjectStore> objectStore,
                           std::unique_ptr<Metrics> fleetMetrics)
    : io(ioContext)
    , options(std::move(fleetOptions))
    , codec(fleetCodec)
    , observedTime(clock.now(), MaxObservedStep)
    , random(entropySeed())
    , metrics(std::move(fleetMetrics))
    , store(std::move(objectStore))
    , endpoints(makeEndpointClient(io, clock, *metrics))
    , directory(options.zone, clock, options.instance)
    , quota(clock, options.quota)
    , retries(options.retries, clock)
    , quarantine(clock, random)
    , incarnation(static_cast<std::uint64_t>(toMilliseconds(clock.wallNow().time_since_epoch())))
{
    directory.setStartPhase(1 - random.uniform());
    if (options.duties && options.duties->reportsUsage) {
        usage = std::make_unique<UsageTally>(orderClock, options.duties->usageWindow);
    }
}

void FleetRuntime::noteAnswer(const EndpointIncarnation &called, const AnswerTraits &traits,
                              StatementSource source, SteadyTime askedAt)
{
    if (isAnswerOf(traits, called.endpoint, source != StatementSource::Answer)) {
        directory.onStatement(called, traits.statement, source, askedAt);
    }
}

} // namespace marigoldspool
