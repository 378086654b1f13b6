# Starts and ends a small system of separate processes on loopback. Sourced by other scripts.
# Needs BUILD (folder of the programs) and WORK (a folder for logs and records).

declare -A pid_of
# Blocks of ports below the range that the system gives to outgoing connections.
base_port=${BASE_PORT:-$((10000 + $$ % 45 * 450))}
store_port=$base_port
operators=""
targets=""
peers=""
run_files=""

start_process() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
    pid_of[$name]=$!
}

start_store() {
    start_process store "$BUILD/guavabay-standins" store --port "$store_port"
}

start_endpoint() { # NUMBER ZONE
    local number=$1 zone=$2
    shift 2
    start_process "e$number" "$BUILD/guavabay-standins" endpoint --name "e$number" \
        --port $((base_port + 100 + number)) --zone "$zone" --rack "r$number" \
        --store "127.0.0.1:$store_port" --record "$WORK/e$number.runs" --seed "$number" "$@"
    run_files="$run_files${run_files:+,}$WORK/e$number.runs"
}

plan_entries() { # COUNT
    entry_count=$1
    local number
    for number in $(seq 1 "$1"); do
        operators="$operators${operators:+,}127.0.0.1:$((base_port + 300 + number))"
        targets="$targets${targets:+,}127.0.0.1:$((base_port + 200 + number))"
        if [ "$number" -le 3 ]; then
            peers="$peers${peers:+,}127.0.0.1:$((base_port + 400 + number))"
        fi
    done
}

start_entry() { # NUMBER [FLAGS]
    local number=$1
    shift
    start_process "h$number" "$BUILD/guavabay" serve --host "h$number" \
        --zone "z$(((number - 1) % 3 + 1))" \
        --caller-address "127.0.0.1:$((base_port + 200 + number))" \
        --operator-address "127.0.0.1:$((base_port + 300 + number))" \
        --peer-address "127.0.0.1:$((base_port + 400 + number))" \
        --peers "$peers" --peer-keys 1:loopback-demo-secret-0001 --operator-open yes \
        --store "127.0.0.1:$store_port" --drain-seconds 1 "$@"
}

wait_ready() { # NUMBER...
    local number
    for number in "$@"; do
        local tries=0
        until fetch "127.0.0.1:$((base_port + 300 + number))/ready" | grep -q '^ready'; do
            tries=$((tries + 1))
            if [ "$tries" -gt 200 ]; then
                echo "entry host h$number did not become ready" >&2
                return 1
            fi
            sleep 0.05
        done
    done
}

fetch() { # ADDRESS/PATH [CURL FLAGS]
    curl -s -m 5 "$@" 2>/dev/null || true
}

set_switch() { # PORT NAME NUMBER
    fetch "127.0.0.1:$1/-/switch/$2/$3" >/dev/null
}

list_elsewhere() { # NUMBER: writes a listing of another service into the store
    local key value
    key=$(printf 'guavabay/endpoint/other/e%s' "$1" | base64 -w0)
    value=$(printf '{"address":"127.0.0.1:9","zone":"z1","rack":"r1","slots":1,"state":"live"}' |
        base64 -w0)
    fetch "127.0.0.1:$store_port/v3/kv/put" -d "{\"key\":\"$key\",\"value\":\"$value\"}" \
        >/dev/null
}

stop_process() { # NAME SIGNAL
    local pid=${pid_of[$1]:-}
    if [ -n "$pid" ]; then
        kill -"${2:-TERM}" "$pid" 2>/dev/null || true
    fi
}

wait_process() { # NAME: gives the exit status
    wait "${pid_of[$1]}"
}

stop_all() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -CONT "${pid_of[$name]}" 2>/dev/null || true
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
