#include "Fleet/SoftwareVersionRecord.h"

#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/JsonText.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

// Longer than the interval of the watch, so that a conflict is retried with the current version.
constexpr Duration WriteInterval = std::chrono::milliseconds(250);

std::optional<SoftwareVersions::Versions> decodeVersions(std::string_view text)
{
    const json value = parseJson(text);
    if (!value.is_object() || !value.contains("versions") || !value["versions"].is_array()) {
        return std::nullopt;
    }
    SoftwareVersions::Versions versions;
    for (const json &version : value["versions"]) {
        if (!version.is_string()) {
            return std::nullopt;
        }
        versions.insert(SoftwareVersion(version.get<std::string>()));
    }
    return versions;
}

std::string encodeVersions(const SoftwareVersions::Versions &versions)
{
    json list = json::array();
    for (const SoftwareVersion &version : versions) {
        list.push_back(version.str());
    }
    return json{{"versions", std::move(list)}}.dump();
}

} // namespace

SoftwareVersionRecord::SoftwareVersionRecord(FleetRuntime &runtime, PlacementDriver &placement)
    : m_runtime(runtime)
    , m_placement(placement)
{ }

void SoftwareVersionRecord::onObject(const WatchEvent &event)
{
    const PoolName pool(event.key.substr(event.key.find('/') + 1));
    Record &record = m_records[pool];
    if (event.version < record.position) {
        return;
    }
    record.position = event.version;
    record.version = event.deleted ? 0 : event.version;
    std::optional<SoftwareVersions::Versions> versions;
    if (event.deleted) {
        versions.emplace();
    } else {
        versions = decodeVersions(event.value);
    }
    if (!versions) {
        m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1,
                               {{"kind", "software_versions"}});
        logEvent(LogLevel::Warning, "software_versions_unreadable", {{"pool", pool.str()}});
        // The lease holder writes it again.
        versions.emplace();
    }
    m_runtime.softwareVersions.onRecorded(pool, std::move(*versions));
}

void SoftwareVersionRecord::onTick()
{
    if (m_isWriting || !m_runtime.isLoaded || !m_placement.isLeaseHolder()) {
        return;
    }
    const SteadyTime now = m_runtime.clock.now();
    for (const auto &[pool, versions] : m_runtime.softwareVersions.recordsToWrite()) {
        if (now >= m_records[pool].nextWrite) {
            write(pool, versions);
            return;
        }
    }
}

void SoftwareVersionRecord::write(const PoolName &pool, const SoftwareVersions::Versions &versions)
{
    Record &record = m_records[pool];
    record.nextWrite = m_runtime.clock.now() + WriteInterval;
    m_isWriting = true;
    m_runtime.store->put(Prefix + pool.str(), record.version, encodeVersions(versions),
                         WriteId(m_runtime.random.hex(16)),
                         [this, pool, versions](const Expected<std::uint64_t> &result) {
                             onWritten(pool, versions, result);
                         });
}

void SoftwareVersionRecord::onWritten(const PoolName &pool,
                                      const SoftwareVersions::Versions &versions,
                                      const Expected<std::uint64_t> &result)
{
    m_isWriting = false;
    m_runtime.metrics->add("marigoldspool_software_version_writes_total", 1,
                           {{"result", result ? "written" : "failed"}});
    if (!result) {
        // The watch provides the current version for the next attempt.
        logEvent(LogLevel::Warning, "software_versions_not_recorded",
                 {{"pool", pool.str()}, {"error", describeError(result.error())}});
        return;
    }
    Record &record = m_records[pool];
    if (*result < record.position) {
        return;
    }
    record.version = record.position = *result;
    logEvent(LogLevel::Info, "software_versions_recorded",
             {{"pool", pool.str()},
              {"versions", versionsText(versions)},
              {"store_version", positionText(*result)}});
    m_runtime.softwareVersions.onRecorded(pool, versions);
}

} // namespace marigoldspool
