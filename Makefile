# Set-up, tests and the shipped file. All work happens in .venv.
SHELL = /bin/bash -o pipefail
VENV ?= .venv
PYTHON = $(VENV)/bin/python
BENCH_FLAGS ?=

.PHONY: setup test demo dist bench capacity lint format

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[development]' 2>&1 | { grep -v '^WARNING: Location' || true; }
	touch $@

test:
	VENV=$(VENV) bash scripts/test

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check --select F,E9,I .
	$(VENV)/bin/flake8 teaseldale features benchmarks
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --select F,E9,I --fix .

demo: setup
	$(PYTHON) -m benchmarks.demo

bench: setup
	$(PYTHON) -m benchmarks $(BENCH_FLAGS)

capacity: setup
	$(PYTHON) -m benchmarks.capacity

dist: setup
	bash scripts/build_dist
