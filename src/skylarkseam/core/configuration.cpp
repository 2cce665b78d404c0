#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/name_table.hpp>

namespace skylarkseam {
namespace {

constexpr name_table service_state_names{std::array{
    named_value<service_state>{service_state::in, "in"},
    named_value<service_state>{service_state::out, "out"},
}};

constexpr name_table request_class_names{std::array{
    named_value<request_class>{request_class::urgent, "urgent"},
    named_value<request_class>{request_class::interactive, "interactive"},
    named_value<request_class>{request_class::deferrable, "deferrable"},
}};

} // namespace

std::string_view name_of(service_state state) {
    return service_state_names.name_of(state);
}

std::string_view name_of(request_class cls) {
    return request_class_names.name_of(cls);
}

std::optional<service_state> find_service_state(std::string_view name) {
    return service_state_names.find(name);
}

std::optional<request_class> find_request_class(std::string_view name) {
    return request_class_names.find(name);
}

bool takes_new_work(const configuration& config, const searcher& it) {
    if (it.state == service_state::out) {
        return false;
    }
    const auto zone = config.zones.find(it.zone);
    return zone == config.zones.end() || zone->second.state == service_state::in;
}

} // namespace skylarkseam
