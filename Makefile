# `make test` and `make demo` set up everything they need on a fresh clone.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src:.

.PHONY: setup test lint format demo soak bench bench-check capacity schedules clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/python -m pytest -q

lint: setup
	$(BIN)/ruff format --check src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format src tests bench

bench: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.policy

bench-check: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.policy --check

# Four nodes, four targets and a log as processes of this machine.
demo: setup
	VENV=$(VENV) bash demo/run.sh

# Real nodes on the emulated platform under faults drawn from SEED.
SEED ?= 1
soak: setup
	mkdir -p out
	printf 'seed = %s\n' $(SEED) > out/soak.toml
	$(BIN)/python -m ebonycleat_tools.platform.soak --settings out/soak.toml

# Writes out/capacity.json; docs/CAPACITY.md is worked out from it.
capacity: setup
	$(BIN)/python -m bench.capacity

clean:
	rm -rf build .mypy_cache .pytest_cache .ruff_cache .hypothesis
