#!/usr/bin/env bash
# Runs both deployments on loopback addresses, each with stand-ins and three entry
# hosts: applies the document of each service, sends requests to both, shows
# timelines, runs a load and stops all processes gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

# await_line FILE TEXT waits up to about 10 s until a line of the file contains the
# text.
await_line() {
  for _ in $(seq 200); do
    if grep -q -- "$2" "$1" 2>/dev/null; then return; fi
    sleep 0.05
  done
  echo "demo: no line with '$2' in $1" >&2
  cat "$1" >&2
  exit 1
}

# await_ready ADDRESS waits until an entry host reports that it is ready.
await_ready() {
  for _ in $(seq 200); do
    if bin/standins call --url "http://$1/ready" 2>/dev/null | grep -q ' 200 '; then return; fi
    sleep 0.05
  done
  echo "demo: entry host at $1 is not ready" >&2
  exit 1
}

# start_deployment NAME NET starts the stand-ins of a deployment on 127.NET.0.0/16,
# applies its documents and starts three entry hosts.
start_deployment() {
  local name=$1 net=$2
  mkdir "$dir/$name"
  bin/standins layout --deployment "$name" --dir "$dir/$name" --net "$net" --entries 3
  bin/standins run --settings "$dir/$name/standins.ini" >"$dir/$name/standins.log" 2>&1 &
  standins[$net]=$!
  pids+=($!)
  await_line "$dir/$name/standins.log" "components listen"
  for document in examples/"$name"/*.ini; do
    bin/nutmegshift config apply --store "127.$net.0.1:7000" --service "$(basename "$document" .ini)" \
      --base 0 --author demo --team "$(sed -n "s/^team = //p" "$document")" --file "$document"
  done
  for i in 1 2 3; do
    bin/nutmegshift entry --settings "$dir/$name/entry-$i.ini" >"$dir/$name/entry-$i.log" 2>&1 &
    entries+=($!)
    pids+=($!)
  done
  for i in 1 2 3; do await_ready "127.$net.1.$i:8081"; done
}

# call NET ENTRY ORGANISATION PATH BODY sends one request, prints the response and
# sets last_id to the request ID.
call() {
  local out
  out=$(bin/standins call --method POST --url "http://127.$1.1.$2:8080$4" --organisation "$3" --body "$5")
  last_id=${out%% *}
  echo "POST $4"
  echo "  ${out:0:400}"
}

entries=()
declare -A standins
start_deployment franchise 10
start_deployment roues 20

echo "== Franchise Office"
call 10 1 lakeshore-creamery /nutmeg-pool/v1/chat/completions '{"messages":[{"role":"user","content":"Which class takes a washed rind of 14 months?"}]}'
chat=$last_id
call 10 2 rindworks /nutmeg-pool/v1/chat/completions '{"stream":true,"messages":[{"role":"user","content":"Draft the dossier for wheel 12."}]}'
call 10 1 lakeshore-creamery /entries-api/entries '{"submission":"entry-78","wheel":"12"}'
entry=$last_id
call 10 3 lakeshore-creamery /entries-api/entries '{"submission":"entry-78","wheel":"12"}'
echo "== Roues Armor"
call 20 2 atelier-armorique /atelier-llm/v1/chat/completions '{"messages":[{"role":"user","content":"Flange wear of 4 mm on wheelset 9?"}]}'
call 20 1 atelier-armorique /planning/reservations '{"submission":"slot-5","lathe":"2"}'
echo "== Time line of request $chat"
bin/nutmegshift timeline --hosts 127.10.0.1:7000 --request "$chat"
echo "== Time line of request $entry, whose claim another host may own"
bin/nutmegshift timeline --hosts 127.10.0.1:7000 --request "$entry"
echo "== Load"
bin/nutmegshift load --hosts 127.10.0.1:7000 --callers 127.10.1.1:8080,127.10.1.2:8080,127.10.1.3:8080 --service nutmeg-pool --rate 20 --duration 3s --seed 1
bin/nutmegshift load --hosts 127.20.0.1:7000 --callers 127.20.1.1:8080,127.20.1.2:8080,127.20.1.3:8080 --service atelier-llm --rate 20 --duration 3s --seed 1
echo "== Stop"
for pid in "${entries[@]}"; do kill -TERM "$pid"; done
for pid in "${entries[@]}"; do wait "$pid"; done
for pid in "${standins[@]}"; do kill -TERM "$pid"; done
for pid in "${standins[@]}"; do wait "$pid"; done
pids=()
grep -h 'entry: stopped' "$dir"/*/entry-*.log
echo "demo: every process stopped gracefully"
