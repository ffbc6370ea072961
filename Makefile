PYTHON ?= python3
BIN := .venv/bin
MEMBERS := packages/snipedeal packages/snipedeal-router packages/snipedeal-agent \
	packages/snipedeal-direct platform packages/snipedeal-standins
ARGS ?=

.PHONY: setup test lint format demo demo-platform soak proof bench capacity wheels

setup: .venv/ready

.venv/ready: requirements.lock $(foreach p,$(MEMBERS),$(p)/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach p,$(MEMBERS),-e $(p))
	touch $@

test: setup
	$(BIN)/python -m pytest $(ARGS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m snipedeal_standins.demo $(ARGS)

demo-platform: setup
	$(BIN)/python -m snipedeal_standins.edge_demo $(ARGS)

soak: setup
	$(BIN)/python -m snipedeal_standins.soak $(ARGS)

proof: setup
	$(BIN)/python -m snipedeal_standins.proof $(ARGS)

bench: setup
	$(BIN)/python bench/run.py $(ARGS)

capacity: setup
	$(BIN)/python bench/capacity.py $(ARGS)

wheels: setup
	for member in $(MEMBERS); do \
		$(BIN)/pip wheel --quiet --no-deps --no-build-isolation -w dist $$member; \
	done
