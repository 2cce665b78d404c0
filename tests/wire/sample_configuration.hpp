// Small configuration used by several tests in this folder.
#pragma once

#include <string>

namespace skylarkseam {

inline const std::string sample_yaml = R"(kind: availability_zone
name: kochi
---
kind: availability_zone
name: munnar
state: out
---
kind: upstream_group
name: radio
slots: 2
connections: 25
cold_start: {slots: 1, step: 1, interval_ms: 500}
searchers:
  - {name: radio-1, address: 127.0.0.1:7101, availability_zone: kochi, shards: [1, 0]}
  - {name: radio-2, address: "[::1]:7102", availability_zone: munnar, shards: [0, 1], state: out}
---
- kind: service
  name: sightings
  upstream_group: radio
  deadline_ms: 210
  minimum_coverage: 0.5
  class: urgent
  hedge: {budget_percent: 2.5}
- kind: service
  name: billing
  upstream_group: radio
  deadline_ms: 5000
  idempotent: false
---
kind: sharing_rule
name: radio-shares
upstream_group: radio
callers:
  - {name: crews, weight: 3, floor: 0.5}
  - {name: watchers, weight: 1, floor: 0.5, max_in_flight: 8}
)";

} // namespace skylarkseam
