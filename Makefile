VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := core transport entry agent bench
FOLDERS := $(PACKAGES:%=packages/cowslipgate-%) platform
BENCH_FLAGS ?=

# Test files that run at once; the tests of one file share processes.
WORKERS := 4
MINUTES := 5
SEED := 1
SEEDS := 10
ROUNDS := 6
ENTRIES := 2
AGENTS := 3

.PHONY: setup test demo bench settings-page lint format check-format capacity measure-control soak fault-soak interfaces

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt $(FOLDERS:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-build-isolation --no-deps $(FOLDERS:%=--editable ./%)
	touch $@

test: setup
	$(PYTHON) -m pytest --numprocesses $(WORKERS) --dist loadfile packages platform

soak: setup
	$(PYTHON) -m cowslipgate_bench soak --minutes $(MINUTES) --seed $(SEED)

# One seed after the other, from SEED on.
fault-soak: setup
	$(PYTHON) -m cowslipgate_bench fault-soak $(SEED) $(SEEDS) $(ROUNDS) --entries $(ENTRIES) --agents $(AGENTS)

demo: setup
	$(PYTHON) -m cowslipgate_bench demo

bench: setup
	$(PYTHON) -m cowslipgate_bench bench --folder build/bench $(BENCH_FLAGS)

lint: setup
	$(PYTHON) -m flake8 packages platform

format: setup
	$(PYTHON) -m ruff format packages platform

check-format: setup
	$(PYTHON) -m ruff format --check packages platform

measure-control: setup
	$(PYTHON) -m cowslipgate_bench measure-control

capacity: setup
	$(PYTHON) -m cowslipgate_bench capacity

settings-page: setup
	$(PYTHON) -m cowslipgate_bench settings-page

interfaces: setup
	$(PYTHON) -m cowslipgate_bench interfaces
