# The two commands of the README for newcomers, and what they stand on. VENV may name another environment.
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

# Makes the environment, starts the toy and a dispatcher on free ports, hands a message in and shows its end.
try: $(VENV)/.run
	$(VENV)/bin/python example/try.py

# The same over verified TLS; the tests' environment has what it needs.
try-tls: $(VENV)/.test
	$(VENV)/bin/python example/try.py --tls

# Two dispatchers that share the destinations: a message handed in at either reaches its owner.
try-fleet: $(VENV)/.run
	$(VENV)/bin/python example/try_fleet.py

# A message that ends undelivered: it is kept, listed, and resent by a rule once the toy is mended.
try-undelivered: $(VENV)/.test
	$(VENV)/bin/python example/try.py --undelivered

# What grows with the size of the deployment, and how fast; some minutes, on a machine left alone.
capacity: $(VENV)/.test
	$(VENV)/bin/python benchmarks/capacity.py --json benchmarks/results/capacity.json

# A fleet of hundreds of dispatchers on this machine, before and after partitioned destinations; some minutes.
scale: $(VENV)/.test
	$(VENV)/bin/python benchmarks/scale.py --json benchmarks/results/scale.json

# Installs what the tests need and runs them, their files in memory where there is such a place: on some machines
# each file that is written anew waits for the disk.
MEMORY := $(wildcard /dev/shm)

test: $(VENV)/.test
	$(if $(MEMORY),TMPDIR=$(MEMORY)) $(VENV)/bin/python -m pytest
