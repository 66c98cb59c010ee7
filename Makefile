PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo bench emulate soak binary lint clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	touch $@

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: $(VENV)/.installed
	$(BIN)/python -m tests.run

demo: $(VENV)/.installed
	$(BIN)/python -m standins.demo

bench: $(VENV)/.installed
	$(BIN)/python -m bench $(ARGS)

emulate: $(VENV)/.installed
	$(BIN)/python -m bench.emulator $(ARGS)

soak: $(VENV)/.installed
	$(BIN)/python -m soak $(ARGS)

binary: $(VENV)/.installed
	$(BIN)/python -m packaging_tools.build

clean:
	rm -rf build dist $(VENV)
