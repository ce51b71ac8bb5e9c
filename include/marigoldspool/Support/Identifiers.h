#ifndef MARIGOLDSPOOL_SUPPORT_IDENTIFIERS_H
#define MARIGOLDSPOOL_SUPPORT_IDENTIFIERS_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace marigoldspool {

/// A string identifier, typed by \p Tag so that identifiers of different kinds do not convert.
template <class Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const Identifier &a, const Identifier &b)
    {
        return a.m_value == b.m_value;
    }
    friend bool operator!=(const Identifier &a, const Identifier &b) { return !(a == b); }
    friend bool operator<(const Identifier &a, const Identifier &b)
    {
        return a.m_value < b.m_value;
    }
    friend std::ostream &operator<<(std::ostream &out, const Identifier &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using InstanceId = Identifier<struct InstanceTag>;
using ZoneName = Identifier<struct ZoneTag>;
using WorkspaceName = Identifier<struct WorkspaceTag>;
using EndpointId = Identifier<struct EndpointTag>;
using ModelName = Identifier<struct ModelTag>;
using RouteName = Identifier<struct RouteTag>;
/// Lower-case hexadecimal SHA-256 of a caller's key.
using KeyDigest = Identifier<struct KeyDigestTag>;
using RequestId = Identifier<struct RequestTag>;
using ReplicaId = Identifier<struct ReplicaTag>;
using OrderId = Identifier<struct OrderTag>;
/// Identifies one conditional write, so that its outcome can be read back if the answer is lost.
using WriteId = Identifier<struct WriteTag>;

} // namespace marigoldspool

template <class Tag>
struct std::hash<marigoldspool::Identifier<Tag>> {
    std::size_t operator()(const marigoldspool::Identifier<Tag> &id) const
    {
        return std::hash<std::string>()(id.str());
    }
};

#endif
