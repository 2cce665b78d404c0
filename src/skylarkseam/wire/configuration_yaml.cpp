#include <skylarkseam/wire/configuration_decoder.hpp>
#include <skylarkseam/wire/configuration_yaml.hpp>

#include <iterator>

namespace skylarkseam {

checked_configuration parse_configuration(const std::vector<source_file>& sources) {
    fault_list faults;
    std::vector<document> documents;
    for (const auto& it : sources) {
        auto found = parse_yaml(it, faults);
        std::move(found.begin(), found.end(), std::back_inserter(documents));
    }
    checked_configuration checked;
    checked.value = decode_configuration(documents, faults);
    checked.faults = faults.sorted();
    return checked;
}

} // namespace skylarkseam
