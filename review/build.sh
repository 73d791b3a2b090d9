#!/usr/bin/env bash
# Builds the program that runs the scripted cases: it contains the stand-ins for clients, servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/cases
