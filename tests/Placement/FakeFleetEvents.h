#ifndef MARIGOLDSPOOL_TESTS_PLACEMENT_FAKEFLEETEVENTS_H
#define MARIGOLDSPOOL_TESTS_PLACEMENT_FAKEFLEETEVENTS_H

// Events of FakeFleet: instances, store, orders and engines. Included by FakeFleet.h.
#include "Placement/FakeFleet.h"

namespace marigoldspool::fake {

inline FakeFleet::FakeFleet(FakeFleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    buildRules();
    for (int zone = 0; zone < m_options.zones; ++zone) {
        for (int n = 0; n < m_options.instancesPerZone; ++n) {
            auto instance = std::make_unique<FakeInstance>();
            instance->zone = ZoneName("zone-" + std::to_string(zone));
            instance->id = InstanceId("i" + std::to_string(zone) + "-" + std::to_string(n));
            // Monotonic clocks of different machines start at unrelated times.
            instance->clock.advance(randomUpTo(seconds(100'000)));
            startInstance(*instance);
            m_instances.push_back(std::move(instance));
        }
    }
    for (FakeEngine &engine : m_engines) {
        publish(engine);
    }
    after(seconds(1), [this] {
        everySecond();
    });
}

inline void FakeFleet::buildRules()
{
    for (int zone = 0; zone < m_options.zones; ++zone) {
        const ZoneName name("zone-" + std::to_string(zone));
        m_rules.zones.push_back({name, ZoneState::Serving, 1, "test"});
        for (int n = 0; n < m_options.enginesPerZone; ++n) {
            EndpointRule rule;
            rule.id = EndpointId("e" + std::to_string(zone) + "-" + std::to_string(n));
            rule.zone = name;
            rule.memoryBytes = m_options.engineMemory;
            const bool checked = m_options.allCheckFencing || n % 2 == 1;
            rule.fencing = checked ? FencingMode::Checked : FencingMode::Ignored;
            m_rules.endpoints.push_back(rule);
            FakeEngine engine;
            engine.rule = rule;
            m_engines.push_back(std::move(engine));
        }
    }
    m_rules.models = m_options.models;
    m_configuration = std::make_shared<Configuration>(m_rules);
}

inline void FakeFleet::changeRules(const std::function<void(RuleSet &)> &change)
{
    change(m_rules);
    m_configuration = std::make_shared<Configuration>(m_rules);
    for (auto &instance : m_instances) {
        deliver(*instance, instance->generation, ConfigurationChanged{m_configuration});
    }
}

inline void FakeFleet::startInstance(FakeInstance &instance)
{
    instance.random = std::make_unique<SeededRandomSource>(m_random.next());
    PlacementOptions options = m_options.placement;
    options.zone = instance.zone;
    instance.placement =
        std::make_unique<PlacementEngine>(options, instance.id, instance.clock, *instance.random);
    instance.statusRequested.clear();
    const std::uint64_t generation = instance.generation;
    after(randomUpTo(milliseconds(100)), [this, &instance, generation] {
        deliver(instance, generation, ConfigurationChanged{m_configuration});
        tick(instance, generation);
    });
}

inline void FakeFleet::crash(FakeInstance &instance)
{
    ++instance.generation;
    instance.pausedUntil = Duration::zero();
    after(seconds(2) + randomUpTo(seconds(25)), [this, &instance] {
        startInstance(instance);
    });
}

inline void FakeFleet::after(Duration delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_eventNumber, std::move(run)});
}

inline Duration FakeFleet::randomUpTo(Duration longest)
{
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(longest.count()) * m_random.uniform()));
}

inline void FakeFleet::run(Duration duration)
{
    const Duration end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end && m_violations.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        for (auto &instance : m_instances) {
            instance->clock.advance(event.at - m_now);
        }
        m_now = event.at;
        event.run();
    }
    if (m_violations.empty()) {
        for (auto &instance : m_instances) {
            instance->clock.advance(end - m_now);
        }
        m_now = end;
    }
}

// A paused process handles its events when it resumes.
inline void FakeFleet::deliver(FakeInstance &instance, std::uint64_t generation,
                               PlacementEvent event)
{
    if (instance.generation != generation) {
        return;
    }
    if (m_now < instance.pausedUntil) {
        after(instance.pausedUntil - m_now,
              [this, &instance, generation, event = std::move(event)] {
                  deliver(instance, generation, event);
              });
        return;
    }
    for (PlacementAction &action : instance.placement->handle(event)) {
        if (instance.generation == generation) {
            execute(instance, std::move(action));
        }
    }
}

