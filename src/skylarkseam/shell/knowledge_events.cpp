// What the gateway's knowledge takes from the store: changes, listings and the store's incarnations.
#include <skylarkseam/shell/knowledge_runner.hpp>
#include <skylarkseam/shell/logging.hpp>

namespace skylarkseam {

void knowledge_runner::take_store(std::vector<store_output> events) {
    begin_incarnation(store_.state().incarnation(), "store");
    for (auto& it : events) {
        std::visit([this](auto& event) { take_one(event); }, it);
    }
    settle();
    answer_followers();
    timer_.set(next_wakeup());
}

void knowledge_runner::take_one(store_event::entry_changed& event) {
    auto& entry = event.entry;
    const auto* const fault = std::get_if<unreadable_entry>(&entry.value);
    if (fault != nullptr && !entry.deleted) {
        log_event(log_level::warning, "entry_skipped",
                  {{"kind", name_of(event.kind)}, {"name", entry.name}, {"fault", fault->fault}});
    }
    switch (event.kind) {
    case store_kind::routing:
        if (auto* const table = std::get_if<std::shared_ptr<const routing_table>>(&entry.value)) {
            const routing_source source{(*table)->version, std::move(entry.text)};
            const auto& current = known_.routing();
            if (source.version < current.version ||
                (source.version == current.version && source.text != current.text)) {
                log_event(
                    log_level::warning, "configuration_ignored",
                    {{"version", source.version},
                     {"in_force", current.version},
                     {"revision", entry.revision},
                     {"reason", source.version < current.version ? "older version"
                                                                 : "same version with another content"}});
            }
            apply(source, std::move(*table), "store");
        }
        break;
    case store_kind::searchers: {
        registration change{entry.name, entry.revision, std::nullopt, event.store_was_away};
        const auto* const record = std::get_if<searcher_record>(&entry.value);
        if (record != nullptr && !entry.deleted) {
            change.record = *record;
        }
        if (known_.apply(change)) {
            apply(std::vector{change});
        }
        break;
    }
    case store_kind::evacuations: {
        const evacuation change{entry.name, entry.revision, !entry.deleted};
        if (known_.apply(change)) {
            apply(std::vector{change});
        }
        break;
    }
    }
}

void knowledge_runner::take_one(store_event::listed& event) {
    if (!event.complete) {
        log_event(log_level::warning, "listing_incomplete",
                  {{"kind", name_of(event.kind)}, {"entries", event.names.size()}});
    } else if (event.kind == store_kind::searchers) {
        apply(known_.retain_searchers(event.names, event.revision, event.store_was_away));
    } else if (event.kind == store_kind::evacuations) {
        apply(known_.retain_evacuations(event.names, event.revision));
    }
    known_.advance(event.kind, event.revision);
    known_.confirm(event.kind, loop_.now());
    note_complete();
    log_event(log_level::info, "listed",
              {{"kind", name_of(event.kind)}, {"entries", event.names.size()}, {"revision", event.revision}});
}

void knowledge_runner::take_one(store_event::confirmed& event) {
    known_.advance(event.kind, event.revision);
    known_.confirm(event.kind, loop_.now());
}

void knowledge_runner::take_one(store_event::store_lost& event) {
    log_event(log_level::warning, "store_lost", {{"kind", name_of(event.kind)}, {"fault", event.detail}});
}

void knowledge_runner::take_one(store_event::store_regained& event) {
    log_event(log_level::info, "store_regained",
              {{"kind", name_of(event.kind)}, {"away_ms", static_cast<std::uint64_t>(to_ms(event.away))}});
}

void knowledge_runner::take_one(store_event::restored& event) {
    begin_incarnation(event.to, "store");
}

void knowledge_runner::begin_incarnation(std::uint64_t incarnation, const std::string& source) {
    const auto before = known_.incarnation();
    if (!known_.begin_incarnation(incarnation) || before == 0) {
        return;
    }
    log_event(log_level::warning, "store_restored",
              {{"from", before},
               {"to", incarnation},
               {"source", source},
               {"searchers_kept", known_.searchers()},
               {"zones_kept_evacuated", known_.evacuated_zones().size()},
               {"configuration_kept", known_.routing().version}});
    suspect_store_.note_restored();
    handlers_.on_store_restored();
}

void knowledge_runner::settle() {
    const auto changes = known_.settle(loop_.now());
    if (!changes.registrations.empty() || !changes.evacuations.empty()) {
        log_event(log_level::warning, "not_written_again",
                  {{"store_incarnation", known_.incarnation()},
                   {"searchers", changes.registrations.size()},
                   {"evacuations", changes.evacuations.size()}});
    }
    apply(changes.registrations);
    apply(changes.evacuations);
}

} // namespace skylarkseam
