VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin

.PHONY: demo test lint

$(VENV)/installed: pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m standins.demo

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m tests
