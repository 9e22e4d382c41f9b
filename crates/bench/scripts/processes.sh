#!/usr/bin/env bash
# Measures the latency that an entry adds and its throughput of streamed tokens, with real processes
# on loopback: three keepers, one entry, one stand-in engine that sends pieces without delay and one
# stand-in plain service.
# Usage: crates/bench/scripts/processes.sh (after `cargo build --release --workspace`)
set -euo pipefail
cd "$(dirname "$0")/../../.."
work=$(mktemp -d)
bin=target/release
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

port=${FIRST_PORT:-18600}
voters="{1: '127.0.0.1:$port', 2: '127.0.0.1:$((port + 1))', 3: '127.0.0.1:$((port + 2))'}"
for replica in 1 2 3; do
  cat > "$work/keeper-$replica.yaml" <<YAML
replica: $replica
rpc: 127.0.0.1:$((port + replica - 1))
http: 127.0.0.1:$((port + 9 + replica))
data: $work/keeper-$replica
first_voters: $voters
log_level: warn
YAML
  "$bin/chestnutloft-keeper" --settings "$work/keeper-$replica.yaml" init
  "$bin/chestnutloft-keeper" --settings "$work/keeper-$replica.yaml" &
  pids+=($!)
done
keepers=(--keeper "127.0.0.1:$((port + 10))" --keeper "127.0.0.1:$((port + 11))" --keeper "127.0.0.1:$((port + 12))")
sleep 2

cp -r examples/kitamiya "$work/sheet"
python3 - "$work/sheet/workspaces.csv" <<'PY'
import sys
path = sys.argv[1]
lines = open(path).read().splitlines()
open(path, "w").write("\n".join([lines[0]] + ["demo,100000,100000,10000,1,"] + [l for l in lines[1:] if not l.startswith("demo")]) + "\n")
PY

cat > "$work/entry.yaml" <<YAML
entry: entry-1
domain: sapporo
http: 127.0.0.1:$((port + 20))
rpc: 127.0.0.1:$((port + 21))
keepers: ['127.0.0.1:$port', '127.0.0.1:$((port + 1))', '127.0.0.1:$((port + 2))']
log_level: error
threads: ${ENTRY_THREADS:-2}
YAML
"$bin/chestnutloft-entry" --settings "$work/entry.yaml" &
entry_pid=$!
pids+=($entry_pid)

cat > "$work/engine.yaml" <<YAML
role: engine
http: 127.0.0.1:$((port + 30))
endpoint: engine-1
service: assistant-llm
domain: sapporo
entries: ['127.0.0.1:$((port + 20))']
engine: {quality: {'swift@3': 0.9, 'swift@4': 0.9}, slots: 4000, read_token_us: 0, piece_us: 0, pieces: 4}
YAML
"$bin/chestnutloft-standin" --settings "$work/engine.yaml" > /dev/null &
pids+=($!)
cat > "$work/plain.yaml" <<YAML
role: plain
http: 127.0.0.1:$((port + 31))
endpoint: orders-1
service: order-svc
domain: sapporo
entries: ['127.0.0.1:$((port + 20))']
engine: {slots: 4000}
YAML
"$bin/chestnutloft-standin" --settings "$work/plain.yaml" > /dev/null &
pids+=($!)
sleep 1
"$bin/chestnutloft" "${keepers[@]}" plan apply "$work/sheet"
sleep 7

engine=127.0.0.1:$((port + 30))
plain=127.0.0.1:$((port + 31))
entry=127.0.0.1:$((port + 20))
cpu() { awk '{print ($14 + $15) * 10}' "/proc/$1/stat"; }
run() {
  echo "-- $1"
  shift
  "$bin/chestnutloft-load" "$@" || true
}
# The first requests warm the endpoints up.
"$bin/chestnutloft-load" --entry "$entry" --model swift@3 --requests 3000 --connections 16 > /dev/null || true
"$bin/chestnutloft-load" --entry "$entry" --path /svc/order-svc/orders/1 --requests 3000 --connections 16 > /dev/null || true
run "plain lookups, direct, 1,000/s" --entry "$plain" --path /orders/1 --rate 1000 --requests 10000 --connections 32
before=$(cpu "$entry_pid")
run "plain lookups, through the entry, 1,000/s" --entry "$entry" --path /svc/order-svc/orders/1 --rate 1000 --requests 10000 --connections 32
echo "entry CPU for 10,000 lookups: $(( $(cpu "$entry_pid") - before )) ms"
run "small answers, direct, 1,000/s" --entry "$engine" --model swift@3 --rate 1000 --requests 10000 --connections 32 --pieces 4
before=$(cpu "$entry_pid")
keepers_before=()
for i in 0 1 2; do keepers_before+=("$(cpu "${pids[$i]}")"); done
run "small answers, through the entry, 1,000/s" --entry "$entry" --model swift@3 --rate 1000 --requests 10000 --connections 32 --pieces 4
echo "entry CPU for 10,000 answers: $(( $(cpu "$entry_pid") - before )) ms"
for i in 0 1 2; do echo "keeper $((i + 1)) CPU: $(( $(cpu "${pids[$i]}") - keepers_before[i] )) ms"; done
before=$(cpu "$entry_pid")
run "long answers, through the entry, unpaced" --entry "$entry" --model swift@3 --requests 400 --connections 4 --pieces 4000
echo "entry CPU for 1,600,000 tokens: $(( $(cpu "$entry_pid") - before )) ms"
"$bin/chestnutloft" "${keepers[@]}" status | head -8
grep -h VmRSS "/proc/$entry_pid/status" "/proc/${pids[0]}/status"
