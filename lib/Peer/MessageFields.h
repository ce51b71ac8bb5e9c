#ifndef MARIGOLDSPOOL_LIB_PEER_MESSAGEFIELDS_H
#define MARIGOLDSPOOL_LIB_PEER_MESSAGEFIELDS_H

#include "marigoldspool/Peer/Messages.h"

#include <type_traits>

namespace marigoldspool {

// The wire fields of each message, listed once for encoding and decoding: V is the Encoder or the
// Decoder, M the message type, const when encoding. Heartbeat fields have one-letter names because
// an instance exchanges hundreds of heartbeats per second in a large fleet and longer names would
// make up most of their bytes.
template <class M, class T>
constexpr bool IsMessage = std::is_same_v<std::remove_const_t<M>, T>;

template <class V, class M>
std::enable_if_t<IsMessage<M, Heartbeat>> visitFields(V &visit, M &m)
{
    visit("z", m.zone);
    visit("a", m.address);
    visit("c", m.configVersion);
    visit("g", m.configAgeMs);
    visit("e", m.rosterEpoch);
    visit("s", m.stopping);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ConfigRequest>> visitFields(V &visit, M &m)
{
    visit("have_version", m.knownVersion);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ConfigTransfer>> visitFields(V &visit, M &m)
{
    visit("version", m.version);
    visit("rules", m.rules);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LoanRequest>> visitFields(V &visit, M &m)
{
    visit("limit", m.limit);
    visit("loan_id", m.loanId);
    visit("tokens", m.tokens);
    visit("fraction", m.fraction);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LoanGrant>> visitFields(V &visit, M &m)
{
    visit("limit", m.limit);
    visit("loan_id", m.loanId);
    visit("tokens", m.tokens);
    visit("fraction", m.fraction);
    visit("term_ms", m.termMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, EpochAck>> visitFields(V &visit, M &m)
{
    visit("epoch", m.epoch);
    visit("member_incarnation", m.memberIncarnation);
    visit("released", m.released);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ForwardRequest>> visitFields(V &visit, M &m)
{
    visit("id", m.id);
    visit("workspace", m.workspace);
    visit("key", m.key);
    visit("route", m.route);
    visit("model", m.model);
    visit("pool", m.pool);
    visit("target", m.target);
    visit("method", m.method);
    visit("headers", m.headers);
    visit.bytes("body", m.body);
    visit("cost", m.cost);
    visit("deadline_ms", m.deadlineMs);
    visit("idempotent", m.idempotent);
    visit("stream", m.stream);
    visit("overflow", m.overflow);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ForwardHead>> visitFields(V &visit, M &m)
{
    visit("id", m.id);
    visit.finalStatus("status", m.status);
    visit("headers", m.headers);
    visit("stream", m.stream);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ForwardData>> visitFields(V &visit, M &m)
{
    visit("id", m.id);
    visit("index", m.index);
    visit.bytes("bytes", m.bytes);
    visit("last", m.last);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ForwardRefusal>> visitFields(V &visit, M &m)
{
    visit("id", m.id);
    visit("reason", m.reason);
    visit("ran", m.ran);
    visit("message", m.message);
    visit("remedy", m.remedy);
    visit("retry_after_ms", m.retryAfterMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ForwardCancel>> visitFields(V &visit, M &m)
{
    visit("id", m.id);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ReportedDemand>> visitFields(V &visit, M &m)
{
    visit("p", m.pool);
    visit("m", m.model);
    visit("a", m.adapter);
    visit("r", m.requestsPerSecond);
    visit("i", m.idleMs);
    visit("w", m.waiting);
    visit("o", m.oldestWaitMs);
    visit.optional("d", m.dueInMs);
    visit("u", m.priority);
    visit.optional("s", m.waitingForSlot);
    visit.optional("v", m.weight);
    visit.optional("e", m.firstDueInMs);
    visit.optional("l", m.leaveInMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, DemandReport>> visitFields(V &visit, M &m)
{
    visit("have", m.knownSequence);
    visit("models", m.models);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, PlacedEndpoint>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("m", m.models);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LoadForecast>> visitFields(V &visit, M &m)
{
    visit("m", m.model);
    visit("a", m.adapter);
    visit("r", m.readyInMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, EndpointDelay>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("d", m.delayMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LeaseAnnouncement>> visitFields(V &visit, M &m)
{
    visit("v", m.version);
    visit("n", m.renewal);
    visit("r", m.released);
    visit("o", m.recentlyOrdered);
    visit.optional("t", m.orderDelayMs);
    visit.optional("d", m.endpointDelays);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, PlacementUpdate>> visitFields(V &visit, M &m)
{
    visit("term", m.term);
    visit("sequence", m.sequence);
    visit("full", m.full);
    visit("endpoints", m.endpoints);
    visit("lease", m.lease);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LoadForecasts>> visitFields(V &visit, M &m)
{
    visit("term", m.term);
    visit("loading", m.loading);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, KnownRevision>> visitFields(V &visit, M &m)
{
    visit("p", m.prefix);
    visit("r", m.revision);
    visit("c", m.lastChangeVersion);
    visit("a", m.ageMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, RevisionBeacon>> visitFields(V &visit, M &m)
{
    visit("k", m.prefixes);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ObjectsRequest>> visitFields(V &visit, M &m)
{
    visit("prefix", m.prefix);
    visit("revision", m.revision);
    visit.optional("p", m.acceptsParts);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, RelayedObject>> visitFields(V &visit, M &m)
{
    visit("key", m.key);
    visit("version", m.version);
    visit.bytes("value", m.value);
    visit.optional("o", m.omittedBytes);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, StreamOriginNotice>> visitFields(V &visit, M &m)
{
    visit("p", m.pool);
    visit("v", m.version);
    visit.packed("k", m.keys, StreamOriginNotice::MaxKeys);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, StreamOriginNotices>> visitFields(V &visit, M &m)
{
    visit("streams", m.streams);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ObjectPartRequest>> visitFields(V &visit, M &m)
{
    visit("prefix", m.prefix);
    visit("key", m.key);
    visit("version", m.version);
    visit("offset", m.offset);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ObjectPart>> visitFields(V &visit, M &m)
{
    visit("prefix", m.prefix);
    visit("key", m.key);
    visit("version", m.version);
    visit("offset", m.offset);
    visit("total", m.totalBytes);
    visit.bytes("bytes", m.bytes);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ObjectsTransfer>> visitFields(V &visit, M &m)
{
    visit("prefix", m.prefix);
    visit("base", m.baseRevision);
    visit("revision", m.revision);
    visit.optional("c", m.lastChange);
    visit("keys", m.keys);
    visit("objects", m.objects);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, WorkspaceUsage>> visitFields(V &visit, M &m)
{
    visit("w", m.workspace);
    visit("u", m.used);
    visit("a", m.requested);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, UsageReport>> visitFields(V &visit, M &m)
{
    visit("w", m.workspaces);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, UsageTotals>> visitFields(V &visit, M &m)
{
    visit("n", m.members);
    visit("w", m.workspaces);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, EngineCrash>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("p", m.pool);
    visit("parts", m.parts);
    visit("own", m.ownPart);
    visit.optional("report", m.report);
    visit.optional("request", m.request);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, PromptPartRef>> visitFields(V &visit, M &m)
{
    visit("p", m.pool);
    visit("part", m.part);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, QuarantinedPart>> visitFields(V &visit, M &m)
{
    visit("p", m.pool);
    visit("part", m.part);
    visit("since_ms", m.sinceMs);
    visit("remaining_ms", m.remainingMs);
    visit("repetitions", m.repetitions);
    visit.optional("rivals", m.rivals);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, PromptTrial>> visitFields(V &visit, M &m)
{
    visit("p", m.pool);
    visit("part", m.part);
    visit("claim", m.claim);
    visit("request", m.request);
    visit("sent", m.sent);
    visit("ended", m.ended);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, PromptEvidence>> visitFields(V &visit, M &m)
{
    visit("crashes", m.crashes);
    // The name that instances of older versions expect.
    visit("begun", m.served);
    visit("quarantined", m.quarantined);
    visit.optional("trials", m.trials);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LeavingEndpoint>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("started_ms", m.startedAtMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LeavingEndpoints>> visitFields(V &visit, M &m)
{
    visit("endpoints", m.endpoints);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LimitedEndpoint>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("started_ms", m.startedAtMs);
    visit("r", m.perSecond);
    visit("end", m.ended);
    visit("a", m.ageMs);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, LimitedEndpoints>> visitFields(V &visit, M &m)
{
    visit("endpoints", m.endpoints);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, ModelLoad>> visitFields(V &visit, M &m)
{
    visit("m", m.model);
    visit("n", m.requests);
    visit("u", m.unstarted);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, EndpointLoad>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("started_ms", m.startedAtMs);
    visit("m", m.models);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, PriorityLoad>> visitFields(V &visit, M &m)
{
    visit("p", m.pool);
    visit("m", m.model);
    visit("u", m.priority);
    visit("w", m.waiting);
    visit("r", m.requestsPerSecond);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, EndpointLoads>> visitFields(V &visit, M &m)
{
    visit("endpoints", m.endpoints);
    visit.optional("demand", m.demand);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, EndpointTotal>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("started_ms", m.startedAtMs);
    visit("n", m.requests);
    visit("u", m.unstarted);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, FleetLoads>> visitFields(V &visit, M &m)
{
    visit("term", m.term);
    visit("sequence", m.sequence);
    visit("full", m.full);
    visit("endpoints", m.endpoints);
    visit.optional("has_demand", m.hasDemand);
    visit.optional("demand", m.demand);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, SilentEndpoint>> visitFields(V &visit, M &m)
{
    visit("e", m.endpoint);
    visit("started_ms", m.startedAtMs);
    visit("s", m.silentMs);
    visit("end", m.ended);
    visit("by", m.by);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, SilentEndpoints>> visitFields(V &visit, M &m)
{
    visit("endpoints", m.endpoints);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, WorkspaceCount>> visitFields(V &visit, M &m)
{
    visit("w", m.workspace);
    visit("n", m.count);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, WindowStarts>> visitFields(V &visit, M &m)
{
    visit("k", m.window);
    visit("f", m.final);
    visit("c", m.counts);
}

template <class V, class M>
std::enable_if_t<IsMessage<M, RequestStarts>> visitFields(V &visit, M &m)
{
    visit("windows", m.windows);
}

} // namespace marigoldspool

#endif
