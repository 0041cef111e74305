# `make demo`: three gatekeepers before twelve emulated execute nodes, a partition and its healing, then the
# report's path. `make test`: what .ci/run does (lint, types, tests).
PY := .venv/bin/python

.PHONY: demo test

demo: .venv/lab-ready
	$(PY) -m ashlift lab run scenarios/demo.sexp --history lab-demo.jsonl --report lab-demo.html

.venv/lab-ready: requirements.txt requirements-lab.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt -r requirements-lab.txt
	touch $@

test:
	.ci/run
