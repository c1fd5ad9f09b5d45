"""Report of an agent."""

from __future__ import annotations

import msgspec

from limpetreel.cluster.messages import report


class ReportArrived(msgspec.Struct, frozen=True, tag="report_arrived"):
    """An agent, or another control instance for it, has reported an upstream.

    Attributes
    ----------
    report : Report
        The report.
    is_direct : bool
        Whether it came from the agent itself.
    """

    report: report.Report
    is_direct: bool
