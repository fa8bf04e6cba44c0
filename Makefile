PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: binary demo test format lint clean

$(VENV)/demo.stamp: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	touch $@

$(VENV)/dev.stamp: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	touch $@ $(VENV)/demo.stamp

demo: $(VENV)/demo.stamp
	$(BIN)/python -m build_tools.demo

test: $(VENV)/dev.stamp
	$(BIN)/python -m build_tools.run_tests

binary: $(VENV)/dev.stamp
	$(BIN)/python -m build_tools.make_binary

format: $(VENV)/dev.stamp
	$(BIN)/ruff format .

lint: $(VENV)/dev.stamp
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

clean:
	rm -rf $(VENV) build dist
