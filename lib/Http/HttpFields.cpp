#include "marigoldspool/Http/HttpFields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace marigoldspool {

namespace {

constexpr std::array<std::string_view, 6> HopByHopNames{
    "Connection", "Transfer-Encoding", "Upgrade", "TE", "Trailer", "Keep-Alive"};

constexpr std::string_view ProxyPrefix = "Proxy-";

boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view fromBeast(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::vector<std::string> namedByConnection(const std::vector<HeaderField> &headers)
{
    std::vector<std::string> names;
    for (const HeaderField &field : headers) {
        if (!equalsIgnoringCase(field.name, "Connection")) {
            continue;
        }
        for (const auto &token : boost::beast::http::token_list(toBeast(field.value))) {
            names.emplace_back(fromBeast(token));
        }
    }
    return names;
}

// Returns the percent-decoded path without the query; invalid escapes are kept.
std::string decodePath(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i) {
        unsigned code = 0;
        const char *digits = path.data() + i + 1;
        const bool hasDigits = path[i] == '%' && i + 2 < path.size();
        if (hasDigits && std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2) {
            decoded.push_back(static_cast<char>(code));
            i += 2;
        } else {
            decoded.push_back(path[i]);
        }
    }
    return decoded;
}

} // namespace

bool isHopByHopField(std::string_view name)
{
    const auto matches = [name](std::string_view known) {
        return equalsIgnoringCase(name, known);
    };
    return std::any_of(HopByHopNames.begin(), HopByHopNames.end(), matches)
        || equalsIgnoringCase(name.substr(0, ProxyPrefix.size()), ProxyPrefix);
}

void removeHopByHopFields(std::vector<HeaderField> &headers)
{
    const std::vector<std::string> named = namedByConnection(headers);
    const auto isRemoved = [&named](const HeaderField &field) {
        const auto matches = [&field](const std::string &name) {
            return equalsIgnoringCase(name, field.name);
        };
        return isHopByHopField(field.name) || std::any_of(named.begin(), named.end(), matches);
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), isRemoved), headers.end());
}

bool isToken(std::string_view text)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    const auto isTokenChar = [Marks](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || Marks.find(c) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isWritableField(const HeaderField &field)
{
    constexpr std::string_view Forbidden("\r\n\0", 3);
    return isToken(field.name) && field.value.find_first_of(Forbidden) == std::string::npos;
}

bool isWritableTarget(std::string_view target)
{
    const auto isVisible = [](char c) {
        const auto code = static_cast<unsigned char>(c);
        return code > 0x20 && code != 0x7F;
    };
    return !target.empty() && target.front() == '/'
        && std::all_of(target.begin(), target.end(), isVisible);
}

bool hasDotSegment(std::string_view target)
{
    std::string path = decodePath(target);
    std::replace(path.begin(), path.end(), '\\', '/');
    std::string_view rest = path;
    while (!rest.empty()) {
        const std::size_t end = rest.find('/');
        const std::string_view segment = rest.substr(0, end);
        if (segment == "." || segment == "..") {
            return true;
        }
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    return false;
}

// Beast 1.74 reads such a chunk anew with each call, and asserts that it has five bytes then.
// Behind another chunk, whose line end counts as well, it always has.
bool isPartOfLastChunk(std::string_view bytes)
{
    constexpr std::string_view ShortestLastChunk = "0\r\n\r\n";
    return !bytes.empty() && bytes.front() == '0' && bytes.size() < ShortestLastChunk.size();
}

std::string_view reasonPhrase(int status)
{
    if (status == 431) {
        return "Request Header Fields Too Large";
    }
    const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
    return fromBeast(boost::beast::http::obsolete_reason(known));
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace marigoldspool
