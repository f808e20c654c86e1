#!/usr/bin/env bash
# Installs the packages, builds, and runs the whole system on loopback: three entries and stand-ins for
# the platform, the engines and the service. Sends a short chat request, a streamed one, a stock check
# and a reservation, prints each response with the version that served it and its cost, and shuts
# everything down gracefully. --stay keeps the system running until Ctrl-C and prints curl commands.
# --no-setup skips the packages and the build.
set -euo pipefail
cd "$(dirname "$0")/.."

stay=no
setup=yes
for argument in "$@"; do
  case "$argument" in
    --stay) stay=yes ;;
    --no-setup) setup=no ;;
    *) echo "usage: $0 [--stay] [--no-setup]" >&2; exit 2 ;;
  esac
done
if [ "$setup" = yes ]; then
  ./Meta/install-packages.sh
  ./Meta/build.sh
fi

bin="${BUILD_DIR:-Build}/bin"
work=$(mktemp -d)
key=demo-key
secret=loopback-demo-secret
pids=()

# Stops every process that this script started: SIGTERM, then SIGKILL after 20 s.
stop_all() {
  local clean=0 pid index
  # Reverse order, entries first: they settle their usage with the platform before it stops.
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    pid=${pids[$index]}
    kill -TERM "$pid" 2>/dev/null || true
    for _ in $(seq 400); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    if kill -0 "$pid" 2>/dev/null; then
      echo "process $pid did not stop within 20 s" >&2
      kill -KILL "$pid" 2>/dev/null || true
      clean=1
    fi
    wait "$pid" 2>/dev/null || clean=1
  done
  pids=()
  return $clean
}
on_exit() {
  local code=$?
  if [ "$code" -ne 0 ] && [ -d "$work" ]; then
    echo "run.sh failed; the last log lines of each process:" >&2
    tail -n 5 "$work"/*.log >&2 || true
  fi
  stop_all || true
  rm -rf "$work"
}
trap on_exit EXIT

fail() { echo "run.sh: $*" >&2; exit 1; }

# wait_for SECONDS WHAT COMMAND...: polls until the command succeeds; fails after SECONDS.
wait_for() {
  local seconds=$1 what=$2
  shift 2
  local end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "timed out after $seconds s waiting for $what"
    sleep 0.05
  done
}

# start NAME PROGRAM FLAGS...: starts the program in the background.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
address_of() { echo "127.0.0.1:$(jq -r .port "$work/$1.json")"; }
post() { curl -sS --fail-with-body --max-time 5 -X POST "http://$1" -d "$2"; }

echo "Starting the stand-ins."
start platform fennelline-standin-platform --ports_file "$work/platform.json"
wait_for 10 "the ports file of the platform" test -f "$work/platform.json"
platform=$(address_of platform)
for number in 1 2; do
  start "engine-$number" fennelline-standin-engine --ports_file "$work/engine-$number.json" \
    --versions small@3,medium@2,large@5 --platform "$platform" --seed "$number"
done
start service-1 fennelline-standin-service --ports_file "$work/service-1.json"
for name in engine-1 engine-2 service-1; do
  wait_for 10 "the ports file of $name" test -f "$work/$name.json"
done

echo "Writing examples/demo.json to the key-value store."
jq -n --rawfile text examples/demo.json '{value: $text, expected_revision: 0}' >"$work/put.json"
curl -sS --fail-with-body --max-time 5 -X PUT "http://$platform/kv/fennelline%2Fconfiguration" \
  -d @"$work/put.json" >/dev/null

echo "Starting three entries."
for number in 1 2 3; do
  jq -n --arg name "entry-$number" --arg dc "dc-$number" --arg platform "$platform" \
    --arg ports "$work/entry-$number.json" --arg secret "$secret" \
    '{name: $name, data_centre: $dc, platform_address: $platform, ports_file: $ports,
      shared_secrets: [$secret], session_keys: ["loopback-session-key"],
      entry_list_life_ms: 1000, leave_margin_ms: 500, stop_limit_ms: 15000}' \
    >"$work/settings-$number.json"
  start "entry-$number" fennelline-entry --settings "$work/settings-$number.json"
done
for number in 1 2 3; do
  wait_for 10 "the ports file of entry-$number" test -f "$work/entry-$number.json"
done

vm() { jq -n --arg n "$1" --arg a "$2" --arg d "$3" --arg r "$4" \
  '{name: $n, address: $a, data_centre: $d, role: $r, state: "live"}'; }
{
  for number in 1 2 3; do
    vm "entry-$number" "$(jq -r .datagram_address "$work/entry-$number.json")" "dc-$number" entry
  done
  vm engine-1 "$(address_of engine-1)" dc-1 model
  vm engine-2 "$(address_of engine-2)" dc-2 model
  vm service-1 "$(address_of service-1)" dc-3 service:counter
} | jq -s '{vms: .}' >"$work/vms.json"
post "$platform/control" @"$work/vms.json" >/dev/null

first=$(jq -r .caller_address "$work/entry-1.json")
lists_three_entries() {
  [ "$(curl -sS --max-time 2 "http://$1/v1/entries" | jq '.entries | length')" = 3 ]
}
for number in 1 2 3; do
  address=$(jq -r .caller_address "$work/entry-$number.json")
  wait_for 20 "entry-$number to list all three entries" lists_three_entries "$address"
done
mapfile -t entries < <(curl -sS "http://$first/v1/entries" | jq -r '.entries[].address')
echo "Entry addresses: ${entries[*]}"

# call NAME ADDRESS PATH KIND KEY BODY: sends one request; writes $work/NAME.head and NAME.body.
call() {
  curl -sS -N --max-time 20 -D "$work/$1.head" -o "$work/$1.body" -X POST "http://$2$3" \
    -H "Authorization: Bearer $key" -H "Fennelline-Kind: $4" -H "Idempotency-Key: $5" \
    -H "Content-Type: application/json" -d "$6"
}
# Each attempt uses a new idempotency key, since an entry that has just started may reject requests.
try_call() {
  attempts=$((attempts + 1))
  call "$1" "$2" "$3" "$4" "$1-$attempts" "$5" && grep -q '^HTTP/1.1 200' "$work/$1.head"
}
header() { sed -n "s/^$2: *\([^\r]*\)\r*$/\1/Ip" "$work/$1.head" | tail -n 1; }
# show NAME WHAT ADDRESS PATH KIND BODY: retries the request for 30 s and prints the response.
show() {
  attempts=0
  local end=$((SECONDS + 30))
  until try_call "$1" "$3" "$4" "$5" "$6"; do
    [ "$SECONDS" -lt "$end" ] || { cat "$work/$1.head" "$work/$1.body" >&2; fail "$2 failed"; }
    sleep 0.1
  done
  echo
  echo "== $2 (by $3)"
  cat "$work/$1.body"
  echo
  echo "   version: $(header "$1" Fennelline-Version)   cost: $(header "$1" Fennelline-Cost-Micros) micros"
}

chat='{"messages": [{"role": "user", "content": "A short reorder note for shade 12, please."}], "max_tokens": 12}'
streamed=$(jq -c '. + {stream: true}' <<<"$chat")
last=$((${#entries[@]} - 1))
show chat "A short chat request" "${entries[0]}" /v1/chat/completions chat "$chat"
show stream "A streamed chat request" "${entries[1]}" /v1/chat/completions chat "$streamed"
grep -q 'data: \[DONE\]' "$work/stream.body" || fail "the stream did not end with [DONE]"
show stock "A stock check" "${entries[$last]}" /v1/services/counter/stock stock-check '{"item": "shade-12"}'
show reserve "A reservation" "${entries[0]}" /v1/services/counter/reserve tester-reservation \
  '{"item": "tester-12"}'

if [ "$stay" = yes ]; then
  cat <<TEXT

Running until Ctrl-C. Example requests:
  curl -N http://${entries[0]}/v1/chat/completions -H 'Authorization: Bearer $key' \\
    -H 'Fennelline-Kind: chat' -H "Idempotency-Key: \$RANDOM" -d '$streamed'
  curl http://${entries[1]}/v1/services/counter/reserve -H 'Authorization: Bearer $key' \\
    -H 'Fennelline-Kind: tester-reservation' -H "Idempotency-Key: \$RANDOM" -d '{"item": "tester-12"}'
  curl http://$(jq -r .admin_address "$work/entry-1.json")/admin/status -H 'Authorization: Bearer $secret'
  curl 'http://$platform/kv?prefix=fennelline/'
TEXT
  stopping=no
  trap 'stopping=yes' INT TERM
  while [ "$stopping" = no ]; do sleep 0.2; done
  trap - INT TERM
fi

echo
echo "== Settled ledger"
ledger() { curl -sS --max-time 5 "http://$platform/kv?prefix=fennelline%2Fledger%2F"; }
billed() { ledger | jq -r '.keys[].value | fromjson | .customers[] | "\(.requests) \(.micros)"'; }
is_settled() { [ "$(billed | awk '{ sum += $1 } END { print sum + 0 }')" -ge 4 ]; }
wait_for 30 "the four requests to be settled" is_settled
ledger | jq -r '.keys[] | "\(.key) = \(.value)"'
billed | awk '{ requests += $1; micros += $2 }
  END { print "   total: " requests " requests, " micros " micros" }'

echo
echo "Stopping."
stop_all || fail "a process did not stop gracefully"
echo "All processes stopped gracefully."
