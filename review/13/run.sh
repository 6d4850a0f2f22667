#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec python3 -B review/13/case.py
