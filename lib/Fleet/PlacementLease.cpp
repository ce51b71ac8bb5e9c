// The part of PlacementDriver that reads and writes the placement lease in the store.
#include "Fleet/PlacementDriver.h"

#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/JsonText.h"

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

const std::string LeaseKey = "leases/placement";

json leaseToJson(const LeaseRecord &record)
{
    json ordered = json::array();
    for (const EndpointId &endpoint : record.recentlyOrdered) {
        ordered.push_back(endpoint.str());
    }
    return {{"holder", record.holder.str()},
            {"term", record.term},
            {"renewal", record.renewal},
            {"released", record.released},
            {"ordered", ordered}};
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
    for (const json &endpoint : value["ordered"]) {
        if (endpoint.is_string()) {
            record.recentlyOrdered.insert(EndpointId(endpoint.get<std::string>()));
        }
    }
    return record;
}

} // namespace

void PlacementDriver::advanceLease()
{
    m_lease.onStoreRestored(m_runtime.store->eraStart());
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
        m_lease.onRead(*record);
    });
}

void PlacementDriver::writeLease()
{
    LeaseRecord record = m_lease.nextRecord();
    const bool isRenewal = m_lease.isHolder();
    m_runtime.store->put(
        LeaseKey, record.version, leaseToJson(record).dump(), WriteId(m_runtime.random.hex(16)),
        [this, record, isRenewal](const Expected<std::uint64_t> &version) mutable {
            if (version) {
                record.version = *version;
                m_lease.onWritten(record);
                if (!isRenewal || record.released) {
                    logEvent(LogLevel::Info, record.released ? "lease_released" : "lease_taken",
                             {{"term", std::to_string(record.term)},
                              {"version", std::to_string(*version)}});
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
