"""Serving system for models that span several VMs."""

import warnings

# The library warns of its own deprecation at import; users can't act on it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
