PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test setup format lint types unit measure bench capacity \
	dist dist-test clean

$(STAMP): requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--requirement requirements-dev.lock
	touch $(STAMP)

setup: $(STAMP)

run: setup
	$(BIN)/python -m filbertlb demo

test: lint types unit

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 --select=H --ignore=H301,H306 filbertlb tests benchmarks

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/python -m pytest
	$(BIN)/python -m pytest -n 0 -m hostile tests/test_hostile_clients.py

measure: setup
	$(BIN)/python -m benchmarks.measure_placement
	$(BIN)/python -m benchmarks.measure_requests
	$(BIN)/python -m benchmarks.measure_gang
	$(BIN)/python -m benchmarks.measure_membership

bench: setup
	$(BIN)/python -m benchmarks.bench_requests

capacity: setup
	$(BIN)/python -m benchmarks.measure_capacity

dist: setup
	$(BIN)/python scripts/build_dist.py

dist-test: dist
	$(BIN)/python -m pytest -n 2 -m dist tests/test_dist.py

clean:
	rm -rf dist build