// Returns true when the process crashes or is paused right before the action.
inline bool FakeFleet::interrupt(FakeInstance &instance, const PlacementAction &action)
{
    const bool isStep =
        std::holds_alternative<StorePut>(action) || std::holds_alternative<SendOrder>(action);
    if (!isStep) {
        return m_now < instance.pausedUntil;
    }
    if (chance(m_options.faults.crashAtStep)) {
        crash(instance);
        return true;
    }
    if (m_now >= instance.pausedUntil && chance(m_options.faults.pauseAtStep)) {
        instance.pausedUntil = m_now + seconds(1) + randomUpTo(seconds(40));
        // Half of the pauses begin after the action.
        return chance(0.5);
    }
    return m_now < instance.pausedUntil;
}

inline void FakeFleet::execute(FakeInstance &instance, PlacementAction action)
{
    const std::uint64_t generation = instance.generation;
    if (interrupt(instance, action)) {
        if (instance.generation == generation) {
            after(instance.pausedUntil - m_now, [this, &instance, generation, action] {
                if (instance.generation == generation) {
                    execute(instance, action);
                }
            });
        }
        return;
    }
    if (const auto *read = std::get_if<StoreGet>(&action)) {
        get(instance, *read);
    } else if (const auto *written = std::get_if<StorePut>(&action)) {
        put(instance, *written);
    } else if (const auto *sent = std::get_if<SendOrder>(&action)) {
        sendOrder(instance, sent->order);
    } else {
        instance.reported.push_back(action);
        if (onReport) {
            onReport(instance, action);
        }
    }
}

inline void FakeFleet::get(FakeInstance &instance, const StoreGet &action)
{
    const std::uint64_t generation = instance.generation;
    const bool fails = m_storeDown || chance(m_options.faults.storeUnavailable);
    const bool stale = chance(m_options.faults.storeStaleRead);
    after(randomUpTo(m_options.storeDelay), [this, &instance, generation, action, fails, stale] {
        Expected<StoredObject> reply =
            failure(fails ? ErrorKind::Unavailable : ErrorKind::NotFound);
        const auto it = m_objects.find(action.key);
        if (!fails && it != m_objects.end()) {
            const Object &object = it->second;
            const bool old = stale && object.previousVersion != 0;
            if (!stale || old) {
                reply = StoredObject{action.key, old ? object.previousVersion : object.version,
                                     old ? object.previousValue : object.value,
                                     old ? object.previousWriteId : object.writeId};
            }
        }
        after(randomUpTo(m_options.storeDelay), [this, &instance, generation, action, reply] {
            deliver(instance, generation, StoreReply{action.token, reply});
        });
    });
}

inline Expected<StoredObject> FakeFleet::write(const StorePut &action)
{
    Object &object = m_objects[action.key];
    if (object.version != action.expectedVersion) {
        return failure(ErrorKind::Conflict);
    }
    object.previousValue = std::move(object.value);
    object.previousVersion = object.version;
    object.previousWriteId = object.writeId;
    object.value = action.value;
    object.version = ++m_revision;
    object.writeId = action.writeId;
    checkState();
    return StoredObject{action.key, object.version, std::string(), action.writeId};
}

inline void FakeFleet::put(FakeInstance &instance, const StorePut &action)
{
    const std::uint64_t generation = instance.generation;
    const bool fails = m_storeDown || chance(m_options.faults.storeUnavailable);
    const bool late = !fails && chance(m_options.faults.storeWriteLate);
    const bool lost = late || chance(m_options.faults.storeAnswerLost);
    const Duration delay = late ? randomUpTo(seconds(3)) : randomUpTo(m_options.storeDelay);
    const auto answer = [this, &instance, generation,
                         token = action.token](Expected<StoredObject> reply) {
        after(randomUpTo(m_options.storeDelay), [this, &instance, generation, token, reply] {
            deliver(instance, generation, StoreReply{token, reply});
        });
    };
    if (fails) {
        answer(failure(ErrorKind::Unavailable));
        return;
    }
    if (late) {
        answer(failure(ErrorKind::Timeout));
    }
    after(delay, [this, action, lost, late, answer] {
        Expected<StoredObject> reply = write(action);
        if (lost) {
            reply = failure(ErrorKind::OutcomeUnknown);
        }
        if (!late) {
            answer(reply);
        }
    });
}

