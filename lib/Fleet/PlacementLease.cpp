// The part of PlacementDriver that reads and writes the placement lease in the store.
#include "Fleet/PlacementDriver.h"

#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/JsonText.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

const std::string LeaseKey = "leases/placement";
// More than any delay; keeps an unsound one within the range of a duration.
constexpr std::int64_t MaxDelayMs = 60'000;

Duration delayFromJson(const json &value)
{
    const std::int64_t ms = value.is_number_integer() ? value.get<std::int64_t>() : 0;
    return std::chrono::milliseconds(std::clamp<std::int64_t>(ms, 0, MaxDelayMs));
}

json leaseToJson(const LeaseRecord &record)
{
    json ordered = json::array();
    for (const OrderSubject &subject : record.recentlyOrdered) {
        ordered.push_back(subject.str());
    }
    json delays = json::object();
    for (const auto &[subject, delay] : record.subjectDelays) {
        delays[subject.str()] = toMilliseconds(delay);
    }
    return {{"holder", record.holder.str()},
            {"term", record.term},
            {"renewal", record.renewal},
            {"released", record.released},
            {"era", record.era},
            {"ordered", ordered},
            {"orderDelayMs", toMilliseconds(record.orderDelay)},
            {"endpointDelaysMs", delays}};
}

Expected<LeaseRecord> leaseFromJson(const StoredObject &object)
{
    const json value = parseJson(object.value);
    const bool valid = value.is_object() && value.contains("holder") && value["holder"].is_string()
        && value.contains("term") && value["term"].is_number_unsigned() && value.contains("renewal")
        && value["renewal"].is_number_unsigned() && value.contains("released")
        && value["released"].is_boolean() && value.contains("ordered")
        && value["ordered"].is_array();
    if (!valid) {
        return unexpectedError(ErrorKind::Malformed, "the placement lease is unreadable",
                               "remove the object leases/placement");
    }
    LeaseRecord record;
    record.holder = InstanceId(value["holder"].get<std::string>());
    record.term = value["term"].get<std::uint64_t>();
    record.released = value["released"].get<bool>();
    record.renewal = value["renewal"].get<std::uint64_t>();
    record.version = object.version;
    for (const json &subject : value["ordered"]) {
        if (subject.is_string()) {
            record.recentlyOrdered.insert(OrderSubject(subject.get<std::string>()));
        }
    }
    // Records of earlier versions lack these fields.
    const json era = value.value("era", json());
    record.era = era.is_number_unsigned() ? era.get<std::uint64_t>() : 0;
    record.orderDelay = delayFromJson(value.value("orderDelayMs", json()));
    const json delays = value.value("endpointDelaysMs", json::object());
    if (delays.is_object()) {
        for (const auto &[subject, delay] : delays.items()) {
            record.subjectDelays.emplace(OrderSubject(subject), delayFromJson(delay));
        }
    }
    return record;
}

} // namespace

void PlacementDriver::advanceLease()
{
    m_lease.onEra(m_runtime.store->eraStart());
    switch (m_lease.nextStep()) {
    case LeaseStep::Nothing:
        return;
    case LeaseStep::Read:
        readLease();
        return;
    case LeaseStep::Write:
        writeLease();
        return;
    }
}

void PlacementDriver::readLease()
{
    m_runtime.store->get(LeaseKey, [this](const Expected<StoredObject> &object) {
        m_lease.onEra(m_runtime.store->eraStart());
        if (!object) {
            if (object.error().kind == ErrorKind::NotFound) {
                m_lease.onRead(LeaseRecord());
            } else {
                m_lease.onFailure();
            }
            return;
        }
        const Expected<LeaseRecord> record = leaseFromJson(*object);
        if (!record) {
            logEvent(LogLevel::Error, "lease_unreadable",
                     {{"error", describeError(record.error())}});
            m_lease.onFailure();
            return;
        }
        const std::uint64_t before = m_lease.current() ? m_lease.current()->version : 0;
        m_lease.onRead(*record);
        const bool isNew = m_lease.current() && m_lease.current()->version != before;
        if (isNew && !m_lease.isProven() && !m_lease.isHolder()) {
            logEvent(LogLevel::Warning, "lease_unproven",
                     {{"holder", record->holder.str()},
                      {"term", std::to_string(record->term)},
                      {"record_era", std::to_string(record->era)},
                      {"store_era", std::to_string(eraOf(m_runtime.store->eraStart()))},
                      {"version", positionText(record->version)}});
        }
    });
}

void PlacementDriver::writeLease()
{
    LeaseRecord record = m_lease.nextRecord();
    const bool isRenewal = m_lease.isHolder();
    const std::string before =
        std::string(m_lease.isProven() ? "proven:" : "unproven:") + m_lease.holder().str();
    m_runtime.store->put(
        LeaseKey, record.version, leaseToJson(record).dump(), WriteId(m_runtime.random.hex(16)),
        [this, record, isRenewal, before](const Expected<std::uint64_t> &version) mutable {
            if (version) {
                record.version = *version;
                m_lease.onWritten(record);
                if (!isRenewal || record.released) {
                    const Duration delay = m_lease.orderDelay();
                    logEvent(LogLevel::Info, record.released ? "lease_released" : "lease_taken",
                             {{"term", std::to_string(record.term)},
                              {"version", std::to_string(*version)},
                              {"before", before},
                              {"order_delay_ms", std::to_string(toMilliseconds(delay))}});
                }
                if (record.released) {
                    // Tells the next owner of the release without a read of the lease.
                    publish();
                }
                return;
            }
            if (isRenewal) {
                logEvent(LogLevel::Warning, "lease_renewal_failed",
                         {{"term", std::to_string(record.term)},
                          {"error", describeError(version.error())}});
            }
            if (version.error().kind == ErrorKind::Conflict) {
                m_lease.onConflict();
            } else {
                m_lease.onFailure();
            }
        });
}

} // namespace marigoldspool
