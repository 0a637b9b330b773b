"""Accounts of what each owner of work uses, with quotas and weights."""
