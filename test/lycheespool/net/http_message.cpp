#include "lycheespool/net/http_message.h"
#include "lycheespool/core/error.h"

#include <doctest/doctest.h>

using namespace lycheespool;

// Guards against query values that reach the application still escaped.
TEST_CASE("a target is split into path and decoded parameters")
{
    HttpRequest request;
    parseTarget("/v1/rows?prefix=a%2Fb&limit=3&flag", request);
    CHECK(request.path == "/v1/rows");
    CHECK(request.parameter("prefix") == "a/b");
    CHECK(request.parameter("limit") == "3");
    CHECK(request.parameter("flag").empty());
    CHECK(request.parameter("none", "x") == "x");
}

// Guards against reading past the end on a cut escape.
TEST_CASE("a broken percent escape is refused")
{
    HttpRequest request;
    CHECK_THROWS_AS(parseTarget("/?a=%4", request), Error);
    CHECK_THROWS_AS(parseTarget("/?a=%zz", request), Error);
}
