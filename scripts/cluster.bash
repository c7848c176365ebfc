# Starts and stops nodes and stand-ins on loopback. Sourced by the scripts that need a cluster, which
# run from the root of the repository.

# The kernel sends SIGHUP to a process group that is orphaned while one of its processes is stopped.
# The stand-ins inherit the ignored signal; a node installs its own handler.
trap '' HUP

BUILD_DIR=${BUILD_DIR:-build}
RUN_DIR=$(mktemp -d)
declare -A PIDS=()
NODES=()    # indices of the started nodes, for ports
BACKENDS=() # backend server addresses

# Sets BASE_PORT to the first port of a block below the ephemeral range, so that outgoing connections do
# not take its ports.
pick_ports() {
  local try port
  for try in {1..20}; do
    BASE_PORT=$((10000 + RANDOM % 22 * 1000))
    for port in 0 1 2 3 4 8 999; do
      if (exec 3<> "/dev/tcp/127.0.0.1/$((BASE_PORT + port))") 2> /dev/null; then continue 2; fi
    done
    return 0
  done
  echo "no free block of ports" >&2
  return 1
}

caller_address()  { echo "127.0.0.1:$((BASE_PORT + $1 * 4))"; }
peer_address()    { echo "127.0.0.1:$((BASE_PORT + $1 * 4 + 1))"; }
admin_address()   { echo "127.0.0.1:$((BASE_PORT + $1 * 4 + 2))"; }
backend_address() { echo "127.0.0.1:$((BASE_PORT + $1 * 4 + 3))"; }
log_address()     { echo "127.0.0.1:$((BASE_PORT + 999))"; }

# start NAME COMMAND...: runs COMMAND in the background, with its output in RUN_DIR
start() {
  local name=$1
  shift
  "$@" > "$RUN_DIR/$name.out" 2> "$RUN_DIR/$name.err" &
  PIDS[$name]=$!
}

