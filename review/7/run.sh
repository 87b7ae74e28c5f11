#!/bin/sh
# TROUBLE=0 plays the same without the disruption. Build the deploy file first.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. exec python3 case.py
