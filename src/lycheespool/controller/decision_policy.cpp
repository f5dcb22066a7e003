#include "lycheespool/controller/decision_policy.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <sstream>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace lycheespool {

namespace {

/*! @brief A number of the policy. */
struct NumberField {
    double min { 0 };
    double max { 0 };
    bool isWhole { false };
    std::function<double(const DecisionPolicy&)> get;
    std::function<void(DecisionPolicy&, double)> set;
};

/*! @brief A switch of the policy. */
struct SwitchField {
    std::function<bool&(DecisionPolicy&)> member;
};

/*! @brief A key of the policy file. */
struct Field {
    std::string_view table;
    std::string_view key;
    std::string_view meaning;
    std::variant<NumberField, SwitchField> value;
};

template <typename Access>
NumberField number(double min, double max, Access access)
{
    using Member = std::remove_reference_t<decltype(access(std::declval<DecisionPolicy&>()))>;
    return { min, max, std::is_integral_v<Member>,
        [access](const DecisionPolicy& it) { return static_cast<double>(access(it)); },
        [access](DecisionPolicy& it, double value) { access(it) = static_cast<Member>(value); } };
}

template <typename Access>
SwitchField toggle(Access access)
{
    return { access };
}

const std::vector<Field>& fields()
{
    static const std::vector<Field> all {
        { "preemption", "enabled", "urgent work beyond its guarantee may stop less important work",
            toggle([](auto& it) -> auto& { return it.preemption.isEnabled; }) },
        { "preemption", "slack_ms", "work with more slack than this waits, ms",
            number(
                0, 60000, [](auto& it) -> auto& { return it.preemption.slackMs; }) },
        { "preemption", "budget", "unsaved work that may be discarded, as a multiple of the urgent work",
            number(
                0, 1000, [](auto& it) -> auto& { return it.preemption.budget; }) },
        { "preemption", "accounts_for_uncertainty", "assumes that forecasts may be wrong by their spread",
            toggle([](auto& it) -> auto& { return it.preemption.accountsForUncertainty; }) },
        { "preemption", "urgent_eviction_factor", "cost factor for evicting work of priority 0",
            number(
                0, 1000, [](auto& it) -> auto& { return it.urgentEvictionFactor; }) },
        { "placement", "max_reservations", "waiting requests that hold a reservation",
            number(
                0, 1000, [](auto& it) -> auto& { return it.placement.maxReservations; }) },
        { "placement", "urgent_speed_weight", "weight of executor speed for urgent work",
            number(
                -100, 100, [](auto& it) -> auto& { return it.urgentSpeedWeight; }) },
        { "placement", "normal_speed_weight", "weight of executor speed for other work",
            number(
                -100, 100, [](auto& it) -> auto& { return it.normalSpeedWeight; }) },
        { "placement", "waits_for_rack", "gangs and tasks with local data wait for their rack",
            toggle([](auto& it) -> auto& { return it.waitsForRack; }) },
        { "placement", "rack_wait_share", "longest such wait, as a share of the extra run time elsewhere",
            number(
                0, 10, [](auto& it) -> auto& { return it.rackWaitShare; }) },
        { "reliability", "suspicion_ms", "time for which an executor is suspected after failures, ms",
            number(
                0, 600000, [](auto& it) -> auto& { return it.suspicionMs; }) },
        { "reliability", "avoids_failed_nodes", "a job prefers executors on which it has not failed",
            toggle([](auto& it) -> auto& { return it.avoidsFailedNodes; }) },
        { "reliability", "protects_last_attempt", "the last attempt waits for executors without failures",
            toggle([](auto& it) -> auto& { return it.protectsLastAttempt; }) },
        { "reliability", "trial_ms", "time after which a run that goes on shows that its executor works, ms",
            number(
                0, 60000, [](auto& it) -> auto& { return it.trialMs; }) },
        { "reliability", "trial_starts", "tasks that may be in their trial time on an executor that is not proven",
            number(
                1, 1000000, [](auto& it) -> auto& { return it.trialStarts; }) },
        { "reliability", "proven_ms", "time for which a run proves its executor, counted from its start, ms",
            number(
                0, 600000, [](auto& it) -> auto& { return it.provenMs; }) },
        { "reliability", "probe_delay_ms", "delay before the first probe of a suspected executor, ms; doubles",
            number(
                0, 600000, [](auto& it) -> auto& { return it.probeDelayMs; }) },
        { "reliability", "retry_delay_ms", "longest delay before a failed task starts again, ms",
            number(
                0, 60000, [](auto& it) -> auto& { return it.retry.delayMs; }) },
        { "reliability", "proven_wait_ms", "longest wait of the last attempt for a proven executor, ms",
            number(
                0, 60000, [](auto& it) -> auto& { return it.retry.provenWaitMs; }) },
        { "runs", "min_stall_ms", "minimum time without progress until a task is restarted, ms",
            number(
                100, 600000, [](auto& it) -> auto& { return it.minStallMs; }) },
        { "runs", "moves_from_departing_nodes", "runs that would not end before a departure are moved",
            toggle([](auto& it) -> auto& { return it.movesFromDepartingNodes; }) },
        { "forecast", "learns_run_times", "forecasts run times from earlier runs of the queue",
            toggle([](auto& it) -> auto& { return it.learnsRunTimes; }) },
        { "queue", "orders_by_slack", "orders work of one priority by slack instead of age",
            toggle([](auto& it) -> auto& { return it.ordersBySlack; }) },
    };
    return all;
}

std::string allowedOf(const Field& field)
{
    if (const auto* const it = std::get_if<NumberField>(&field.value))
        return fmt::format("a {}number from {} to {}", it->isWhole ? "whole " : "", it->min, it->max);
    return "true or false";
}

std::string defaultOf(const Field& field)
{
    DecisionPolicy defaults;
    if (const auto* const it = std::get_if<NumberField>(&field.value))
        return fmt::format("{}", it->get(defaults));
    return std::get<SwitchField>(field.value).member(defaults) ? "true" : "false";
}

std::string textOf(const toml::node& node)
{
    std::ostringstream out;
    node.visit([&out](const auto& it) { out << it; });
    return out.str();
}

Error invalid(const std::string& source, const toml::node& node, const std::string& what, const std::string& remedy)
{
    return { ErrorKind::invalidSetting, fmt::format("{}, line {}: {}", source, node.source().begin.line, what),
        remedy };
}

void apply(DecisionPolicy& policy, const Field& field, const toml::node& node, const std::string& source)
{
    const auto refuse = [&] {
        return invalid(source, node,
            fmt::format("{}.{} = {} is not allowed, use {}", field.table, field.key, textOf(node), allowedOf(field)),
            "use " + allowedOf(field));
    };
    if (const auto* const it = std::get_if<NumberField>(&field.value)) {
        const auto value = node.is_number() ? node.value<double>() : std::nullopt;
        // The negated comparison also refuses NaN.
        if (!value || !(*value >= it->min && *value <= it->max) || (it->isWhole && *value != std::floor(*value)))
            throw refuse();
        it->set(policy, *value);
        return;
    }
    const auto* const value = node.as_boolean();
    if (!value)
        throw refuse();
    std::get<SwitchField>(field.value).member(policy) = value->get();
}

}

