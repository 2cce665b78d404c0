// Follows the configuration object of the platform.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/platform_client.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylarkseam {

class configuration_watch {
public:
    configuration_watch(event_loop& loop, platform_client& platform,
                        std::function<void(std::shared_ptr<const configuration>)> on_change);

    void start() { read(); }

private:
    void read();
    void take(const platform_response& response);
    void watch();

    event_loop& loop_;
    platform_client& platform_;
    std::function<void(std::shared_ptr<const configuration>)> on_change_;
    generation_id generation_ = 0;
    std::string version_ = "0";
};

} // namespace skylarkseam