inline void FakeFleet::writeObject(const std::string &key, const std::string &value)
{
    write(StorePut{0, key, m_objects[key].version, value, WriteId("test")});
}

inline void FakeFleet::sendOrder(FakeInstance &instance, const EngineOrder &order)
{
    const std::uint64_t generation = instance.generation;
    if (!canSendOrder(order, instance.clock.now())) {
        after(Duration::zero(), [this, &instance, generation, order] {
            deliver(instance, generation, OrderReply{order.id, failure(ErrorKind::Unavailable)});
        });
        return;
    }
    FakeEngine *engine = findEngine(order.endpoint);
    const bool late = chance(m_options.faults.orderLate);
    // Only fencing protects against orders that are delayed beyond maxOrderTransit.
    const Duration longest = engine->rule.fencing == FencingMode::Checked
        ? Duration(seconds(60))
        : m_options.placement.maxOrderTransit;
    const bool lost = chance(m_options.faults.orderAnswerLost);
    const std::uint64_t incarnation = engine->incarnation;
    after(late ? randomUpTo(longest) : randomUpTo(milliseconds(10)),
          [this, &instance, generation, order, engine, lost, incarnation] {
              // Connections end with the engine process, so the next run does not receive orders
              // that were sent to this one.
              Expected<void> reply = failure(ErrorKind::OutcomeUnknown);
              if (engine->incarnation == incarnation) {
                  reply = acceptOrder(*engine, order);
              }
              if (lost) {
                  reply = failure(ErrorKind::OutcomeUnknown);
              }
              after(randomUpTo(milliseconds(10)), [this, &instance, generation, order, reply] {
                  deliver(instance, generation, OrderReply{order.id, reply});
              });
          });
}

inline Expected<void> FakeFleet::acceptOrder(FakeEngine &engine, const EngineOrder &order)
{
    if (engine.rule.fencing == FencingMode::Checked) {
        if (order.fencing <= engine.lastFencing) {
            return failure(ErrorKind::StaleFencing);
        }
        engine.lastFencing = order.fencing;
    }
    auto it = engine.models.find(order.model);
    const bool load = order.action == OrderAction::Load;
    const bool present = it != engine.models.end();
    m_accepted.push_back(order);
    if (load ? present && it->second.state != EngineModelState::Unloading : !present) {
        return {};
    }
    FakeModel &model = engine.models[order.model];
    model = {order.version, order.bytes,
             load ? EngineModelState::Loading : EngineModelState::Unloading, ++m_eventNumber};
    checkState();
    const Duration takes = load ? loadTime(order.model) : randomUpTo(milliseconds(500));
    after(takes, [&engine, id = order.model, change = model.change, load] {
        const auto found = engine.models.find(id);
        if (found == engine.models.end() || found->second.change != change) {
            return;
        }
        if (load) {
            found->second.state = EngineModelState::Loaded;
        } else {
            engine.models.erase(found);
        }
    });
    return {};
}

inline Duration FakeFleet::loadTime(const ModelName &model)
{
    if (!isAdapter(model)) {
        return m_options.loadTime / 2 + randomUpTo(m_options.loadTime);
    }
    int inFlight = 0;
    for (const FakeEngine &engine : m_engines) {
        for (const auto &[name, loaded] : engine.models) {
            inFlight += loaded.state == EngineModelState::Loading && isAdapter(name) ? 1 : 0;
        }
    }
    const Duration alone = m_options.minAdapterLoadTime
        + randomUpTo(m_options.maxAdapterLoadTime - m_options.minAdapterLoadTime);
    return alone * std::max(30, inFlight) / 30;
}

inline void FakeFleet::publish(FakeEngine &engine)
{
    EngineStatus &status = engine.published;
    status.endpoint = engine.rule.id;
    status.incarnation = std::to_string(engine.incarnation);
    status.memoryTotal = engine.rule.memoryBytes;
    status.memoryUsed = 0;
    status.models.clear();
    for (const auto &[name, model] : engine.models) {
        status.memoryUsed += model.bytes;
        status.models.push_back({name, model.version, model.bytes, model.state});
    }
    status.lastFencing = engine.lastFencing;
    status.cached = engine.cached;
    status.running = m_options.randomDemand && chance(0.2) ? 1 : 0;
    after(randomUpTo(m_options.statusLag), [this, &engine] {
        publish(engine);
    });
}

