#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
source "$(dirname "$0")/../run-case.bash" unread-configuration
