#include "lycheespool/net/http_message.h"

#include "lycheespool/core/error.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>

namespace lycheespool {

namespace {

std::string_view findField(const std::vector<HttpField>& fields, std::string_view name)
{
    const auto it = std::ranges::find_if(fields, [&](const auto& field) { return boost::iequals(field.first, name); });
    return it == fields.end() ? std::string_view {} : std::string_view { it->second };
}

char decodeEscape(std::string_view digits)
{
    unsigned value = 0;
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, 16);
    if (digits.size() != 2 || result.ptr != end)
        throw Error { ErrorKind::invalidArgument, "broken percent escape in the request target",
            "write two hexadecimal digits after each percent sign" };
    return static_cast<char>(value);
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%') {
            decoded += decodeEscape(text.substr(i + 1, 2));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

}

std::string_view HttpRequest::field(std::string_view name) const { return findField(fields, name); }

std::string_view HttpRequest::parameter(std::string_view name, std::string_view fallback) const
{
    const auto it = query.find(name);
    return it == query.end() ? fallback : std::string_view { it->second };
}

std::string_view HttpResponse::field(std::string_view name) const { return findField(fields, name); }

void parseTarget(std::string_view target, HttpRequest& request)
{
    const auto mark = target.find('?');
    request.path = std::string { target.substr(0, mark) };
    auto rest = mark == std::string_view::npos ? std::string_view {} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view {} : pair.substr(equals + 1);
        request.query.emplace(decodePercent(pair.substr(0, equals)), decodePercent(value));
        rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end + 1);
    }
}

}
