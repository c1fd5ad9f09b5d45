"""Decisions that the agent executes in order."""

from __future__ import annotations

from limpetreel.admission import admitted, expired, refused

Decision = admitted.Admitted | refused.Refused | expired.Expired
