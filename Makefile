PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test format lint unit bench

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/installed

demo: .venv/installed
	$(BIN)/python -m carobfork_standins.demo

test: lint unit

lint: .venv/installed
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/lint-imports

unit: .venv/installed
	$(BIN)/python -m tests.run

format: .venv/installed
	$(BIN)/ruff format src tests bench
	$(BIN)/ruff check --fix src tests bench
