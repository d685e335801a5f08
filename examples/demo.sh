#!/usr/bin/env bash
# Runs the main job with real processes on loopback: one platform stand-in, two
# services over four hosts in three zones, declarations, a key, requests, a key
# withdrawn on a live connection, and a planned stop under load. Exits 0 only if
# every step held.
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

token=demo-operator
token_hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
export CATKINRUN_TOKEN=$token CATKINRUN_OPERATOR=http://127.0.1.1:7004

settings() { # HOST ZONE IP
  cat >"$bin/$1.yaml" <<YAML
host: $1
zone: $2
platform: http://127.0.0.1:7100
fleet-key: demo-fleet-key
listen:
  caller: $3:7001
  local: $3:7002
  peer: $3:7003
  operator: $3:7004
operators:
  - {name: demo, role: editor, token-sha256: $token_hash}
log:
  debug: [router]
YAML
}

start_daemon() { # HOST
  "$bin/catkinrun" daemon --settings "$bin/$1.yaml" 2>"$bin/$1.log" &
  pids+=($!)
}

start_server() { # SERVICE IP [FLAG ...]
  local service=$1 ip=$2
  shift 2
  "$bin/catkinrun-standin" server --service "$service" --listen "$ip:7005" --daemon "http://$ip:7002" --slots 50 --work 5ms "$@" &
  pids+=($!)
}

go build -o "$bin/" ./cmd/... || exit 1
"$bin/catkinrun-standin" platform --listen 127.0.0.1:7100 &
pids+=($!)
settings bakery-1 zone-a 127.0.1.1
settings bakery-2 zone-b 127.0.1.2
settings bakery-3 zone-c 127.0.1.3
settings bakery-4 zone-a 127.0.1.4
for host in bakery-1 bakery-2 bakery-3; do start_daemon "$host"; done
start_daemon bakery-4
leaving=$!
start_server recipes 127.0.1.1
start_server recipes 127.0.1.2
start_server orders 127.0.1.3 --call '/orders=GET /stock'
start_server orders 127.0.1.4 --call '/orders=GET /stock'

ready=0
for _ in $(seq 1 100); do
  ready=$("$bin/catkinrun" status 2>/dev/null | grep -c ' true ')
  [ "$ready" -eq 4 ] && break
  sleep 0.2
done
step "hosts join" "$([ "$ready" -eq 4 ]; echo $?)" "$ready of 4 hosts are ready"

out=$("$bin/catkinrun" apply -f examples/horno-sol --wait 2>&1)
step "declarations come into force" $? "$(tail -n 1 <<<"$out")"
"$bin/catkinrun" apply -f examples/corrib >/dev/null 2>&1
step "a second set of declarations" $? "corrib"
key=$("$bin/catkinrun" key issue luna-phone --team panaderia-luna)
step "key issued" $? "shown once"
sleep 1

urls=http://127.0.1.1:7001,http://127.0.1.2:7001,http://127.0.1.3:7001
for _ in $(seq 1 30); do # the teams' brokers begin once earlier epochs are over
  out=$("$bin/catkinrun-standin" load --name warm --urls $urls --method POST --path /orders --key "$key" --rate 20 --duration 1s)
  grep -q 'sent 20 answered 20 ' <<<"$out" && break
done
out=$("$bin/catkinrun-standin" load --name order --urls $urls --method POST --path /orders --key "$key" --rate 100 --duration 2s --dedupe)
step "orders, each with a call to another service" "$(grep -q 'sent 200 answered 200 ' <<<"$out"; echo $?)" "$out"
out=$("$bin/catkinrun-standin" load --name card --urls $urls --path /recipes/pan --rate 50 --duration 1s)
step "open route without a key" "$(grep -q 'sent 50 answered 50 ' <<<"$out"; echo $?)" "$out"
out=$("$bin/catkinrun-standin" load --name none --urls $urls --method POST --path /orders --rate 10 --duration 1s)
step "no key, no run" "$(grep -q 'answered 0 .*key:10' <<<"$out"; echo $?)" "$out"

"$bin/catkinrun-standin" load --name stop --urls $urls --method POST --path /orders --key "$key" --rate 100 --duration 6s --dedupe >"$bin/stop.out" &
load=$!
sleep 1
kill -TERM "$leaving"
wait "$leaving"
status=$?
wait "$load"
out=$(cat "$bin/stop.out")
step "planned stop exits cleanly" "$status" "bakery-4"
step "planned stop under load cuts no request" "$(grep -q 'sent 600 answered 600 lost 0' <<<"$out"; echo $?)" "$out"

"$bin/catkinrun-standin" load --name withdrawn --urls http://127.0.1.2:7001 --path /stock --key "$key" --rate 50 --duration 8s >"$bin/key.out" &
load=$!
sleep 1
"$bin/catkinrun" key withdraw luna-phone --wait >"$bin/withdraw.out"
step "key withdrawn" $? "$(tail -n 1 "$bin/withdraw.out")"
wait "$load"
out=$(cat "$bin/key.out")
answered=$(sed -n 's/.*answered \([0-9]*\) .*/\1/p' <<<"$out")
step "withdrawn key stops on open connections within 5 s" "$([ "${answered:-400}" -lt 300 ] && grep -q 'key:' <<<"$out"; echo $?)" "$out"
keys=0
for ip in 127.0.1.1 127.0.1.2 127.0.1.3; do
  seen=$("$bin/catkinrun-standin" report --server "http://$ip:7005" | sed -n 's/.*keys-seen \([0-9]*\).*/\1/p')
  keys=$((keys + ${seen:-1}))
done
step "no server saw a key" "$keys" "$keys seen"
lines=$(cat "$bin"/*.log | grep -c 'router: host chosen')
step "each routing decision has a log line" "$([ "$lines" -gt 800 ]; echo $?)" "$lines lines"
leaks=$(cat "$bin"/*.log | grep -cF "$key")
step "no log has the key" "$leaks" "$leaks lines"
exit "$((failures > 0))"
