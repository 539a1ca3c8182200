#!/usr/bin/env bash
# Installs what scripts/packages.txt lists and the machine lacks.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
    [[ -z "$package" || "$package" == \#* ]] && continue
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' && continue
    missing+=("$package")
done < scripts/packages.txt

[[ ${#missing[@]} -eq 0 ]] && exit 0
echo "installing: ${missing[*]}"
sudo=""
[[ $(id -u) -ne 0 ]] && sudo="sudo"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
