"""Entry point of ``python -m limpetreel``."""

from __future__ import annotations

import sys

from limpetreel.console import application

if __name__ == "__main__":
    sys.exit(application.main())
