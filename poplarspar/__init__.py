"""Serving system for models that span several VMs."""
