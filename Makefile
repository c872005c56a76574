PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test bench capacity binary format lint clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev,bench]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

test: lint
	$(BIN)/python -m pytest -q

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 plantaingrade standins demo tests bench

format: $(VENV)/.installed
	$(BIN)/ruff format .

clean:
	rm -rf build dist