# Signals the named processes and waits for them; kills those that take more than 6 s.
stop() {
  local name try left
  for name in "$@"; do
    kill -CONT "${PIDS[$name]}" 2> /dev/null || true
    kill -TERM "${PIDS[$name]}" 2> /dev/null || true
  done
  for try in {1..60}; do
    left=()
    for name in "$@"; do
      if kill -0 "${PIDS[$name]}" 2> /dev/null; then left+=("$name"); fi
    done
    [ ${#left[@]} -eq 0 ] && break
    sleep 0.1
  done
  for name in "$@"; do
    kill -KILL "${PIDS[$name]}" 2> /dev/null || true
    wait "${PIDS[$name]}" 2> /dev/null || true
    unset "PIDS[$name]"
  done
}

stop_all() {
  if [ ${#PIDS[@]} -gt 0 ]; then stop "${!PIDS[@]}"; fi
  NODES=()
  BACKENDS=()
}

clean_up() {
  local status=$?
  trap - EXIT INT TERM
  stop_all
  if [ $status -ne 0 ] && [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs kept in $RUN_DIR" >&2
  else
    rm -rf "$RUN_DIR"
  fi
  exit $status
}
trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start_log() {
  start log "$BUILD_DIR/standins/log-service" --listen "$(log_address)" \
    --retention-seconds 3600 --appends-per-second 300
}

# start_backend INDEX FLAG...
start_backend() {
  local index=$1
  shift
  start "backend-$index" "$BUILD_DIR/standins/backend-server" \
    --listen "$(backend_address "$index")" --node "$(caller_address "$index")" \
    --seed "$((index + 1))" "$@"
  BACKENDS+=("$(backend_address "$index")")
}

# start_node INDEX SERVICE DOMAIN: the seeds are the first three nodes that were started
start_node() {
  local index=$1 service=$2 domain=$3 seeds="" seed
  for seed in "${NODES[@]:0:3}"; do seeds+=${seeds:+,}$(peer_address "$seed"); done
  start "node-$index" "$BUILD_DIR/fulmarwayd" \
    --listen "$(caller_address "$index")" --peer-listen "$(peer_address "$index")" \
    --admin-listen "$(admin_address "$index")" --backend "$(backend_address "$index")" \
    --service "$service" --domain "$domain" --region "${REGION:-region-1}" \
    --log-service "$(log_address)" ${seeds:+--seeds "$seeds"} \
    --cluster-key demonstration-key --log-level warn --stop-timeout-ms 3000
  NODES+=("$index")
}

# wait_for SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after SECONDS
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

wait_backends() {
  local address
  for address in "${BACKENDS[@]}"; do wait_for 10 curl -fs -m 1 "http://$address/health"; done
}

# wait_nodes PATH: waits until every node answers PATH: healthz once it serves its admin address, readyz
# once it accepts calls, which requires a configuration
wait_nodes() {
  local index
  for index in "${NODES[@]}"; do
    if ! wait_for 15 node_answers_or_is_gone "$index" "$1" || ! kill -0 "${PIDS[node-$index]}"; then
      tail -n 5 "$RUN_DIR/node-$index.err" >&2
      return 1
    fi
  done
}
node_answers_or_is_gone() {
  curl -fs -m 1 "http://$(admin_address "$1")/$2" || ! kill -0 "${PIDS[node-$1]}"
}

# declare_all FILE: sends the declarations before the nodes are ready, since readiness requires a
# configuration
declare_all() {
  wait_nodes healthz
  control --file "$1" > "$RUN_DIR/declare.out" 2>&1 || { cat "$RUN_DIR/declare.out" >&2; return 1; }
  wait_nodes readyz
}

# wait_tickets KIND: waits until every node issues tickets for KIND, which requires the configuration
# and a known executor
wait_tickets() {
  local index
  for index in "${NODES[@]}"; do
    wait_for 10 has_ticket "$(caller_address "$index")" "$1"
  done
}
has_ticket() { curl -fs -m 1 -o /dev/null -D - "http://$1/v1/ticket/$2" | grep -qi '^fulmarway-ticket:'; }

# control ARGUMENT...: runs fulmarctl against the first node
control() {
  USER=${USER:-demo} "$BUILD_DIR/fulmarctl" --node "$(admin_address "${NODES[0]}")" "$@"
}

# Members that the first node sees as alive.
alive_members() { control show members | grep -cw alive; }

# send_signal SIGNAL NAME...: signals the named processes
send_signal() {
  local signal=$1 name
  shift
  for name in "$@"; do kill "-$signal" "${PIDS[$name]}"; done
}

# sees_domain INDEX DOMAIN COUNT: whether node INDEX sees COUNT members of DOMAIN that accept new calls.
# Members that are suspect, dead or draining do not.
sees_domain() {
  local count
  count=$(curl -fs -m 2 "http://$(admin_address "$1")/control/v1/members" |
    grep -oE "\"domain\":\"$2\"[^}]*\"state\":\"alive\"" | wc -l)
  [ "$count" -eq "$3" ]
}

# config_version INDEX: the configuration version in effect on a node; empty when the node does not answer
config_version() {
  curl -fs -m 2 "http://$(admin_address "$1")/control/v1/config" | sed -E 's/^\{"version":([0-9]+).*/\1/'
}

# field LINE KEY: the value of KEY=VALUE in a line of the load generator
field() {
  local part
  for part in $1; do
    if [ "${part%%=*}" = "$2" ]; then
      echo "${part#*=}"
      return
    fi
  done
  echo 0
}

join() { local IFS=,; echo "$*"; }
entries() {
  local index list=()
  for index in "${NODES[@]}"; do list+=("$(caller_address "$index")"); done
  join "${list[@]}"
}

started_work() { curl -fs -m 2 "http://$1/stats" | sed -E 's/^\{"started":([0-9]+).*/\1/'; }

# Prints the idle and the total jiffies of the machine, from /proc/stat.
processor_times() {
  local label user nice system idle iowait irq softirq steal rest
  read -r label user nice system idle iowait irq softirq steal rest < /proc/stat
  echo "$((idle + iowait)) $((user + nice + system + idle + iowait + irq + softirq + steal))"
}
