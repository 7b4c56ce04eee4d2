#!/usr/bin/env bash
# Runs the load balancer with fake endpoints in three availability zones, takes one zone out under load and
# returns it, and checks the records of the fakes. Exits 1 if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
bin=$PWD/build/orioletrail
fakes=$PWD/build/orioletrail-fakes
dir=$(mktemp -d)
pids=()
stop() {
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap stop EXIT
run() {
  "$@" >>"$dir/log" 2>&1 &
  pids+=($!)
}
ctl() { "$bin" ctl --entry 127.0.0.1:18081 "$@"; }

token=bakery-token
digest=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
objects='"config/account/bakery": {"tokenDigest": "'$digest'", "maxInFlight": 500},
  "config/service/labels": {"kind": "model"}, "config/service/print": {"kind": "plain"},
  "config/rule/print-lookup": {"service": "print", "method": "GET", "idempotent": true},
  "config/rule/print-order": {"service": "print", "method": "POST", "pathPrefix": "/orders", "requireKey": true}'

run "$fakes" platform --name platform --listen 127.0.0.1:17000 --record "$dir/platform.record"
entries=()
for zone in 1 2 3; do
  base=$((18070 + zone * 10))
  entries+=("127.0.0.1:$base")
  objects+=', "config/zone/riga-'$zone'": {"out": false},
  "config/instance/entry-'$zone'": {"zone": "riga-'$zone'", "gossip": "127.0.0.1:'$((base + 2))'"}'
  run "$bin" entry --name "entry-$zone" --zone "riga-$zone" --listen "127.0.0.1:$base" --admin "127.0.0.1:$((base + 1))" \
    --gossip "127.0.0.1:$((base + 2))" --platform 127.0.0.1:17000 --log-level warning
  for replica in 1 2 3 4 5; do
    port=$((19000 + zone * 100 + replica * 10))
    if ((replica < 5)); then
      service=labels
      run "$fakes" engine --name "riga-$zone-labels-$replica" --listen "127.0.0.1:$port" --record "$dir/$port.record" --cold-capacity 4 --warm-capacity 16
    else
      service=print
      run "$fakes" service --name "riga-$zone-print-$replica" --listen "127.0.0.1:$port" --record "$dir/$port.record"
    fi
    name="riga-$zone-$service-$replica"
    objects+=', "config/endpoint/'$name'": {"service": "'$service'", "zone": "riga-'$zone'", "sidecar": "127.0.0.1:'$((port + 1))'"}'
    run "$bin" sidecar --name "$name" --service "$service" --zone "riga-$zone" --listen "127.0.0.1:$((port + 1))" --admin "127.0.0.1:$((port + 2))" \
      --endpoint "127.0.0.1:$port" --platform 127.0.0.1:17000 --cold-limit 4 --warm-limit 16 --log-level warning
  done
done

ranks=()
for rank in 0 1 2 3; do ranks+=(--ranks "127.0.0.1:$((19801 + rank * 10))"); done
for rank in 0 1 2 3; do
  port=$((19800 + rank * 10))
  run "$fakes" rank --name "rank-$rank" --listen "127.0.0.1:$port" --record "$dir/$port.record"
  run "$bin" rank --group experts --rank "$rank" --listen "127.0.0.1:$((port + 1))" --admin "127.0.0.1:$((port + 2))" \
    --engine "127.0.0.1:$port" --platform 127.0.0.1:17000 --slots-per-rank 20 "${ranks[@]}" --log-level warning
done
objects+=', "config/group/experts": {"frozen": false}'

echo "{\"objects\": {$objects}}" >"$dir/objects.json"
"$bin" check-config "$dir/objects.json"
for _ in $(seq 50); do
  ctl apply "$dir/objects.json" >"$dir/apply" 2>&1 && break
  sleep 0.1
done
ready() { for port in 18081 18091 18101; do curl -sf "127.0.0.1:$port/readyz" >/dev/null || return 1; done; }
for _ in $(seq 50); do ready && break || sleep 0.1; done
sleep 1

echo "sending requests for 12 s; zone riga-2 is taken out after 4 s and returned after 8 s"
"$fakes" caller $(printf -- '--entry %s ' "${entries[@]}") --token "$token" --told "$dir/told" --callers 24 --duration-ms 12000 --seed 7 &
callers=$!
sleep 4
ctl take zone riga-2 out
out=$(date +%s%3N)
sleep 4
back=$(date +%s%3N)
ctl return zone riga-2
wait "$callers"
ctl show zones
ctl show config version
ctl show maps
"$fakes" judge --told "$dir/told" $(printf -- '--record %s ' "$dir"/*.record) --closed "riga-2:$((out + 3000)):$back"