inline void FakeFleet::requestStatus(FakeInstance &instance, const EndpointId &endpoint)
{
    if (instance.statusRequested[endpoint]) {
        return;
    }
    instance.statusRequested[endpoint] = true;
    const std::uint64_t generation = instance.generation;
    const SteadyTime at = instance.clock.now();
    const bool lost = chance(m_options.faults.statusLost);
    after(randomUpTo(milliseconds(5)), [this, &instance, endpoint, generation, at, lost] {
        EngineStatus status = findEngine(endpoint)->published;
        status.requestedAt = at;
        after(randomUpTo(milliseconds(5)), [this, &instance, endpoint, generation, status, lost] {
            if (instance.generation == generation) {
                instance.statusRequested[endpoint] = false;
            }
            if (!lost) {
                deliver(instance, generation, status);
            }
        });
    });
}

inline void FakeFleet::tick(FakeInstance &instance, std::uint64_t generation)
{
    if (instance.generation != generation) {
        return;
    }
    if (m_now >= instance.pausedUntil) {
        deliver(instance, generation, Tick{{}, m_instances.size()});
    }
    if (instance.generation == generation && m_now >= instance.pausedUntil) {
        for (const EndpointId &endpoint : instance.placement->endpointsToPoll()) {
            requestStatus(instance, endpoint);
        }
    }
    after(milliseconds(100), [this, &instance, generation] {
        tick(instance, generation);
    });
}

inline void FakeFleet::everySecond()
{
    for (auto &instance : m_instances) {
        if (m_now >= instance->pausedUntil) {
            for (const FakeEngine &engine : m_engines) {
                if (engine.rule.zone == instance->zone) {
                    requestStatus(*instance, engine.rule.id);
                }
            }
        }
        if (m_options.randomDemand && chance(m_options.faults.demandChange)) {
            instance->demanded.clear();
            for (std::size_t n = m_random.below(4); n > 0; --n) {
                const auto &rules = m_options.models;
                instance->demanded.insert(rules[m_random.below(rules.size())].name);
            }
        }
        reportDemand(*instance);
    }
    for (FakeEngine &engine : m_engines) {
        if (chance(m_options.faults.coldRestart)) {
            restartCold(engine);
        }
    }
    if (!m_storeDown && chance(m_options.faults.storeOutage)) {
        m_storeDown = true;
        after(seconds(1) + randomUpTo(seconds(20)), [this] {
            m_storeDown = false;
        });
    }
    after(seconds(1), [this] {
        everySecond();
    });
}

inline void FakeFleet::reportDemand(FakeInstance &instance)
{
    // Copied because a report about the demand may end it.
    const std::set<ModelName> demanded = instance.demanded;
    for (const ModelName &model : demanded) {
        Demand demand;
        demand.model = model;
        demand.zone = instance.zone;
        demand.arrived = 1;
        demand.waiting = instance.placement->readyEndpoints(model).empty() || chance(0.3) ? 1 : 0;
        demand.earliestDeadline = instance.clock.now() + seconds(30);
        demand.predictedWait = m_options.randomDemand && chance(0.1) ? seconds(40) : seconds(0);
        if (shapeDemand) {
            shapeDemand(instance, demand);
        }
        deliver(instance, instance.generation, DemandUpdate{demand});
    }
}

inline void FakeFleet::demand(std::size_t instance, const ModelName &model)
{
    m_instances[instance]->demanded.insert(model);
    reportDemand(*m_instances[instance]);
}

inline void FakeFleet::endDemand(const FakeInstance &instance, const ModelName &model)
{
    for (auto &other : m_instances) {
        if (other->id == instance.id) {
            other->demanded.erase(model);
        }
    }
}

inline void FakeFleet::stopFaults(const ModelName &model)
{
    m_options.faults = Faults();
    m_options.randomDemand = false;
    m_options.faults.demandChange = 0;
    m_storeDown = false;
    for (auto &instance : m_instances) {
        instance->demanded.clear();
        instance->pausedUntil = std::min(instance->pausedUntil, m_now + seconds(40));
    }
    m_instances[0]->demanded.insert(model);
}

inline void FakeFleet::restartCold(FakeEngine &engine)
{
    engine.models.clear();
    engine.lastFencing = 0;
    ++engine.incarnation;
}

} // namespace marigoldspool::fake

#endif
