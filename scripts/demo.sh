#!/usr/bin/env bash
# The whole path in separate processes on loopback: platform, three failure domains of daemons,
# targets, fabric and callers; a drain, a daemon replaced after SIGTERM, another after SIGKILL. Then the
# daemon with direct forwarding, between the platform's stand-ins, under random faults.
# Prints a table and ends with a status other than 0 where an invariant failed.
# Usage: scripts/demo.sh [--no-build]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly bin="$PWD/build/release"
readonly traffic_seconds=26
readonly domains=(alx-raml alx-raml alx-raml alx-smouha alx-smouha alx-agami alx-agami)
readonly lending_targets=6
readonly catalogue_targets=3
readonly lending_feeds=300
readonly catalogue_feeds=60

work="$(mktemp -d)"
declare -A pid_of=()  # of every process that this script started, by name
declare -A id_at=()   # daemon ids, by place
declare -A port_of=() # by NAME.PORT, as the ready lines tell them

clean_up() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -KILL "${pid_of[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    if [[ "${keep_logs:-0}" == 1 ]]; then
        echo "logs are kept in $work"
    else
        rm -rf "$work"
    fi
}
trap clean_up EXIT

say() {
    printf '%5.1fs  %s\n' "$(echo "$EPOCHREALTIME $began" | awk '{ print $1 - $2 }')" "$*"
}

give_up() {
    echo "demo: $*" >&2
    keep_logs=1
    exit 1
}

# Waits until a command succeeds. $1: what for; $2: seconds; then the command.
wait_until() {
    local what="$1" deadline=$((SECONDS + $2))
    shift 2
    until "$@" > /dev/null 2>&1; do
        ((SECONDS < deadline)) || give_up "waited too long for $what"
        sleep 0.1
    done
}

# Starts a stand-in and takes its ports from its ready line. $1: name; then the command.
start_standin() {
    local name="$1" word
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.err" &
    pid_of[$name]=$!
    wait_until "$name" 10 grep -q '^ready' "$work/$name.out"
    for word in $(head -n 1 "$work/$name.out"); do
        [[ "$word" == *=* ]] && port_of[$name.${word%%=*}]="${word#*=}"
    done
    return 0
}

put() {
    curl -sf -m 5 -X PUT -d "$2" "http://127.0.0.1:$1" > /dev/null || give_up "PUT $1 failed"
}

in_use() {
    local hex
    hex="$(printf ':%04X ' "$1")"
    grep -qs "$hex" /proc/net/tcp /proc/net/udp
}

# Finds a run of free ports below those that the kernel hands out itself.
find_ports() {
    local first port
    for ((first = 20000 + RANDOM % 8000; ; first = 20000 + RANDOM % 8000)); do
        for ((port = first; port < first + $1; ++port)); do
            in_use "$port" && continue 2
        done
        echo "$first"
        return
    done
}

# Ports of daemon $1: data, peer, records, administration.
data_port() { echo $((base_port + $1 * 4)); }
peer_port() { echo $((base_port + $1 * 4 + 1)); }
records_port() { echo $((base_port + $1 * 4 + 2)); }
admin_port() { echo $((base_port + $1 * 4 + 3)); }

# Peer addresses of the other daemons of the same failure domain.
seeds_of() {
    local place list=""
    for place in "${!domains[@]}"; do
        [[ "$place" != "$1" && "${domains[$place]}" == "${domains[$1]}" ]] || continue
        list+="\"127.0.0.1:$(peer_port "$place")\", "
    done
    echo "${list%, }"
}

