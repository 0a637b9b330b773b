"""Jobs as graphs of steps: model, progress and stored form."""
