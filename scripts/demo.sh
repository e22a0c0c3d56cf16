#!/usr/bin/env bash
# Starts one deployment on loopback as separate processes, replays a trace and prints the report.
# bronzequay itself starts no processes, so this script does.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=quispe entries=3 base=17000
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=$2; shift 2 ;;
    --entries) entries=$2; shift 2 ;;
    --base-port) base=$2; shift 2 ;;
    *) echo "usage: demo.sh [--deployment quispe|trentmere] [--entries N] [--base-port P]" >&2; exit 2 ;;
  esac
done
bin=.venv/bin
logs=.demo
mkdir -p "$logs"
pids=()
stop() { [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; }
trap stop EXIT
platform="http://127.0.0.1:$base"
start() { local name=$1; shift; "$@" >"$logs/$name.log" 2>&1 & pids+=($!); echo "$name: pid $!"; }
case "$deployment" in
  quispe) region=lima-sur centres=(almacen-a almacen-b patio-carga taller-norte) ;;
  trentmere) region=east-mids centres=(nottm-yard derby-store lboro-bay) ;;
  *) echo "demo.sh: unknown deployment $deployment" >&2; exit 2 ;;
esac
start platform "$bin/bronzequay-fake" platform --port "$base"
start workers "$bin/bronzequay-fake" workers --port $((base + 1)) --platform-url "$platform" --site "$deployment"
start executors "$bin/bronzequay-fake" executors --port $((base + 2)) --platform-url "$platform" --site "$deployment"
export BRONZEQUAY_OPERATOR_TOKENS="olga=operator:example-operator,rafael=reviewer:example-reviewer,ana=analyst:example-analyst"
urls=""
for i in $(seq 1 "$entries"); do
  port=$((base + 10 + i))
  centre=${centres[$(((i - 1) % ${#centres[@]}))]}
  "$bin/bronzequay-fake" list-entry --instance "entry-$i" --address "http://127.0.0.1:$port" --platform-url "$platform" --data-centre "$centre"
  start "entry-$i" "$bin/bronzequay-entry" --instance "entry-$i" --port "$port" --mesh-port $((base + 100 + i)) \
    --platform-url "$platform" --region "$region" --data-centre "$centre"
  urls="$urls${urls:+,}http://127.0.0.1:$port"
done
"$bin/python" -m bronzequay.demo.main --deployment "$deployment" --urls "$urls" \
  --trace examples/trace.jsonl --bundle "examples/$deployment.toml"
