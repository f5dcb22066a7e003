#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief Largest HTTP body that is accepted, in bytes. */
inline constexpr std::size_t maxHttpBodyBytes = std::size_t { 512 } * 1024;

/*! @brief A header field as name and value. */
using HttpField = std::pair<std::string, std::string>;

/*! @brief HTTP request as the application sees it. */
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    std::vector<HttpField> fields;
    std::string body;

    /**
     * @brief Finds a header field.
     * @param name Name, compared without case.
     * @return The first value, empty when there is none.
     */
    [[nodiscard]] std::string_view field(std::string_view name) const;

    /**
     * @brief Finds a query parameter.
     * @param name Name.
     * @param fallback Value when there is none.
     * @return The value.
     */
    [[nodiscard]] std::string_view parameter(std::string_view name, std::string_view fallback = {}) const;
};

/*! @brief HTTP response as the application sees it. */
struct HttpResponse {
    unsigned status { 200 };
    std::vector<HttpField> fields;
    std::string body;
    std::string contentType { "application/json" };
    /*! @brief Ends the connection without sending the response; emulators use it for lost answers. */
    bool dropConnection { false };

    /**
     * @brief Finds a header field.
     * @param name Name, compared without case.
     * @return The first value, empty when there is none.
     */
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/**
 * @brief Splits a request target into path and decoded query parameters.
 * @param target Target as in `/v1/jobs?limit=3`.
 * @param request Receives path and query.
 * @throws Error of kind invalidArgument when a percent escape is broken.
 */
void parseTarget(std::string_view target, HttpRequest& request);

}
