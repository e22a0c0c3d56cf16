PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed
LOCK_VENV := .venv-lock
UV_VERSION := 0.13.9

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

# Keeps the locked versions and reads the hashes of all files of each anew.
lock:
	$(PYTHON) -m venv $(LOCK_VENV)
	$(LOCK_VENV)/bin/pip install --quiet uv==$(UV_VERSION)
	sed -n '/==/s/ *\\*$$//p' requirements.lock > $(LOCK_VENV)/versions.txt
	rm requirements.lock
	$(LOCK_VENV)/bin/uv pip compile --quiet --universal --generate-hashes --no-annotate --no-header \
	  --python-version 3.11 --extra report --group build --group dev \
	  --constraint $(LOCK_VENV)/versions.txt --output-file requirements.lock pyproject.toml
