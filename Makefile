# Each target works on a new machine with Python 3.11 and the package registry.
# VENV may point at an existing environment, for example one that several
# work trees share. The stamp carries a checksum of pyproject.toml, so that a
# work tree with the same dependencies does not install again.
VENV ?= .venv
PYTHON ?= python3
STAMP := $(VENV)/.installed-$(shell cksum pyproject.toml | cut -d' ' -f1)
RUN := PYTHONPATH=src:. PYTHONHASHSEED=0 $(VENV)/bin/python
SEED ?= 1

.PHONY: demo test lint format bench faults proof known-red clean

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(RUN) -m demo

test: $(STAMP)
	$(RUN) -m pytest
	$(RUN) -m behave --no-color --format progress features

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src standins tests features bench demo faults tools
	$(VENV)/bin/python -m flake8 src standins tests features bench demo faults tools

format: $(STAMP)
	$(RUN) -m tools.sort_imports src standins tests features bench demo faults tools
	$(VENV)/bin/ruff format src standins tests features bench demo faults tools

bench: $(STAMP)
	$(RUN) -m bench

# make faults CELLS='task-run/killed' SEED=3 runs one cell.
faults: $(STAMP)
	$(RUN) -m faults --seed $(SEED) $(CELLS)

# Shows that the checker catches each deliberate break.
proof: $(STAMP)
	$(RUN) -m faults.proof --seed $(SEED)

known-red: $(STAMP)
	$(RUN) -m tools.known_red

clean:
	rm -rf build .venv
