# Starts a deployment of real processes on loopback with ephemeral ports, for scripts to source.
# Whatever it starts ends with the script that sourced it.
#   deployment_start CONFIG NODES [SEARCHER OPTION...]   sets WORK, PLATFORM, SEARCHER_CONTROL, and the arrays
#                                                        CALLERS, ADMINS, PEERS and NODE_PIDS
#   deployment_start_node INDEX [SEED...]                starts one node; a replacement takes over the callers'
#                                                        address of the one before
#   deployment_apply [FILE]                              applies the configuration with the real addresses
#   deployment_wait_ready                                until every node answers /healthz with 200

BIN=${SKYLARKSEAM_BIN:-build}
NODE_ZONES=(a b c)
CALLERS=() ADMINS=() PEERS=() NODE_PIDS=() STARTED=()

deployment_stop() {
    local pid
    for pid in "${STARTED[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for _ in $(seq 50); do
        local left=0
        for pid in "${STARTED[@]}"; do
            kill -0 "$pid" 2>/dev/null && left=1
        done
        [ "$left" = 0 ] && break
        sleep 0.1
    done
    for pid in "${STARTED[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$WORK"
}

# Waits for a key=value word in a log and prints its last value.
log_value() { # FILE KEY [LINE PATTERN]
    local value
    for _ in $(seq 100); do
        value=$(grep -E "${3:-event=listening}" "$1" 2>/dev/null | sed -nE "s/.*[ ]$2=([^ ]*).*/\1/p" | tail -n 1)
        if [ -n "$value" ]; then
            echo "$value"
            return 0
        fi
        sleep 0.1
    done
    echo "no $2 in $1:" >&2
    tail -n 5 "$1" >&2
    return 1
}

deployment_start_node() { # INDEX [SEED...]
    local it=$1
    shift
    local zone=${NODE_ZONES[$((it % ${#NODE_ZONES[@]}))]}
    {
        echo "node: {name: node-$it, availability_zone: $zone, region: local}"
        echo "listen: {callers: \"${CALLERS[it]:-127.0.0.1:0}\", admin: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}"
        echo "platform: {url: \"$PLATFORM\"}"
        [ $# -gt 0 ] && printf 'seeds: [%s]\n' "$(printf '"%s",' "$@" | sed 's/,$//')"
        echo 'log: {level: info}'
    } >"$WORK/node-$it.yaml"
    : >"$WORK/node-$it.log"
    "$BIN/skylarkseam" node --settings "$WORK/node-$it.yaml" >"$WORK/node-$it.log" 2>&1 &
    NODE_PIDS[it]=$!
    STARTED+=("$!")
    CALLERS[it]=$(log_value "$WORK/node-$it.log" callers)
    ADMINS[it]=$(log_value "$WORK/node-$it.log" admin)
    PEERS[it]=$(log_value "$WORK/node-$it.log" peers)
}

deployment_start() { # CONFIG NODES [SEARCHER OPTION...]
    local config=$1 nodes=$2 it
    shift 2
    WORK=$(mktemp -d)
    trap deployment_stop EXIT
    "$BIN/skylarkseam-standin" platform >"$WORK/platform.log" 2>&1 &
    STARTED+=("$!")
    PLATFORM=http://$(log_value "$WORK/platform.log" address)
    "$BIN/skylarkseam-standin" searcher --config "$config" --write-config "$WORK/config.yaml" "$@" >"$WORK/searchers.log" 2>&1 &
    STARTED+=("$!")
    SEARCHER_CONTROL=$(log_value "$WORK/searchers.log" address role=control)
    mapfile -t NODE_ZONES < <(sed -n '/^kind: availability_zone/{n;s/^name: //p}' "$WORK/config.yaml")
    deployment_start_node 0
    for ((it = 1; it < nodes; ++it)); do
        deployment_start_node "$it" "${PEERS[0]}"
    done
}

deployment_apply() { # [FILE]
    "$BIN/skylarkseam" apply -f "${1:-$WORK/config.yaml}" --platform "$PLATFORM"
}

deployment_wait_ready() {
    local address
    for address in "${CALLERS[@]}"; do
        for _ in $(seq 100); do
            curl --silent --fail --max-time 2 --output /dev/null "http://$address/healthz" && continue 2
            sleep 0.1
        done
        echo "node $address is not ready" >&2
        tail -n 5 "$WORK"/node-*.log >&2
        return 1
    done
}
