#!/usr/bin/env bash
exec bash "$(dirname "$0")/../stage-3/run-case.sh" drill_rollout "$(cd "$(dirname "$0")" && pwd)"
