# Commands of the workspace. VENV may name an existing environment.
VENV ?= $(CURDIR)/.venv
PYTHON ?= python3
BIN := $(VENV)/bin
LIBS := wire bundles consensus control membership scheduling endpoints \
        entry operator standins bench routing serving gateway coordination
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach l,$(LIBS),$(CURDIR)/libs/$(l)) $(CURDIR)/platform)
export PATH := $(BIN):$(PATH)

.PHONY: demo test lint format bench soak capacity

$(VENV)/.installed: constraints.txt requirements.txt requirements-dev.txt \
		$(foreach l,$(LIBS),libs/$(l)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt \
		-r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps \
		$(foreach l,$(LIBS),-e libs/$(l))
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m masticquay_bench.demos

test: $(VENV)/.installed
	$(BIN)/python tools/run_tests.py $(TESTS)

lint: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/flake8 libs tools platform

format: $(VENV)/.installed
	$(BIN)/ruff check --fix-only .
	$(BIN)/ruff format .

bench: $(VENV)/.installed
	$(BIN)/masticquay-bench run $(if $(QUICK),--quick)

soak: $(VENV)/.installed
	$(BIN)/masticquay-bench soak $(if $(SEED),--seed=$(SEED)) \
		$(if $(SECONDS_TO_RUN),--duration_s=$(SECONDS_TO_RUN))

capacity: $(VENV)/.installed
	$(BIN)/python -m masticquay_bench.capacity
