"""Entry process: callers' requests for jobs, and operators' orders."""
