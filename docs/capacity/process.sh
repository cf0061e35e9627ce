#!/usr/bin/env bash
# Measures entry processes on loopback against stand-ins: resident memory, CPU
# time, bytes read and written (system calls, so without TCP/IP headers) and open
# descriptors, as the mean of up to ten processes over SECONDS seconds.
#
# usage: docs/capacity/process.sh UPSTREAMS POOLS ENTRIES [REQUESTS_A_SECOND [SECONDS]]
#
# Run `make build` first. POOLS engine pools share the upstreams evenly.
# NET=<n> selects the second number of the loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/../.."
upstreams=$1 pools=$2 entries=$3 rate=${4:-0} seconds=${5:-20} net=${NET:-90}
dir=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

domains=$(( entries < 19 ? 3 : 19 ))
{
  printf '[platform]\naddress = 127.%d.0.1:7000\n' "$net"
  for ((i = 0; i < entries; i++)); do
    printf '\n[entry host-%d]\ndomain = domain-%d\nregion = region-%d\npeer = 127.%d.%d.%d:8082\noperator = 127.%d.%d.%d:8081\n' \
      "$i" $((i % domains)) $((i % domains / 3)) "$net" $((100 + i / 200)) $((i % 200 + 1)) "$net" $((100 + i / 200)) $((i % 200 + 1))
  done
  for ((i = 0; i < upstreams; i++)); do
    printf '\n[upstream engine-%04d]\nkind = engine\nservice = nutmeg-pool\npool = engines-%d\naddress = 127.%d.%d.%d:9000\ndomain = domain-%d\nregion = region-%d\nslots = 8\nqueue = 16\ntokens = 24\nrate = 200\nfirst = 60ms\ncache = 64\nprefix = 256\nfactor = 0.5\nlag = 200ms\n' \
      "$i" $((i % pools)) "$net" $((2 + i / 200)) $((i % 200 + 1)) $((i % domains)) $((i % domains / 3))
  done
} >"$dir/standins.ini"
bin/standins run --settings "$dir/standins.ini" >"$dir/standins.log" 2>&1 &
pids+=($!)
for _ in $(seq 200); do grep -q 'components listen' "$dir/standins.log" && break; sleep 0.1; done
for ((p = 0; p < (pools < 9 ? pools : 9); p++)); do
  printf '[service]\nteam = fair-assist\nkind = pipeline\ndeadline = 12s\nweight = 0.9\ncrossing = 0.1\nmodel = dossier-8b\ntokens = 512\n\n[shares]\nothers = 1\n\n[stage generate]\nkind = generate\npool = nutmeg-pool/engines-%d\ntimeout = 10s\ncost = 4\n\n[route chat]\nmethod = POST\npath = /v1/chat/completions\nrepeatable = true\norganisation = header:X-Organisation\nbody = 256KiB\n' "$p" >"$dir/pipeline-$p.ini"
  bin/nutmegshift config apply --store "127.$net.0.1:7000" --service "pipeline-$p" --base 0 --author capacity --team fair-assist --file "$dir/pipeline-$p.ini" >/dev/null
done
hosts=()
callers=
for ((i = 0; i < entries; i++)); do
  ip=127.$net.$((100 + i / 200)).$((i % 200 + 1))
  printf '[entry]\nhost = host-%d\ndomain = domain-%d\nregion = region-%d\ncallers = %s:8080\noperator = %s:8081\npeers = %s:8082\n\n[platform]\nstore = 127.%d.0.1:7000\nhosts = 127.%d.0.1:7000\n' \
    "$i" $((i % domains)) $((i % domains / 3)) "$ip" "$ip" "$ip" "$net" "$net" >"$dir/entry-$i.ini"
  bin/nutmegshift entry --settings "$dir/entry-$i.ini" >"$dir/entry-$i.log" 2>&1 &
  pids+=($!)
  hosts+=($!)
  callers+=${callers:+,}$ip:8080
done
sleep 8
total=$((${#hosts[@]} < 10 ? ${#hosts[@]} : 10))
sample() {
  for pid in "${hosts[@]:0:$total}"; do
    awk '{ printf "%d ", $14 + $15 }' "/proc/$pid/stat"
    awk '/rchar|wchar|syscr|syscw/ { printf "%d ", $2 }' "/proc/$pid/io"
    echo
  done | awk '{ for (i = 1; i <= 5; i++) s[i] += $i } END { print s[1], s[2], s[3] }'
}
if ((rate > 0)); then
  bin/nutmegshift load --hosts "127.$net.0.1:7000" --callers "$callers" --service pipeline-0 --rate "$rate" --duration "$((seconds + 2))s" --seed 1 >"$dir/load.log" 2>&1 &
  loader=$!
  sleep 1
fi
counts() { bin/standins call --url "http://127.$net.0.1:7000/counts"; }
counts_a=$(counts)
read -r cpu_a in_a out_a <<<"$(sample)"
sleep "$seconds"
counts_b=$(counts)
read -r cpu_b in_b out_b <<<"$(sample)"
rss=0 fds=0
for pid in "${hosts[@]:0:$total}"; do
  rss=$((rss + $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")))
  fds=$((fds + $(ls "/proc/$pid/fd" | wc -l)))
done
awk -v u="$upstreams" -v p="$pools" -v e="$entries" -v r="$rate" -v n="$total" -v s="$seconds" -v rss="$rss" -v fds="$fds" \
  -v cpu=$((cpu_b - cpu_a)) -v in_=$((in_b - in_a)) -v out=$((out_b - out_a)) \
  'BEGIN { printf "upstreams=%d pools=%d entries=%d rate=%d: rss=%.1f MB cpu=%.2f %% read=%.2f KB/s written=%.2f KB/s fds=%.0f\n", u, p, e, r, rss / n / 1024, cpu / n / s, in_ / n / s / 1000, out / n / s / 1000, fds / n }'
printf '  calls of the platform before and after %s s: %s | %s\n' "$seconds" "$counts_a" "$counts_b"
if ((rate > 0)); then wait "$loader" || true; tail -n 3 "$dir/load.log"; fi
