PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test guards bench capacity binary format lint clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev,bench]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

test: lint
	$(BIN)/python -m pytest -q

guards: $(VENV)/.installed
	$(BIN)/python -m tests.guards

bench: $(VENV)/.installed
	$(BIN)/python -m bench.path
	$(BIN)/python -m bench.leases
	$(BIN)/python -m bench.failover

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.leases

binary: $(VENV)/.installed
	$(BIN)/python -m tools.binary
	$(BIN)/python -m bench.binary

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 plantaingrade standins demo tests bench tools
	$(BIN)/lint-imports --no-logo

format: $(VENV)/.installed
	$(BIN)/ruff format .

clean:
	rm -rf build dist
