"""The report of an experiment: Markdown with plots beside it, drawn by matplotlib, which is imported only here."""

import pathlib
from itertools import pairwise
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

PLOTS = (
    ("cpu-s", "processor", "cores", 1.0),
    ("bytes-sent", "bytes-sent", "KB/s of messages sent", 1e-3),
    ("msgs-sent", "messages-sent", "messages/s sent", 1.0),
    ("calls", "calls", "HTTP calls/s", 1.0),
)


def table(*, rows: list[list[object]]) -> list[str]:
    """A Markdown table; the first row is its head.

    >>> table(rows=[["a", "b"], [1, 2]])
    ['| a | b |', '| --- | --- |', '| 1 | 2 |']
    """
    out = ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return [out[0], "| " + " | ".join("---" for _ in rows[0]) + " |", *out[1:]]


def _rates(*, results: dict[str, Any], key: str, scale: float, label: str, path: pathlib.Path) -> None:
    fig, axes = plt.subplots(figsize=(8, 4))
    for name, rows in sorted(results["series"].items()):
        xs, ys = [], []
        for a, b in pairwise(rows):
            if a["pid"] == b["pid"] and b["at"] > a["at"] and key in a and key in b:
                xs.append(b["at"])
                ys.append((b[key] - a[key]) / (b["at"] - a["at"]) * scale)
        axes.plot(xs, ys, label=name, linewidth=1)
    _close(fig=fig, axes=axes, results=results, label=label, path=path)


def _close(*, fig: Figure, axes: Axes, results: dict[str, Any], label: str, path: pathlib.Path) -> None:
    for fault in results["plan"]["faults"]:
        axes.axvline(fault["at"], color="grey", linestyle=":")
    axes.set_xlabel("s since the callers began")
    axes.set_ylabel(label)
    axes.set_ylim(bottom=0)
    if len(results["series"]) <= 16:
        axes.legend(fontsize=7)
    fig.tight_layout()
    fig.savefig(path)
    plt.close(fig)


def plots(*, results: dict[str, Any], folder: pathlib.Path) -> list[str]:
    """Draw all; their file names."""
    out = []
    for key, name, label, scale in PLOTS:
        _rates(results=results, key=key, scale=scale, label=label, path=folder / f"{name}.svg")
        out.append(f"{name}.svg")
    fig, axes = plt.subplots(figsize=(8, 4))
    for name, rows in sorted(results["series"].items()):
        axes.plot([r["at"] for r in rows], [r["rss"] / 1e6 for r in rows], label=name, linewidth=1)
    _close(fig=fig, axes=axes, results=results, label="MB resident", path=folder / "memory.svg")
    fig, axes = plt.subplots(figsize=(8, 4))
    keys = ["p50-ms", "p90-ms", "p99-ms", "p99.9-ms", "p100-ms"]
    for name, row in results["latencies"].items():
        if row["count"]:
            axes.plot(range(len(keys)), [row[k] for k in keys], marker="o", label=f"{name} ({row['count']})")
    axes.set_xticks(range(len(keys)), [k[:-3] for k in keys])
    axes.set_ylabel("ms")
    axes.set_yscale("log")
    if results["latencies"]:
        axes.legend(fontsize=7)
    fig.tight_layout()
    fig.savefig(folder / "latencies.svg")
    plt.close(fig)
    return [*out, "memory.svg", "latencies.svg"]


def write(*, results: dict[str, Any], folder: pathlib.Path) -> None:
    """`report.md` with its plots."""
    plan = results["plan"]
    lines = [
        f"# {results['name']}",
        "",
        plan["about"],
        "",
        f"Ran on {results['day']}, real processes on loopback with hollow minions; seed {plan['seed']}, "
        f"{plan['duration']:g} s, {results['beats']['a-s']} beats/s in all, {results['beats']['missed']} of "
        f"{results['beats']['beats']} beats without a useful answer; the rig itself took {results['rig-cores']} cores.",
        "",
        "## Jobs",
        "",
        *table(rows=[["what", "figure"], *[[k, v] for k, v in results["jobs"].items()]]),
        "",
        "## Latencies (HDR histogram, 3 digits)",
        "",
    ]
    keys = ["count", "p50-ms", "p90-ms", "p99-ms", "p99.9-ms", "p100-ms"]
    lines += table(
        rows=[["what", *keys], *[[n, *(r.get(k, "") for k in keys)] for n, r in results["latencies"].items()]]
    )
    heads = [
        "cores",
        "rss-mb",
        "msgs-sent-a-s",
        "bytes-sent-a-s",
        "msgs-got-a-s",
        "calls-a-s",
        "disk-bytes-a-s",
        "disk-batches-a-s",
    ]
    lines += [
        "",
        "## Processes",
        "",
        *table(rows=[["process", *heads], *[[n, *(r[h] for h in heads)] for n, r in results["processes"].items()]]),
    ]
    if plan["faults"]:
        lines += [
            "",
            "## Faults",
            "",
            *[
                f"- at {f['at']:g} s: {f['what']} {f['node']} {f['count'] or ''} for {f['span']:g} s"
                for f in plan["faults"]
            ],
        ]
    if results["broken"]:
        lines += ["", "## Rules broken", "", *[f"- {text}" for text in results["broken"]]]
    lines += [
        "",
        "## Plots",
        "",
        *[f"![{name}]({name})" for name in plots(results=results, folder=folder)],
        "",
        "Raw figures: `figures.json`.",
        "",
    ]
    (folder / "report.md").write_text("\n".join(lines))