DecisionPolicy parseDecisionPolicy(std::string_view text, const std::string& source)
{
    toml::table document;
    try {
        document = toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw Error { ErrorKind::invalidSetting,
            fmt::format("{}, line {}: {}", source, error.source().begin.line, error.description()),
            "correct the TOML syntax" };
    }
    DecisionPolicy policy;
    for (const auto& [name, section] : document) {
        const auto* const table = section.as_table();
        if (!table || std::ranges::find(fields(), name.str(), &Field::table) == fields().end())
            throw invalid(source, section, fmt::format("'{}' is not a table of the policy", name.str()),
                "see 'lycheespool gateway --help' for all keys");
        for (const auto& [key, node] : *table) {
            const auto field = std::ranges::find_if(
                fields(), [&](const Field& it) { return it.table == name.str() && it.key == key.str(); });
            if (field == fields().end())
                throw invalid(source, node, fmt::format("unknown key {}.{} = {}", name.str(), key.str(), textOf(node)),
                    "see 'lycheespool gateway --help' for all keys");
            apply(policy, *field, node, source);
        }
    }
    return policy;
}

DecisionPolicy readDecisionPolicy(const std::filesystem::path& path)
{
    std::ifstream file { path };
    const std::string text { std::istreambuf_iterator<char> { file }, {} };
    if (!file.is_open() || file.bad())
        throw Error { ErrorKind::invalidSetting, fmt::format("cannot read the policy file '{}'", path.string()),
            "check the path and the permissions" };
    return parseDecisionPolicy(text, path.string());
}

std::string describeDecisionPolicy()
{
    std::string text;
    for (const auto& it : fields())
        text += fmt::format("{}.{}: {}; {}, default {}\n", it.table, it.key, it.meaning, allowedOf(it), defaultOf(it));
    return text;
}

}
