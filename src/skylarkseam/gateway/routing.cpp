#include <skylarkseam/gateway/routing.hpp>

#include <algorithm>
#include <cctype>

namespace skylarkseam {
namespace {

std::string normalized_host(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

struct collect_services {
    std::vector<std::string> operator()(const single_service& plan) const { return {plan.service}; }
    std::vector<std::string> operator()(const weighted_split& plan) const {
        std::vector<std::string> names;
        for (const auto& it : plan.parts) {
            names.push_back(it.service);
        }
        return names;
    }
    std::vector<std::string> operator()(const shard_set& plan) const { return plan.services; }
};

} // namespace

bool routing_table::limits_cold_rates() const {
    return std::any_of(services.begin(), services.end(),
                       [](const auto& it) { return it.second.cold_rate > 0.0; });
}

const gateway_route* find_route(const routing_table& table, std::string_view host, std::string_view path) {
    const auto name = normalized_host(host);
    const gateway_route* best = nullptr;
    for (const auto& it : table.routes) {
        const bool matches = it.host == name && path.starts_with(it.prefix);
        if (matches && (best == nullptr || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    return best;
}

std::vector<std::string> services_of(const gateway_route& route) {
    return std::visit(collect_services{}, route.plan);
}

} // namespace skylarkseam
