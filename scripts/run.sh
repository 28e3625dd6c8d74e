#!/usr/bin/env bash
# Runs the Dakar example as separate processes on loopback, with stand-ins for the
# platform and the servers. Sends requests, slows one server down, prints the
# decisions with their reasons, and stops every process that it started.
# KEEP=1 keeps the processes running until the script gets SIGINT or SIGTERM.
# COMPARE=1 measures the latency through the proxy and directly at a server.
# MEDIAN is the median service time of the servers.
set -euo pipefail
cd "$(dirname "$0")/.."

fleet=examples/dakar/fleet.yaml
platform=127.20.0.1:7000
work=$(mktemp -d)
pids=()

end() {
  trap - EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap end EXIT
trap 'exit 1' INT TERM

# Each server in the file is a line with its VM and IP: {name: N, vm: V, address: "IP:PORT"}.
vms=$(sed -n 's/.*vm: \([^,]*\), address: "\([^:]*\):.*/\1 \2/p' "$fleet")
zone_of() { sed 's/^\(dkr-[a-z]*\)-.*/\1/' <<<"$1"; }
zones=()
ingresses=()
admins=()
servers=()
seed=""
while read -r vm ip; do
  zones+=(--zone "$vm=$(zone_of "$vm")")
  ingresses+=(--ingress "$ip:8080")
  admins+=("$ip:8091")
  servers+=(--server "$ip:8000")
  seed=${seed:-$ip:8090}
done <<<"$vms"

bin/slatewind check "$fleet"
bin/slatewind-standin serve --platform "$platform" --fleet "$fleet" --median "${MEDIAN:-8ms}" "${zones[@]}" &
pids+=($!)
while read -r vm ip; do
  cat >"$work/$vm.yaml" <<YAML
vm: $vm
data_centre: $(zone_of "$vm")
ingress_address: $ip:8080
peer_address: $ip:8090
admin_address: $ip:8091
platform_url: http://$platform
seed_peers: ["$seed"]
YAML
  bin/slatewindd --settings "$work/$vm.yaml" >"$work/$vm.log" 2>&1 &
  pids+=($!)
done <<<"$vms"
bin/slatewind ready "${admins[@]}"

echo "== sending requests for 10 s; after 4 s vitrine-3 becomes 8 times slower"
WORKSPACE_KEY=dakar-sellers-demo bin/slatewind-standin drive "${ingresses[@]}" "${servers[@]}" --rate 300 --for 10s \
  --target GET:/:repeatable:0.45 --target GET:/search:repeatable:0.35 \
  --target POST:/boosts:once:0.1 --target POST:/listings:once:0.1 >"$work/drive.out" &
drive=$!
sleep 4
bin/slatewind-standin control "http://127.20.3.1:8000/control/fault?kind=slow&factor=8"
wait "$drive"

echo "== decisions of one ingress about vitrine-3"
bin/slatewind explain "${admins[0]}" --server vitrine-3
echo "== state of the same process"
bin/slatewind state "${admins[0]}" | sed -n 1,14p
echo "== settings in force"
bin/slatewind settings "${admins[@]}"
if [ -n "${COMPARE:-}" ]; then
  echo "== latency of a request through the proxy and directly at a server"
  bin/slatewind-standin compare --through 127.20.1.1:8080 --direct 127.20.1.1:8000
fi
if [ -n "${KEEP:-}" ]; then
  echo "== the processes keep running; stop them with Ctrl-C"
  echo "callers:   ${ingresses[*]//--ingress/}"
  echo "operators: ${admins[*]}"
  trap 'exit 0' INT TERM
  wait "${pids[0]}"
fi
counts=$(cat "$work/drive.out")
end
echo "$counts"
