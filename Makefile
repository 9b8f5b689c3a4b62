VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed
PACKAGES := core wire daemon cli
SOURCES := packages platform standins measure soak tools tests
SEED ?= 1
PROFILE ?= default
MINUTES ?= 0

.PHONY: test demo measure soak report lint format install

install: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-build-isolation --no-deps \
		$(foreach package,$(PACKAGES),--editable packages/$(package))
	touch $@

test: install
	$(PYTHON) tools/run_tests.py

demo: install
	$(PYTHON) -m standins.demo

soak: install
	$(PYTHON) -m soak --profile $(PROFILE) --seed $(SEED) --minutes $(MINUTES)

measure: install
	$(PYTHON) -m measure

report: install
	$(PYTHON) -m tools.report journal docs/report.html

lint: install
	$(PYTHON) -m black --check --quiet $(SOURCES)
	$(PYTHON) -m ruff check --quiet $(SOURCES)
	$(PYTHON) -m mypy --no-error-summary $(foreach package,$(PACKAGES),packages/$(package)/src) \
		platform/lacewingrudder_platform \
		standins measure soak tools

format: install
	$(PYTHON) -m black --quiet $(SOURCES)
	$(PYTHON) -m ruff check --fix --quiet $(SOURCES)
