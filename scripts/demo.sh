#!/usr/bin/env bash
# Builds the binaries and runs the whole system on loopback: three control members, two entry VMs and four upstreams. It
# applies an inventory, sends searches, a booking and its resend, and then serves a route table with a router and four
# more upstreams. All processes are stopped at exit.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

go build -o "$work/" ./cmd/...
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }

port=${WMUX_DEMO_PORT:-17100}
control=127.0.0.1:$port,127.0.0.1:$((port + 1)),127.0.0.1:$((port + 2))
ctl() { "$work/wmuxctl" --control "$control" "$@"; }
n=0
for domain in halle-a halle-b kuehlhaus; do
  n=$((n + 1))
  printf 'id = "control-%s"\nfailure_domain = "%s"\nrpc_address = "127.0.0.1:%s"\ndata_dir = "%s/control-%s"\ndirectory_address = "127.0.0.1:%s"\n' \
    "$n" "$domain" "$((port + n - 1))" "$work" "$n" "$((port + 50 + n))" >"$work/control-$n.toml"
  [ "$n" = 1 ] && "$work/wmux-control" bootstrap --settings "$work/control-1.toml"
  start "$work/wmux-control" run --settings "$work/control-$n.toml"
done
echo "== the first control member adds the other two"
for n in 2 3; do ctl control add "control-$n" "127.0.0.1:$((port + n - 1))"; done
entries=()
for n in 1 2; do
  printf 'id = "entry-%s"\nfailure_domain = "halle-a"\ncaller_address = "127.0.0.1:%s"\nrpc_address = "127.0.0.1:%s"\ncontrol_addresses = ["%s"]\nlame_duck_ms = 200\n' \
    "$n" "$((port + 10 + n))" "$((port + 20 + n))" "${control//,/\", \"}" >"$work/entry-$n.toml"
  start "$work/wmux-entry" --settings "$work/entry-$n.toml"
  entries+=("http://127.0.0.1:$((port + 10 + n))")
done
all=$(IFS=,; echo "${entries[*]}")
echo "== the operator previews the changes of the inventory, and applies it"
ctl apply --file examples/inventory.toml --base 0 --dry-run
ctl apply --file examples/inventory.toml --base 0 --change demo-1 --wait
n=0
for upstream in clerk-01:0:halle-a clerk-01:1:halle-b clerk-02:0:halle-a settlement:0:kuehlhaus; do
  IFS=: read -r service shard domain <<<"$upstream"
  shards=1; [ "$service" = clerk-01 ] && shards=2
  n=$((n + 1))
  start "$work/wmux-upstream" --name "$service-$shard" --service "$service" --shard "$shard" --shards "$shards" \
    --failure-domain "$domain" --address "127.0.0.1:$((port + 30 + n))" --entry "$all"
done
for _ in $(seq 100); do
  [ "$(ctl upstreams 2>/dev/null | grep -c ready)" = 4 ] && break
  sleep 0.1
done
sleep 1.2
echo "== the upstreams have registered"
ctl upstreams
ctl status
echo "== a search over all shards of clerk-*"
curl -sS -H 'Content-Type: application/json' -d '{"services":["clerk-*"],"query":"trolley 4711"}' "${entries[0]}/v1/search"; echo
echo "== a booking, and its resend through the other entry VM"
for url in "${entries[@]}"; do
  curl -sS -H 'Content-Type: application/json' -d '{"service":"settlement","key":"demo-booking","payload":{"lot":17}}' "$url/v1/bookings"; echo
done
ctl bookings show demo-booking
echo "== 100 searches per second for 3 s"
"$work/wmux-load" search --target "$all" --services 'clerk-*' --rate 100 --duration 3s
sleep 2
echo "== error budget burn rates"
ctl burn --entry "$all"
echo "== routes: the operator applies a route table, upstreams register with the control members"
ctl routes apply --file examples/routes.toml
directories=127.0.0.1:$((port + 51)),127.0.0.1:$((port + 52)),127.0.0.1:$((port + 53))
printf 'id = "router-1"\nfailure_domain = "halle-a"\ncaller_address = "127.0.0.1:%s"\nhealth_address = "127.0.0.1:%s"\nseeds = ["127.0.0.1:%s"]\ncontrol_port = %s\nlame_duck_ms = 200\n' \
  "$((port + 60))" "$((port + 61))" "$port" "$port" >"$work/router-1.toml"
start "$work/wmux-router" run --settings "$work/router-1.toml"
n=0
for service in clerk-01 clerk-02 pickup pickup-next; do
  n=$((n + 1))
  start "$work/wmux-upstream" routes --id "route-$n" --service "$service" --failure-domain halle-a \
    --address "127.0.0.1:$((port + 70 + n))" --directory "$directories"
done
for _ in $(seq 100); do
  [ "$(ctl routes upstreams 2>/dev/null | grep -c ready)" = 4 ] && break
  sleep 0.1
done
sleep 1
ctl routes upstreams
route() { curl -sS -i -H 'Host: search.example' -H "Wisteriamux-Request-Id: $1" -H 'Wisteriamux-Deadline-Ms: 2000' "${@:3}" "http://127.0.0.1:$((port + 60))$2" | tr -d '\r'; echo; }
echo "== a search over two shards, a forwarded read, and a non-idempotent request, which runs at most once"
route demo-1 /lots/4711
route demo-2 /slips/17
route demo-3 /handover/17 -X POST -d 'lot 17'
