# Two commands do all the set-up: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/adapters platform packages/daemon packages/client

.PHONY: demo test check lock bench soak

demo: $(VENV)/.ready
	$(BIN)/python -m tests.demo

test: $(VENV)/.ready
	$(BIN)/python -m pytest

check: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

soak: $(VENV)/.ready
	$(BIN)/python -m tests.soak $(SEEDS)
	$(BIN)/python -m tests.soakversions $(or $(SEEDS),1 2 3)

bench: $(VENV)/.ready
	PYTHONPATH=.:packages/core $(BIN)/python -m bench

$(VENV)/.ready: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

# Makes the lock anew; needs pip-tools in the environment.
lock:
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --no-emit-index-url \
	  --no-emit-trusted-host --strip-extras --no-header -o requirements.lock requirements.in
	$(BIN)/pip-compile --quiet --generate-hashes --no-emit-index-url \
	  --no-emit-trusted-host --strip-extras --no-header -c requirements.lock \
	  -o deploy/requirements.lock deploy/requirements.in
