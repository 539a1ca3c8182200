#!/usr/bin/env bash
# Memory, processor time and control traffic of real daemons that hold the configuration of the
# design size: 3 daemons of one domain, 21 of the 4,400 targets in it, no callers.
# Usage: scripts/measure-process.sh [--no-build] [services] [targets] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
[[ "${1:-}" == --no-build ]] && shift || scripts/build.sh release > /dev/null
readonly services="${1:-2000}" targets="${2:-4400}" seconds="${3:-20}"
readonly bin="$PWD/build/release" own_targets=21 per_change=100 daemons=3

work="$(mktemp -d)"
pids=()
clean_up() {
    for pid in "${pids[@]}"; do
        disown "$pid" # else the shell reports its end on the terminal
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap clean_up EXIT

head -c 48 /dev/urandom | base64 > "$work/cluster.secret"
head -c 24 /dev/urandom | base64 > "$work/operator.key"
chmod 600 "$work/cluster.secret" "$work/operator.key"

"$bin/standin-platform" > "$work/platform.out" 2> /dev/null &
pids+=($!)
until grep -q '^ready' "$work/platform.out"; do sleep 0.1; done
platform_port="$(sed -n 's/^ready.* http=\([0-9]*\).*/\1/p' "$work/platform.out")"

base=$((21000 + RANDOM % 6000))
for ((id = 1; id <= daemons; ++id)); do
    port=$((base + 4 * id))
    cat > "$work/daemon$id.json" << SETTINGS
{
    "daemon": $id,
    "domain": "domain-0",
    "addresses": {
        "data": "127.0.0.1:$port",
        "peer": "127.0.0.1:$((port + 1))",
        "records": "127.0.0.1:$((port + 2))",
        "administration": "127.0.0.1:$((port + 3))"
    },
    "fabric": ["127.0.0.1"],
    "seeds": ["127.0.0.1:$((base + 5))"],
    "platform": {"address": "127.0.0.1:$platform_port"},
    "clusterSecretFile": "$work/cluster.secret",
    "administration": {"operatorKeyFile": "$work/operator.key"}
}
SETTINGS
    curl -sf -m 5 -X PUT "http://127.0.0.1:$platform_port/control/vms/$id" > /dev/null -d \
        "{\"domain\": \"domain-0\", \"address\": \"127.0.0.1:$((port + 1))\",
          \"records\": \"127.0.0.1:$((port + 2))\"}"
    "$bin/baobabtraild" --settings "$work/daemon$id.json" > "$work/daemon$id.out" 2>&1 &
    pids+=($!)
done

ctl() {
    "$bin/baobabctl" --key_file "$work/operator.key" --daemons "127.0.0.1:$((base + 7))" "$@"
}
for ((i = 0; i < 100; ++i)); do
    ctl show revision > /dev/null 2>&1 && break
    sleep 0.1
done

# Resident KiB, processor ticks, and bytes sent between daemons.
resident() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
sent_to_peers() {
    curl -s -m 5 "http://127.0.0.1:$((base + 4 * $1 + 3))/metrics" \
        | awk '/^baobabtrail_sent_bytes_total.*peer/ { print $2 }'
}
report() {
    local id pid
    local before=() bytes=()
    for ((id = 1; id <= daemons; ++id)); do
        before[id]="$(ticks "${pids[id]}")"
        bytes[id]="$(sent_to_peers "$id")"
    done
    sleep "$seconds"
    for ((id = 1; id <= daemons; ++id)); do
        pid="${pids[id]}"
        printf '%-22s daemon %d: %7d KiB resident, %6.3f%% of a core, %7.1f bytes/s sent to peers\n' \
            "$1" "$id" "$(resident "$pid")" \
            "$(awk -v t="$(($(ticks "$pid") - before[id]))" -v s="$seconds" \
                -v hz="$(getconf CLK_TCK)" 'BEGIN { print 100 * t / hz / s }')" \
            "$(awk -v b="$(sent_to_peers "$id")" -v a="${bytes[id]}" -v s="$seconds" \
                'BEGIN { print (b - a) / s }')"
    done
}

report "empty configuration"

{
    printf 'declare tenant tenant key-hash %064d\n' 0
    for ((i = 0; i < services; ++i)); do echo "declare service tenant/service-$i"; done
    for ((i = 0; i < targets; ++i)); do
        domain="domain-$((1 + i % 5))"
        ((i < own_targets)) && domain=domain-0
        echo "add target tenant/service-$((i % services))/t$i domain $domain" \
            "flows 127.$((1 + i / 60000)).$((i / 250 % 240)).$((1 + i % 250)):9000" \
            "requests 127.$((1 + i / 60000)).$((i / 250 % 240)).$((1 + i % 250)):9001 slots 2"
    done
} | awk -v n="$per_change" '{ printf "%s%s", (NR % n == 1 ? "" : "; "), $0; if (NR % n == 0) print "" }
    END { print "" }' > "$work/script"
began="$EPOCHREALTIME"
ctl < "$work/script" > "$work/ctl.out" 2>&1 || { tail -3 "$work/ctl.out"; exit 1; }
ctl wait for revision "$(grep -c . "$work/script")" timeout 20s
awk -v a="$began" -v b="$EPOCHREALTIME" -v n="$(grep -c . "$work/script")" \
    'BEGIN { printf "%d changes of up to 100 commands accepted and in force in %.1f s\n", n, b - a }'
report "$services services, $targets targets"
