#!/usr/bin/env bash
# Demonstrates the main use with real processes on loopback: a stand-in for the platform's
# store, two services on four hosts in three zones, declarations, a key, requests, a store
# outage, a planned stop under load, and the withdrawal of a key that open connections use.
# Exits with status 0 only if every step passes.
set -u
cd "$(dirname "$0")/.."
workdir=$(mktemp -d)
pids=()
failures=0

cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$workdir"
}
trap cleanup EXIT

check_step() { # NAME CONDITION-STATUS DETAIL
  if [ "$2" -eq 0 ]; then printf 'ok    %s: %s\n' "$1" "$3"; else printf 'FAIL  %s: %s\n' "$1" "$3"; failures=$((failures + 1)); fi
}

export CATKINRUN_STORE=127.0.0.1:7100

write_settings() { # HOST ZONE IP SERVICE
  cat >"$workdir/$1.yaml" <<YAML
host: $1
zone: $2
service: $4
server: $3:7005
store: $CATKINRUN_STORE
listen:
  caller: $3:7001
  announce: $3:7002
  peer: $3:7003
  operator: $3:7004
  ready: $3:7006
YAML
}

start_daemon() { # HOST
  "$workdir/catkinrun" daemon --settings "$workdir/$1.yaml" >"$workdir/$1.log" &
  pids+=($!)
}

start_server() { # SERVICE ZONE IP [FLAG ...]
  local service=$1 zone=$2 ip=$3
  shift 3
  "$workdir/catkinrun-standin" server --id "server-$ip" --service "$service" --zone "$zone" --listen "$ip:7005" --daemon "http://$ip:7001" \
    --control "http://$ip:7002" --domain shop.example --slots 50 --work 5ms "$@" &
  pids+=($!)
}

send_load() { # FLAG ...
  "$workdir/catkinrun-standin" load --domain shop.example "$@"
}

go build -o "$workdir/" ./cmd/... || exit 1
"$workdir/catkinrun-standin" platform --listen "$CATKINRUN_STORE" &
pids+=($!)
write_settings bakery-1 zone-a 127.0.1.1 recipes
write_settings bakery-2 zone-b 127.0.1.2 recipes
write_settings bakery-3 zone-c 127.0.1.3 orders
write_settings bakery-4 zone-a 127.0.1.4 orders
for host in bakery-1 bakery-2 bakery-3; do start_daemon "$host"; done
start_daemon bakery-4
stopped_daemon=$!
start_server recipes zone-a 127.0.1.1
start_server recipes zone-b 127.0.1.2
start_server orders zone-c 127.0.1.3 --call '/orders/=GET /stock/'
start_server orders zone-a 127.0.1.4 --call '/orders/=GET /stock/'

for _ in $(seq 1 50); do
  joined=$("$workdir/catkinrun" status 2>/dev/null | grep -c 'server-')
  [ "$joined" -eq 4 ] && break
  sleep 0.2
done
check_step "hosts join" "$([ "$joined" -eq 4 ]; echo $?)" "$joined of 4 servers are listed"

out=$("$workdir/catkinrun" apply -f examples/horno-sol --wait 2>&1)
check_step "declarations come into force" $? "$(tail -n 1 <<<"$out")"
out=$("$workdir/catkinrun" apply -f examples/corrib 2>&1)
check_step "second set of declarations is written" $? "$(tail -n 1 <<<"$out")"
key=$("$workdir/catkinrun" key issue panaderia-luna | tail -n 1)
check_step "key is issued" $? "printed once"
sleep 3 # the owner grants tokens once it has had a majority of votes for a second

urls=http://127.0.1.1:7001,http://127.0.1.2:7001,http://127.0.1.3:7001
out=$(send_load --name order --urls $urls --method POST --path /orders/ --key "$key" --rate 100 --duration 2s)
check_step "orders, each with a downstream call, are answered" "$(grep -q 'sent 200 answered 200 ' <<<"$out"; echo $?)" "$out"
out=$(send_load --name card --urls $urls --path /recipes/pan --rate 50 --duration 1s)
check_step "open route answers requests without a key" "$(grep -q 'sent 50 answered 50 ' <<<"$out"; echo $?)" "$out"
out=$(send_load --name none --urls $urls --method POST --path /orders/ --rate 10 --duration 1s)
check_step "other routes refuse requests without a key" "$(grep -q 'answered 0 .*key:10' <<<"$out"; echo $?)" "$out"

curl -s -X PUT -d '{"down":true}' "http://$CATKINRUN_STORE/faults"
out=$(send_load --name outage --urls $urls --method POST --path /orders/ --key "$key" --rate 100 --duration 3s)
curl -s -X PUT -d '{}' "http://$CATKINRUN_STORE/faults"
check_step "requests are answered during a store outage" "$(grep -q 'sent 300 answered 300 ' <<<"$out"; echo $?)" "$out"

send_load --name stop --urls $urls --method POST --path /orders/ --key "$key" --rate 100 --duration 6s >"$workdir/stop.out" &
load_pid=$!
sleep 1
kill -TERM "$stopped_daemon"
wait "$stopped_daemon"
status=$?
wait "$load_pid"
out=$(cat "$workdir/stop.out")
check_step "planned stop exits with status 0" "$status" "bakery-4"
check_step "planned stop under load interrupts no request" "$(grep -q 'sent 600 answered 600 lost 0' <<<"$out"; echo $?)" "$out"

send_load --name withdrawn --urls http://127.0.1.2:7001 --method POST --path /orders/ --key "$key" --rate 50 --duration 5s >"$workdir/key.out" &
load_pid=$!
sleep 1
"$workdir/catkinrun" key withdraw panaderia-luna "$key" >"$workdir/withdraw.out"
check_step "key is withdrawn" $? "$(tail -n 1 "$workdir/withdraw.out")"
wait "$load_pid"
out=$(cat "$workdir/key.out")
answered=$(sed -n 's/.*answered \([0-9]*\) .*/\1/p' <<<"$out")
check_step "withdrawn key is refused on open connections within 2 s" "$([ "${answered:-250}" -lt 150 ] && grep -q 'key:' <<<"$out"; echo $?)" "$out"
keys_seen=0
for ip in 127.0.1.1 127.0.1.2 127.0.1.3; do
  seen=$("$workdir/catkinrun-standin" report --server "http://$ip:7005" | sed -n 's/.*keys-seen \([0-9]*\).*/\1/p')
  keys_seen=$((keys_seen + ${seen:-1}))
done
check_step "no server receives a key" "$keys_seen" "$keys_seen requests with a key"
refused_request=$(grep -h '"gateway: request refused"' "$workdir"/*.log | sed -n 's/.*"request":"\([^"]*\)".*/\1/p' | head -n 1)
out=$("$workdir/catkinrun" explain "$refused_request" "$workdir"/*.log | head -n 1)
check_step "explain finds a refused request by its id" "$([ -n "$out" ]; echo $?)" "$(cut -c1-120 <<<"${out#"$workdir"/}")"
key_lines=$(cat "$workdir"/*.log | grep -cF "$key")
check_step "no log contains the key" "$key_lines" "$key_lines lines"
exit "$((failures > 0))"
