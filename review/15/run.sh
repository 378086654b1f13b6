#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-3.sh" "$(dirname "$0")" drain-beside-wave
