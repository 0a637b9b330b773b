"""Jobs as graphs of dependent steps: model, progress and stored form."""