# Registers a VM at the platform and starts its daemon. $1: place; $2: daemon id.
start_daemon() {
    local place="$1" id="$2" domain="${domains[$1]}"
    cat > "$work/daemon$id.json" << SETTINGS
{
    "daemon": $id,
    "domain": "$domain",
    "addresses": {
        "data": "127.0.0.1:$(data_port "$place")",
        "peer": "127.0.0.1:$(peer_port "$place")",
        "records": "127.0.0.1:$(records_port "$place")",
        "administration": "127.0.0.1:$(admin_port "$place")"
    },
    "fabric": ["127.0.0.1"],
    "seeds": [$(seeds_of "$place")],
    "platform": {"address": "127.0.0.1:${port_of[platform.http]}"},
    "clusterSecretFile": "$work/cluster.secret",
    "administration": {"operatorKeyFile": "$work/operator.key"}
}
SETTINGS
    put "${port_of[platform.http]}/control/vms/$id" "{\"domain\": \"$domain\",
        \"address\": \"127.0.0.1:$(peer_port "$place")\",
        \"records\": \"127.0.0.1:$(records_port "$place")\", \"leaving\": false}"
    "$bin/baobabtraild" --settings "$work/daemon$id.json" > "$work/daemon$id.out" 2>&1 &
    pid_of[daemon$id]=$!
    id_at[$place]="$id"
}

answers() {
    ctl_at "$1" show revision
}

ctl_at() {
    local place="$1"
    shift
    "$bin/baobabctl" --key_file "$work/operator.key" --daemons "127.0.0.1:$(admin_port "$place")" "$@"
}

ctl() {
    local places=("${!domains[@]}") list
    list="$(for place in "${places[@]}"; do printf '127.0.0.1:%d,' "$(admin_port "$place")"; done)"
    "$bin/baobabctl" --key_file "$work/operator.key" --daemons "${list%,}" "$@"
}

change() {
    ctl --change_id "$1" "$2" > "$work/change-$1.out" 2>&1 || {
        cat "$work/change-$1.out"
        give_up "change $1 was not accepted"
    }
}

fabric_member() {
    curl -sf -m 5 -X "$1" "http://127.0.0.1:${port_of[fabric.control]}/members/127.0.0.1:$(data_port "$2")" \
        > /dev/null || give_up "the fabric did not take a member"
}

start_target() {
    local service="$1" name="$2" seed="$3"
    start_standin "$service-$name" "$bin/standin-target" --tenant=alexandria --service="$service" \
        --name="$name" --uplink="127.0.0.1:${port_of[fabric.uplink]}" --slots=2 --queue=4 \
        --service_us=20000 --seed="$seed"
}

declare_service() {
    local service="$1" count="$2" index name statement
    statement="declare service alexandria/$service"
    for ((index = 1; index <= count; ++index)); do
        name="t$index"
        statement+="; add target alexandria/$service/$name domain ${domains[$(((index * 2) % 7))]}"
        statement+=" flows 127.0.0.1:${port_of[$service-$name.flows]}"
        statement+=" requests 127.0.0.1:${port_of[$service-$name.requests]} slots 2"
    done
    change "declare-$service" "$statement"
}

start_caller() {
    local service="$1" feeds="$2" rate="$3" seed="$4"
    start_standin "caller-$service" "$bin/standin-caller" --service="$service" --feeds="$feeds" \
        --rate="$rate" --fabric="127.0.0.1:${port_of[fabric.callers]}" --seconds="$traffic_seconds" \
        --seed="$seed"
}

stats_of() {
    curl -sf -m 5 "http://127.0.0.1:${port_of[$1.control]}/stats"
}

feeds_are_open() {
    [[ "$(stats_of "caller-$1" | jq .flows.open)" == "$2" ]]
}

work_of() {
    stats_of "$1" | jq -c '[.flowsOpened // 0, .runs // 0]'
}

# Prints daemon, domain and revision in force, as the daemon at a place sees itself.
own_row() {
    ctl_at "$1" --json show daemons | jq -r --arg id "${id_at[$1]}" \
        '.rows[] | select(.[0] == $id) | "\(.[0]) \(.[1]) \(.[3])"'
}

# Whether the daemon at a place knows every other one, those of other failure domains included.
knows_all() {
    [[ "$(ctl_at "$1" --json show daemons | jq '.rows | length')" -ge "${#domains[@]}" ]]
}

all_at_one_revision() {
    local place revisions=()
    for place in "${!domains[@]}"; do
        revisions+=("$(own_row "$place" | cut -d ' ' -f 3)")
    done
    [[ "$(printf '%s\n' "${revisions[@]}" | sort -u | wc -l)" == 1 ]]
}

