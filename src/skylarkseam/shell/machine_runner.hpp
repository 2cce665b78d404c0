// Binds a state machine of the control part to the event loop and the platform: feeds it events, performs its
// platform calls and wakes it when it is due.
#pragma once

#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/platform_client.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <functional>
#include <utility>
#include <variant>
#include <vector>

namespace skylarkseam {

/// `Output` is a variant that has platform_call among its alternatives; `perform` gets all others.
template <typename Machine, typename Input, typename Output>
class machine_runner {
public:
    machine_runner(event_loop& loop, platform_client& platform, Machine& machine,
                   std::function<void(Output&)> perform)
        : loop_(loop)
        , platform_(platform)
        , machine_(machine)
        , perform_(std::move(perform))
        , timer_(loop, [this] { feed(typename Machine::time_event{}); }) {}

    void feed(Input event) {
        std::vector<Output> out;
        machine_.handle(std::move(event), loop_.now(), out);
        for (auto& it : out) {
            if (auto* call = std::get_if<platform_call>(&it)) {
                platform_.call(call->request, [this, id = call->id](platform_response response) {
                    feed(platform_answer{id, std::move(response)});
                });
            } else {
                perform_(it);
            }
        }
        timer_.set(machine_.next_wakeup());
    }

    /// Lets the machine act on what it was told outside of an event.
    void wake() { feed(typename Machine::time_event{}); }

private:
    event_loop& loop_;
    platform_client& platform_;
    Machine& machine_;
    std::function<void(Output&)> perform_;
    wakeup_timer timer_;
};

} // namespace skylarkseam
