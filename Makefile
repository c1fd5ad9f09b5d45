# Poetry lives in an environment of its own so that the program's environment
# holds only what poetry.lock names.
POETRY_VERSION := 2.5.1
PYTHON ?= python3.11
PY := .venv/bin/python
SEED ?= 1
SECONDS ?= 60
SEEDS ?= 50
STEPS ?= 50

.PHONY: setup demo test lint format fuzz soak measure soak-flows slopes mutants binary clean

setup: .venv/.installed

.poetry/.installed:
	$(PYTHON) -m venv .poetry
	.poetry/bin/pip install --quiet --disable-pip-version-check poetry==$(POETRY_VERSION)
	touch $@

.venv/.installed: poetry.lock pyproject.toml .poetry/.installed
	test -x $(PY) || $(PYTHON) -m venv .venv
	.poetry/bin/poetry sync --quiet --no-interaction
	touch $@

demo: setup
	$(PY) -m limpetreel demo

lint: setup
	$(PY) -m ruff format --check src tests tools deploy limpetreel
	$(PY) -m ruff check src tests tools deploy limpetreel
	$(PY) -m mypy

format: setup
	$(PY) -m ruff format src tests tools deploy limpetreel
	$(PY) -m ruff check --fix src tests tools deploy limpetreel

test: setup lint
	$(PY) tools/run_tests.py

fuzz: setup
	LIMPETREEL_FUZZ_SEED=$(SEED) LIMPETREEL_FUZZ_STEPS=$(STEPS) $(PY) tools/run_tests.py --fuzz

soak: setup
	LIMPETREEL_SOAK_SEED=$(SEED) LIMPETREEL_SOAK_SECONDS=$(SECONDS) \
		$(PY) tools/run_tests.py --pattern tests.soak

soak-flows: setup
	$(PY) tools/run_flow_soak.py --folder build/soak --first $(SEED) \
		--seeds $(SEEDS) --seconds $(SECONDS)

binary: setup
	$(PY) tools/build_binary.py
	$(PY) tools/check_binary.py

measure: setup
	$(PY) -m limpetreel.measure --seed $(SEED)

slopes: setup
	$(PY) -m limpetreel.slopes

mutants: setup
	$(PY) tools/run_mutants.py

clean:
	rm -rf build dist .demo
