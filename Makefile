# The README's commands for a first trial, the tests and the benchmarks, and the environments that they need.
# VENV names the directory of the Python environment.
VENV ?= .venv
PYTHON ?= python3

.PHONY: capacity env scale try try-fleet try-tls try-undelivered test

env: $(VENV)/.run

$(VENV)/.run: requirements.txt
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements.txt
	touch $@

$(VENV)/.test: $(VENV)/.run requirements-dev.txt
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

# Creates the environment, starts the toy and a dispatcher on free ports, submits a message and shows that it is
# delivered.
try: $(VENV)/.run
	$(VENV)/bin/python example/try.py

# Runs the `try` example over verified TLS, which needs packages of the test environment.
try-tls: $(VENV)/.test
	$(VENV)/bin/python example/try.py --tls

# Starts two dispatchers that share the destinations and submits a message to each of them; the owner of the
# destination delivers the message.
try-fleet: $(VENV)/.run
	$(VENV)/bin/python example/try_fleet.py

# Submits a message that ends undelivered; the dispatcher stores it, lists it, and resends it by a rule after the
# toy has been told to accept calls.
try-undelivered: $(VENV)/.test
	$(VENV)/bin/python example/try.py --undelivered

# Measures how resource use grows with the size of the deployment. It takes some minutes and needs an otherwise
# idle machine.
capacity: $(VENV)/.test
	$(VENV)/bin/python benchmarks/capacity.py --json benchmarks/results/capacity.json

# Runs a fleet of hundreds of dispatchers on this machine, without and with partitioned destinations. It takes
# some minutes.
scale: $(VENV)/.test
	$(VENV)/bin/python benchmarks/scale.py --json benchmarks/results/scale.json

# Installs the packages that the tests need and runs the tests. Their files are written to /dev/shm (memory) if it
# exists, because on some machines each newly written file waits for the disk.
MEMORY := $(wildcard /dev/shm)

test: $(VENV)/.test
	$(if $(MEMORY),TMPDIR=$(MEMORY)) $(VENV)/bin/python -m pytest