# Replaces the daemon at a place by a new one. $1: place; $2: old id; $3: new id; $4: signal.
replace_daemon() {
    local place="$1" old="$2" new="$3" signal="$4" pid="${pid_of[daemon$2]}" status=0
    [[ "$signal" == KILL ]] && disown "$pid" # else the shell reports its end on the terminal
    kill "-$signal" "$pid"
    if [[ "$signal" == TERM ]]; then
        fabric_member DELETE "$place"
        wait "$pid" || status=$?
        ((status == 0)) || failures+=("daemon $old ended with status $status after SIGTERM")
    else
        sleep 1 # the fabric goes on spraying to it for a while
        fabric_member DELETE "$place"
    fi
    unset "pid_of[daemon$old]"
    curl -sf -m 5 -X DELETE "http://127.0.0.1:${port_of[platform.http]}/control/vms/$old" > /dev/null
    start_daemon "$place" "$new"
    wait_until "daemon $new" 10 answers "$place"
    fabric_member PUT "$place"
}

failures=()
expect() {
    local what="$1" actual="$2" wanted="$3"
    [[ "$actual" == "$wanted" ]] || failures+=("$what is $actual, not $wanted")
}

# Largest over mean, of a list of numbers on standard input.
imbalance() {
    awk '{ sum += $1; if ($1 > max) max = $1 } END { if (sum > 0) printf "%.2f", max * NR / sum; else print "-" }'
}

over_targets() {
    local field="$1" index
    for ((index = 2; index <= lending_targets; ++index)); do # t1 is drained
        stats_of "lending-t$index" | jq "$field // 0"
    done
}

if [[ "${1:-}" != --no-build ]]; then
    scripts/install-packages.sh
    scripts/build.sh release baobabctl baobabtraild bench-soak standin-caller standin-fabric \
        standin-platform standin-target
fi

