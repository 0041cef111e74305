# `make demo`: the whole system as processes on loopback, with faults; then verdicts and the report's path.
# `make demo DEMO_OPTIONS="--until 12"` plays its first 12 s only.
# `make soak SOAK_OPTIONS="--first 100 --seeds 20"`: real processes under drawn, overlapping troubles (docs/operations/lab.md).
# `make demo-gatekeeper`: three gatekeepers of the program in service before twelve emulated execute nodes, a
# partition and its healing. `make test`: what .ci/run does (lint, types, tests).
PY := .venv/bin/python
DEMO_OPTIONS :=
SOAK_OPTIONS :=

.PHONY: demo demo-gatekeeper soak test

demo: .venv/lab-ready
	$(PY) -m ashlift.gatekeeper lab system scenarios/system-demo.txt --report lab-system.html $(DEMO_OPTIONS)

soak: .venv/lab-ready
	$(PY) -m ashlift lab soak $(SOAK_OPTIONS)

demo-gatekeeper: .venv/lab-ready
	$(PY) -m ashlift.gatekeeper lab run scenarios/demo.sexp --history lab-demo.jsonl --report lab-demo.html

.venv/lab-ready: requirements.txt requirements-lab.txt requirements-system.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt -r requirements-lab.txt -r requirements-system.txt
	touch $@

test:
	.ci/run
