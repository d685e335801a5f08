#!/usr/bin/env bash
# Runs the main job with real processes on loopback: a stand-in for the platform's
# store, two services over four hosts in three zones, declarations, a key, requests, an
# outage of the store, a key withdrawn on a live connection, and a planned stop under
# load. Exits 0 only if every step held.
set -u
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
pids=()
failures=0

finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$bin"
}
trap finish EXIT

step() { # NAME CONDITION-STATUS DETAIL
  if [ "$2" -eq 0 ]; then printf 'ok    %s: %s\n' "$1" "$3"; else printf 'FAIL  %s: %s\n' "$1" "$3"; failures=$((failures + 1)); fi
}

export CATKINRUN_STORE=127.0.0.1:7100

settings() { # HOST ZONE IP SERVICE
  cat >"$bin/$1.yaml" <<YAML
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
  "$bin/catkinrun" daemon --settings "$bin/$1.yaml" >"$bin/$1.log" &
  pids+=($!)
}

start_server() { # SERVICE IP [FLAG ...]
  local service=$1 ip=$2
  shift 2
  "$bin/catkinrun-standin" server --id "server-$ip" --service "$service" --listen "$ip:7005" --daemon "http://$ip:7001" \
    --control "http://$ip:7002" --domain shop.example --slots 50 --work 5ms "$@" &
  pids+=($!)
}

load() { # FLAG ...
  "$bin/catkinrun-standin" load --domain shop.example "$@"
}

go build -o "$bin/" ./cmd/... || exit 1
"$bin/catkinrun-standin" platform --listen "$CATKINRUN_STORE" &
pids+=($!)
settings bakery-1 zone-a 127.0.1.1 recipes
settings bakery-2 zone-b 127.0.1.2 recipes
settings bakery-3 zone-c 127.0.1.3 orders
settings bakery-4 zone-a 127.0.1.4 orders
for host in bakery-1 bakery-2 bakery-3; do start_daemon "$host"; done
start_daemon bakery-4
leaving=$!
start_server recipes 127.0.1.1
start_server recipes 127.0.1.2
start_server orders 127.0.1.3 --call '/orders/=GET /stock/'
start_server orders 127.0.1.4 --call '/orders/=GET /stock/'

for _ in $(seq 1 50); do
  hosts=$("$bin/catkinrun" status 2>/dev/null | grep -c 'server-')
  [ "$hosts" -eq 4 ] && break
  sleep 0.2
done
step "hosts join" "$([ "$hosts" -eq 4 ]; echo $?)" "$hosts of 4 servers are known"

out=$("$bin/catkinrun" apply -f examples/horno-sol --wait 2>&1)
step "declarations come into force" $? "$(tail -n 1 <<<"$out")"
out=$("$bin/catkinrun" apply -f examples/corrib 2>&1)
step "a second set of declarations" $? "$(tail -n 1 <<<"$out")"
key=$("$bin/catkinrun" key issue panaderia-luna | tail -n 1)
step "key issued" $? "shown once"
sleep 3 # an owner deals tokens after a majority has asked it for a second

urls=http://127.0.1.1:7001,http://127.0.1.2:7001,http://127.0.1.3:7001
out=$(load --name order --urls $urls --method POST --path /orders/ --key "$key" --rate 100 --duration 2s)
step "orders, each with a call to another service" "$(grep -q 'sent 200 answered 200 ' <<<"$out"; echo $?)" "$out"
out=$(load --name card --urls $urls --path /recipes/pan --rate 50 --duration 1s)
step "open route without a key" "$(grep -q 'sent 50 answered 50 ' <<<"$out"; echo $?)" "$out"
out=$(load --name none --urls $urls --method POST --path /orders/ --rate 10 --duration 1s)
step "no key, no run" "$(grep -q 'answered 0 .*key:10' <<<"$out"; echo $?)" "$out"

curl -s -X PUT -d '{"down":true}' "http://$CATKINRUN_STORE/faults"
out=$(load --name outage --urls $urls --method POST --path /orders/ --key "$key" --rate 100 --duration 3s)
curl -s -X PUT -d '{}' "http://$CATKINRUN_STORE/faults"
step "the store's outage is not seen by callers" "$(grep -q 'sent 300 answered 300 ' <<<"$out"; echo $?)" "$out"

load --name stop --urls $urls --method POST --path /orders/ --key "$key" --rate 100 --duration 6s >"$bin/stop.out" &
running=$!
sleep 1
kill -TERM "$leaving"
wait "$leaving"
status=$?
wait "$running"
out=$(cat "$bin/stop.out")
step "planned stop exits cleanly" "$status" "bakery-4"
step "planned stop under load cuts no request" "$(grep -q 'sent 600 answered 600 lost 0' <<<"$out"; echo $?)" "$out"

load --name withdrawn --urls http://127.0.1.2:7001 --method POST --path /orders/ --key "$key" --rate 50 --duration 5s >"$bin/key.out" &
running=$!
sleep 1
"$bin/catkinrun" key withdraw panaderia-luna "$key" >"$bin/withdraw.out"
step "key withdrawn" $? "$(tail -n 1 "$bin/withdraw.out")"
wait "$running"
out=$(cat "$bin/key.out")
answered=$(sed -n 's/.*answered \([0-9]*\) .*/\1/p' <<<"$out")
step "withdrawn key stops on open connections within 2 s" "$([ "${answered:-250}" -lt 150 ] && grep -q 'key:' <<<"$out"; echo $?)" "$out"
keys=0
for ip in 127.0.1.1 127.0.1.2 127.0.1.3; do
  seen=$("$bin/catkinrun-standin" report --server "http://$ip:7005" | sed -n 's/.*keys-seen \([0-9]*\).*/\1/p')
  keys=$((keys + ${seen:-1}))
done
step "no server saw a key" "$keys" "$keys seen"
refused=$(grep -h '"gateway: request refused"' "$bin"/*.log | sed -n 's/.*"request":"\([^"]*\)".*/\1/p' | head -n 1)
out=$("$bin/catkinrun" explain "$refused" "$bin"/*.log | head -n 1)
step "a refused request is explained by its id" "$([ -n "$out" ]; echo $?)" "$(cut -c1-120 <<<"${out#"$bin"/}")"
leaks=$(cat "$bin"/*.log | grep -cF "$key")
step "no log has the key" "$leaks" "$leaks lines"
exit "$((failures > 0))"