began="$EPOCHREALTIME"
base_port="$(find_ports $((${#domains[@]} * 4)))"
head -c 32 /dev/urandom | base64 > "$work/cluster.secret"
head -c 32 /dev/urandom | base64 > "$work/operator.key"
head -c 32 /dev/urandom | base64 > "$work/tenant.key"
chmod 600 "$work"/*.secret "$work"/*.key

start_standin platform "$bin/standin-platform" --vm_lag_ms=500 --writes_per_second=300 \
    --reads_per_second=2000
members=""
for place in "${!domains[@]}"; do
    start_daemon "$place" $((place + 1))
    members+="127.0.0.1:$(data_port "$place"),"
done
start_standin fabric "$bin/standin-fabric" --members="$members"
for ((index = 1; index <= lending_targets; ++index)); do
    start_target lending "t$index" "$index"
done
for ((index = 1; index <= catalogue_targets; ++index)); do
    start_target catalogue "t$index" $((100 + index))
done
for place in "${!domains[@]}"; do
    wait_until "daemon $((place + 1))" 10 answers "$place"
done
for place in "${!domains[@]}"; do
    wait_until "the view of daemon $((place + 1))" 15 knows_all "$place"
done
say "platform, ${#domains[@]} daemons, $((lending_targets + catalogue_targets)) targets and the fabric run"

tenant_hash="$("$bin/baobabctl" --hash_key --key_file "$work/tenant.key")"
change declare-tenant "declare tenant alexandria key-hash $tenant_hash"
declare_service lending "$lending_targets"
declare_service catalogue "$catalogue_targets"
ctl wait for change declare-catalogue timeout 10s > /dev/null || give_up "a change did not come into force"
say "tenant, services and targets are in force"

start_caller lending "$lending_feeds" 150 7
start_caller catalogue "$catalogue_feeds" 30 8
wait_until "open feeds" 10 feeds_are_open lending "$lending_feeds"
wait_until "open feeds" 10 feeds_are_open catalogue "$catalogue_feeds"
say "$lending_feeds feeds of lending and $catalogue_feeds of catalogue are open"

change drain "drain target alexandria/lending/t1"
say "lending/t1 is drained"
sleep 3
work_after_drain="$(work_of lending-t1)"

replace_daemon 1 2 12 TERM
say "daemon 2 was replaced after SIGTERM"
sleep 1
replace_daemon 4 5 15 KILL
say "daemon 5 was replaced after SIGKILL"

wait_until "one revision on every daemon" 10 all_at_one_revision
flow_imbalance="$(over_targets .flows | imbalance)"
for service in lending catalogue; do
    wait "${pid_of[caller-$service]}" || failures+=("the caller of $service failed")
    unset "pid_of[caller-$service]"
done
say "the callers are done"
request_imbalance="$(over_targets .runs | imbalance)"

for ((index = 1; index <= lending_targets; ++index)); do
    curl -sf "http://127.0.0.1:${port_of[lending-t$index.control]}/runs"
done > "$work/runs"
for ((index = 1; index <= catalogue_targets; ++index)); do
    curl -sf "http://127.0.0.1:${port_of[catalogue-t$index.control]}/runs"
done >> "$work/runs"
sed -n 2p "$work/caller-lending.out" > "$work/stats"
sed -n 2p "$work/caller-catalogue.out" >> "$work/stats"
sed -n 3p "$work/caller-lending.out" > "$work/ids"
sed -n 3p "$work/caller-catalogue.out" >> "$work/ids"

sum() { jq -s "map($1) | add" "$work/stats"; }
runs='(map(to_entries) | add | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}))'
duplicates="$(jq -s "$runs | map(select(.value > 1)) | length" "$work/runs")"
jq -s "$runs | map(.key)" "$work/runs" > "$work/ran"
ran_but_refused="$(jq -s --slurpfile ran "$work/ran" '(map(.notRun) | add) as $ids
    | ($ids - ($ids - $ran[0])) | length' "$work/ids")"
answered_but_never_ran="$(jq -s --slurpfile ran "$work/ran" '((map(.answered) | add) - $ran[0]) | length' "$work/ids")"

expect "the number of open feeds" "$(sum .flows.open)" $((lending_feeds + catalogue_feeds))
expect "the number of broken feeds" "$(sum .flows.broken)" 0
expect "data of another service" "$(sum .flows.wrongData)" 0
expect "the number of requests run twice" "$duplicates" 0
expect "requests refused as not run that ran" "$ran_but_refused" 0
expect "requests answered that never ran" "$answered_but_never_ran" 0
expect "wrong answers" "$(sum .requests.wrongAnswers)" 0
expect "answers after a not run" "$(sum .requests.answeredAfterNotRun)" 0
expect "work (flows, runs) of the drained target" "$(work_of lending-t1)" "$work_after_drain"
for name in "${!port_of[@]}"; do
    [[ "$name" == *-t*.control ]] || continue
    expect "frames of another service at ${name%.control}" "$(stats_of "${name%.control}" | jq '.wrongService // 0')" 0
done

cat << TABLE

flows       open $(sum .flows.open) · broken $(sum .flows.broken) · opened $(sum .flows.opened)
requests    sent $(sum .requests.sent) · answered $(sum .requests.answered) · not run $(sum .requests.notRun) · unknown $(sum .requests.unknown) · timed out $(sum .requests.timedOut)
duplicates  $duplicates requests run twice · $ran_but_refused refused as not run that ran
imbalance   requests $request_imbalance · flows $flow_imbalance (largest over mean, lending, without the drained target)
latency     lending, ms: $(jq -c .requests.latencyMs < <(head -n 1 "$work/stats"))
revisions
TABLE
for place in "${!domains[@]}"; do
    own_row "$place" | awk '{ printf "            daemon %s in %s: %s\n", $1, $2, $3 }'
done

if ((${#failures[@]} > 0)); then
    keep_logs=1
    printf 'FAILED: %s\n' "${failures[@]}"
    exit 1
fi
say "every invariant held"

# The same program with direct forwarding: targets answer callers themselves, and random faults strike.
say "direct forwarding: six daemons, ten targets, sixteen callers, ten seconds of faults"
"$bin/bench-soak" --seed 1 --seconds 10 || give_up "the soak of direct forwarding found something"
say "direct forwarding held"
