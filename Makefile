PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup test demo format lock

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

setup: $(STAMP)

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/pytest

demo: $(STAMP)
	scripts/demo.sh $(DEMO_ARGS)

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
