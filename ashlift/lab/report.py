"""Renders a saved run as a self-contained HTML page: verdicts, charts (inline PNG) and scenario."""

import html
from typing import Final

from ashlift.lab.charts import Chart, draw_charts
from ashlift.lab.checker import Verdict
from ashlift.lab.results import Results, RunSummary

STYLE: Final = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}td{padding:2px 8px;"
    "vertical-align:top}table{border-collapse:collapse}tr{border-bottom:1px solid #999}"
)


def render_report(results: Results, run: int) -> str:
    """Return the page of a run. Raises ResultsError if the run is not in `results`."""
    summary = results.summary(run)
    detail = results.detail(run)
    rows = "".join(_verdict_row(verdict) for verdict in detail.verdicts)
    images = "".join(_image(chart) for chart in draw_charts(detail, summary))
    return (
        "<!doctype html><html><head><meta charset='utf-8'>"
        f"<title>ashlift lab run {summary.id}</title><style>{STYLE}</style></head>"
        f"<body><h1>ashlift lab run {summary.id}</h1><p>{html.escape(_description(summary))}</p>"
        f"<table><tr><th>invariant</th><th>verdict</th><th>what</th></tr>{rows}</table>{images}"
        f"<h2>Scenario</h2><pre>{html.escape(detail.scenario)}</pre></body></html>"
    )


def _description(summary: RunSummary) -> str:
    return (
        f"run {summary.id}: {summary.name}, seed {summary.seed}, commit {summary.commit}, "
        f"began {summary.began}; "
        f"{summary.sent} jobs, {summary.admitted} admitted, {summary.rejected} refused, "
        f"{summary.unanswered} unanswered; p99 {summary.percentile_ms(99):.1f} ms"
    )


def _verdict_row(verdict: Verdict) -> str:
    return (
        f"<tr><td>{html.escape(verdict.name)}</td><td>{'ok' if verdict.ok else 'BREACH'}</td>"
        f"<td>{html.escape(verdict.text)}</td></tr>"
    )


def _image(chart: Chart) -> str:
    title = html.escape(chart.title)
    return f"<h2>{title}</h2><img alt='{title}' src='data:image/png;base64,{chart.png}'>"
