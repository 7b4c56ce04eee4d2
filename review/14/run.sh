#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-3/run.sh" 14 hidden-replicas
