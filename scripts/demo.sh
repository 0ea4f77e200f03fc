#!/usr/bin/env bash
# Shows the complete path: stand-ins, two routers, a declaration made from a sample
# asset register, a streamed model answer through three stages, a booking call.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
install_packages
build_preset release

bin="$root/build/packages"
work="$(mktemp -d)"
pids=()

# Ends the processes that this script started, by id.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  local log="$work/$1.log"
  shift
  "$@" > "$log" 2>&1 &
  pids+=($!)
}

wait_for() {
  local tries=200
  until curl -fsS -o /dev/null "$1" 2>/dev/null; do
    tries=$((tries - 1))
    if [ "$tries" -eq 0 ]; then
      echo "no answer from $1" >&2
      cat "$work"/router-*.log >&2
      return 1
    fi
    sleep 0.05
  done
}

router_settings() {
  local number="$1"
  cat <<TOML
name = "router-$number"
data_centre = "fukuoka"
[callers]
address = "127.0.0.1:710$number"
[operators]
address = "127.0.0.1:711$number"
[peers]
address = "127.0.0.1:712$number"
seeds = ["127.0.0.1:7121", "127.0.0.1:7122"]
[[peers.keys]]
id = 1
secret = "demo"
[platform]
address = "127.0.0.1:7200"
[access]
token_file = "$work/operator-token"
TOML
}

echo "operators.demo" > "$work/operator-token"
start platform "$bin/mimosadale-standin" --kind platform --listen 127.0.0.1:7200
tail -n +2 examples/register.csv |
  while IFS=, read -r name _ _ address kind _ _ _ first end service _; do
    if [ "$kind" = engine ]; then
      echo "$name $address engine --first-layer $first --end-layer $end"
    else
      echo "$service $address service"
    fi
  done > "$work/standins"
while read -r name address kind rest; do
  # shellcheck disable=SC2086
  start "standin-$address" "$bin/mimosadale-standin" --kind "$kind" \
    --name "$name" --listen "$address" $rest
done < "$work/standins"
for number in 1 2; do
  router_settings "$number" > "$work/router-$number.toml"
  start "router-$number" "$bin/mimosadale" --config "$work/router-$number.toml"
done
wait_for http://127.0.0.1:7111/healthz
wait_for http://127.0.0.1:7112/healthz

ctl() {
  "$bin/mimosadalectl" --platform 127.0.0.1:7200 \
    --router 127.0.0.1:7111 --router 127.0.0.1:7112 \
    --token-file "$work/operator-token" "$@"
}
echo "== check, plan, apply"
ctl check -d examples/hinokage.toml
ctl plan -d examples/hinokage.toml | sed -n 1,3p
ctl apply -d examples/hinokage.toml --author demo --reason "first declaration"
wait_for http://127.0.0.1:7101/readyz
wait_for http://127.0.0.1:7102/readyz

auth="Authorization: Bearer counter.demo"
prompt="How do I fit the rear-facing seat for a newborn?"
tokens=24
echo "== a model request, streamed by router-1"
curl -fsSN http://127.0.0.1:7101/v1/chat/completions -H "$auth" \
  -D "$work/head" -d "{\"model\": \"guide\", \"stream\": true, \"seed\": 7,
    \"max_tokens\": $tokens,
    \"messages\": [{\"role\": \"user\", \"content\": \"$prompt\"}]}" \
  > "$work/stream"
answer="$(sed -n 's/.*"content":"\([^"]*\)".*/\1/p' "$work/stream" | tr -d '\n')"
expected="$("$bin/mimosadale-standin" --kind reference --end-layer 24 \
  --tokens "$tokens" --seed 7 --prompt "user: $prompt
assistant:")"
echo "answer:$answer"
tail -n 2 "$work/stream"
if [ "$answer" != "$expected" ]; then
  echo "the answer differs from the one computed layer by layer:$expected" >&2
  exit 1
fi
while read -r _ address kind _; do
  if [ "$kind" = engine ]; then
    report="$(curl -fsS "http://$address/standin/report")"
    echo "engine $address $report"
    grep -q '"violations":\[\]' <<< "$report"
  fi
done < "$work/standins"
request="$(sed -n 's/^Mimosadale-Request: //Ip' "$work/head" | tr -d '\r')"
ctl explain "$request"

echo "== a booking, sent twice with one key"
for number in 1 2; do
  curl -fsS "http://127.0.0.1:710$number/v1/services/booking/deposits" \
    -H "$auth" -H "Idempotency-Key: family-17" -D "$work/head" \
    -d '{"seat": 4, "deposit": 3000}'
  echo
  request="$(sed -n 's/^Mimosadale-Request: //Ip' "$work/head" | tr -d '\r')"
  ctl explain "$request"
  sleep 0.3 # the answer is recorded within the write window
done
executed=0
while read -r _ address kind _; do
  if [ "$kind" = service ]; then
    total="$(curl -fsS "http://$address/standin/executions" |
      sed 's/.*"total":\([0-9]*\).*/\1/')"
    executed=$((executed + total))
  fi
done < "$work/standins"
echo "executions of the booking: $executed"
[ "$executed" -eq 1 ]

echo "== status"
ctl status
echo "== routers drain on SIGTERM"
kill "${pids[-1]}" "${pids[-2]}"
wait "${pids[-1]}"
wait "${pids[-2]}"
echo "demo passed"
